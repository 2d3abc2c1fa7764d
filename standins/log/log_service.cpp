#include <standins/log/log_service.hpp>

#include <algorithm>
#include <iterator>
#include <jujubestand/core/time.hpp>
#include <standins/support/program.hpp>

namespace jujubestand::standins
{

namespace
{

constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::string_view records_suffix = "/records";
constexpr std::size_t read_limit_bytes = 1U << 20U;
constexpr std::size_t read_limit_records = 1'000;
constexpr std::int64_t longest_wait_ms = 60'000;
constexpr std::int64_t milliseconds_per_second = 1'000;
constexpr std::uint32_t draws = 1'000;
constexpr int status_gone = 410;

std::int64_t wall_ms()
{
    return wall_now().time_since_epoch().count();
}

/// \returns the stream's name, or nothing if the path is another
std::string stream_of(std::string const& path)
{
    std::string_view rest = path;
    if (!rest.starts_with(streams_prefix) || !rest.ends_with(records_suffix))
        return {};
    rest.remove_prefix(streams_prefix.size());
    if (rest.size() <= records_suffix.size())
        return {};
    rest.remove_suffix(records_suffix.size());
    std::string const name(rest);
    return is_stream_name(name) ? name : std::string{};
}

void add_offsets(evhttp_request* request, log_stream const& stream)
{
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-First-Offset",
                      std::to_string(stream.first_offset).c_str());
    evhttp_add_header(headers, "X-Next-Offset",
                      std::to_string(stream.next_offset()).c_str());
}

} // namespace

log_service::log_service(event_base* loop, address const& where,
                         std::uint64_t seed, log_switches const& initial)
    : server(loop, where)
    , switches(initial)
    , held(loop)
    , late_appends(loop)
    , random(seed)
{
    std::string const prefix(streams_prefix);
    this->server.on(EVHTTP_REQ_POST, prefix,
                    [this](http_call const& call)
                    {
                        this->handle_append(call);
                    });
    this->server.on(EVHTTP_REQ_GET, prefix,
                    [this](http_call const& call)
                    {
                        this->handle_read(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/_stats",
                    [this](http_call const& call)
                    {
                        this->handle_stats(call);
                    });
    serve_switches(this->server, this->switches);
}

address log_service::bound() const
{
    return this->server.bound();
}

bool log_service::draw(std::uint32_t per_1000)
{
    return per_1000 > 0 && this->random() % draws < per_1000;
}

bool log_service::is_over_rate()
{
    std::int64_t const second = wall_ms() / milliseconds_per_second;
    if (second != this->rate_second)
        this->rate_count = 0;
    this->rate_second = second;
    ++this->rate_count;
    return this->switches.appends_per_second > 0 &&
           this->rate_count > this->switches.appends_per_second;
}

bool log_service::refuse_if_out(evhttp_request* request)
{
    if (this->switches.hang)
    {
        this->held.hold(request, longest_hold, cut);
        return true;
    }
    if (!this->switches.outage)
        return false;
    ++this->refused;
    this->answer(request, HTTP_SERVUNAVAIL, R"({"error":"out"})",
                 "application/json");
    return true;
}

void log_service::handle_append(http_call const& call)
{
    std::string const name = stream_of(call.path);
    if (name.empty())
        return reply(call.request, HTTP_NOTFOUND, R"({"error":"no stream"})");
    if (this->refuse_if_out(call.request))
        return;
    if (this->is_over_rate())
    {
        ++this->refused;
        return this->answer(call.request, HTTP_SERVUNAVAIL,
                            R"({"error":"too many appends"})",
                            "application/json");
    }
    std::string const bytes = call.body();
    if (this->draw(this->switches.late_per_1000))
    {
        this->late_appends.run(
            std::chrono::milliseconds(this->switches.late_ms),
            [this, name, bytes]
            {
                this->store(name, bytes);
            });
        return this->held.cut_off(call.request);
    }
    this->store(name, bytes);
    std::uint64_t const offset = this->streams[name].next_offset() - 1;
    if (this->draw(this->switches.double_per_1000))
        this->store(name, bytes);
    if (this->draw(this->switches.lose_answers_per_1000))
        return this->held.cut_off(call.request);
    this->answer(call.request, HTTP_OK,
                 R"({"offset":)" + std::to_string(offset) + '}',
                 "application/json");
}

void log_service::store(std::string const& name, std::string const& bytes)
{
    append(this->streams[name], bytes, wall_ms());
    this->wake(name);
}

void log_service::handle_read(http_call const& call)
{
    std::string const name = stream_of(call.path);
    if (name.empty())
        return reply(call.request, HTTP_NOTFOUND, R"({"error":"no stream"})");
    if (this->refuse_if_out(call.request))
        return;
    ++this->reads;
    log_stream& stream = this->streams[name];
    expire(stream,
           retention{this->switches.keep_ms, this->switches.keep_records},
           wall_ms());
    waiting_read const read{
        name, call.number("from", 1),
        std::min<std::size_t>(call.number("max", read_limit_records),
                              read_limit_records)};
    auto const wait_ms = std::min(
        static_cast<std::int64_t>(call.number("wait_ms", 0)), longest_wait_ms);
    if (read.from >= stream.next_offset() && wait_ms > 0)
        return this->wait(call.request, read, wait_ms);
    this->answer_read(call.request, read);
}

void log_service::wait(evhttp_request* request, waiting_read read,
                       std::int64_t wait_ms)
{
    auto const id = this->held.hold(request, std::chrono::milliseconds(wait_ms),
                                    [this, read](evhttp_request* due)
                                    {
                                        this->answer_read(due, read);
                                    });
    this->waiting[id] = std::move(read);
}

void log_service::wake(std::string const& name)
{
    std::map<std::uint64_t, waiting_read> due;
    for (auto place = this->waiting.begin(); place != this->waiting.end();)
    {
        bool const is_due = place->second.stream == name;
        if (is_due)
            due.insert(*place);
        place = is_due ? this->waiting.erase(place) : std::next(place);
    }
    for (auto const& [id, read] : due)
    {
        evhttp_request* const request = this->held.take(id);
        if (request != nullptr)
            this->answer_read(request, read);
    }
}

void log_service::answer_read(evhttp_request* request, waiting_read const& read)
{
    log_stream const& stream = this->streams[read.stream];
    add_offsets(request, stream);
    if (read.from < stream.first_offset)
        return this->answer(request, status_gone, R"({"error":"expired"})",
                            "application/json");
    this->answer(request, HTTP_OK,
                 pack_records(stream, read.from, read.limit, read_limit_bytes),
                 "application/msgpack");
}

void log_service::handle_stats(http_call const& call)
{
    nlohmann::json shown{{"reads", this->reads},
                         {"refused", this->refused},
                         {"streams", nlohmann::json::object()}};
    for (auto const& [name, stream] : this->streams)
        shown["streams"][name] = {{"appends", stream.appends},
                                  {"bytes", stream.appended_bytes},
                                  {"first", stream.first_offset},
                                  {"next", stream.next_offset()}};
    reply(call.request, HTTP_OK, shown.dump());
}

void log_service::answer(evhttp_request* request, int status, std::string body,
                         char const* content_type)
{
    this->held.reply_after(request,
                           std::chrono::milliseconds(this->switches.slow_ms),
                           status, std::move(body), content_type);
}

} // namespace jujubestand::standins
