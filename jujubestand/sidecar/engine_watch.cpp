#include <jujubestand/sidecar/engine_watch.hpp>

#include <utility>

namespace jujubestand::sidecar
{

namespace
{

constexpr std::chrono::milliseconds feed_pause{200};
/// A feed may be silent for long; a load report may not.
constexpr std::chrono::milliseconds silence_limit{60'000};
constexpr int load_polls_before_loss = 20;
constexpr std::size_t line_limit_bytes = 4U << 20U;

constexpr std::size_t report_limit_bytes = 1U << 20U;

http::client_options report_options()
{
    http::client_options options;
    options.body_limit_bytes = report_limit_bytes;
    options.part_limit_bytes = report_limit_bytes;
    options.read_timeout = silence_limit;
    return options;
}

http::client_options feed_options()
{
    http::client_options options;
    options.is_endless = true;
    options.part_limit_bytes = line_limit_bytes;
    options.read_timeout = silence_limit;
    return options;
}

http::request get(std::string path, std::string query)
{
    http::request asked;
    asked.method = "GET";
    asked.path = std::move(path);
    asked.query = std::move(query);
    return asked;
}

std::uint64_t seq_of(cache_event const& event)
{
    return std::visit(
        [](auto const& each)
        {
            return each.seq;
        },
        event);
}

incarnation_id incarnation_of(cache_event const& event)
{
    return std::visit(
        [](auto const& each)
        {
            return each.incarnation;
        },
        event);
}

} // namespace

engine_watch::engine_watch(event_base* base, address engine,
                           std::chrono::milliseconds period)
    : where(std::move(engine))
    , poll(period)
    , load_client(base, report_options())
    , feed_client(base, feed_options())
    , load_timer(base,
                 [this]
                 {
                     this->ask_load();
                 })
    , feed_timer(base,
                 [this]
                 {
                     this->follow_events();
                 })
{
    this->load_client.head.connect(
        [this](http::exchange_id exchange, http::response_head const& head)
        {
            if (this->load == exchange)
                this->headed.emit(head);
        });
    this->load_client.data.connect(
        sigc::mem_fun(*this, &engine_watch::on_load_data));
    this->load_client.ended.connect(
        sigc::mem_fun(*this, &engine_watch::on_load_ended));
    this->feed_client.data.connect(
        sigc::mem_fun(*this, &engine_watch::on_feed_data));
    this->feed_client.ended.connect(
        sigc::mem_fun(*this, &engine_watch::on_feed_ended));
}

void engine_watch::start()
{
    this->ask_load();
    this->follow_events();
}

void engine_watch::ask_load()
{
    if (this->load)
    {
        this->load_client.cancel(*this->load);
        this->load.reset();
        this->lost.emit(
            reason{reason_code::upstream_timeout, "no load report", {}});
    }
    this->load_text.clear();
    this->load = this->load_client.start(this->where, get("/load", {}));
    this->load_timer.start(this->poll * load_polls_before_loss);
}

void engine_watch::follow_events()
{
    this->feed_text.clear();
    this->feed = this->feed_client.start(
        this->where,
        get("/kv_events", "from=" + std::to_string(this->next_seq)));
}

void engine_watch::on_load_data(http::exchange_id exchange,
                                std::string const& bytes)
{
    if (this->load == exchange)
        this->load_text += bytes;
}

void engine_watch::on_feed_data(http::exchange_id exchange,
                                std::string const& bytes)
{
    if (this->feed != exchange)
        return;
    this->feed_text += bytes;
    this->take_lines();
}

void engine_watch::take_lines()
{
    std::string const text = std::exchange(this->feed_text, {});
    std::size_t begin = 0;
    for (auto end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', begin))
    {
        this->take_line(std::string_view(text).substr(begin, end - begin));
        begin = end + 1;
    }
    this->feed_text = text.substr(begin);
    if (this->feed_text.size() > line_limit_bytes)
        this->feed_text.clear();
}

void engine_watch::take_line(std::string_view line)
{
    reason why;
    auto const event = read_cache_event(line, why);
    // A line that cannot be read is a lost event: the next one's number
    // shows the gap.
    if (!event)
        return;
    if (incarnation_of(*event) != this->incarnation)
        this->incarnation = incarnation_of(*event);
    this->next_seq = seq_of(*event) + 1;
    this->changed.emit(*event);
}

void engine_watch::on_load_ended(http::exchange_id exchange,
                                 http::exchange_end const& end)
{
    if (this->load == exchange)
        this->end_load(end);
}

void engine_watch::on_feed_ended(http::exchange_id exchange,
                                 http::exchange_end const& /*end*/)
{
    if (this->feed != exchange)
        return;
    this->feed.reset();
    this->feed_timer.start(feed_pause);
}

void engine_watch::end_load(http::exchange_end const& end)
{
    this->load.reset();
    this->load_timer.start(this->poll);
    if (!end.is_complete)
    {
        this->lost.emit(end.why);
        return;
    }
    reason why;
    auto const report = read_engine_report(this->load_text, why);
    if (!report)
        return;
    if (report->incarnation > this->incarnation)
    {
        // The new engine numbers its events from the start again.
        this->incarnation = report->incarnation;
        this->next_seq = 0;
    }
    this->reported.emit(*report);
}

} // namespace jujubestand::sidecar
