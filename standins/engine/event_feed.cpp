#include <standins/engine/event_feed.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/buffer.h>

namespace jujubestand::standins
{

namespace
{

constexpr std::size_t kept_events_limit = 65'536;
constexpr std::uint32_t draws = 1'000;
constexpr timeval flush_interval{0, 20'000};
constexpr int base_16 = 16;

void append_hex(std::string& out, std::uint64_t value)
{
    std::array<char, 2 * sizeof(value)> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   value, base_16)
                         .ptr;
    auto const length = static_cast<std::size_t>(end - digits.data());
    out.append(digits.size() - length, '0');
    out.append(digits.data(), length);
}

std::string block_list(std::vector<std::uint64_t> const& keys)
{
    std::string out = "\"blocks\":[";
    for (std::uint64_t const key : keys)
    {
        out += out.back() == '[' ? "\"" : ",\"";
        append_hex(out, key);
        out += '"';
    }
    return out + ']';
}

} // namespace

event_feed::event_feed(event_base* base, std::uint64_t engine_incarnation,
                       std::uint64_t seed)
    : incarnation(engine_incarnation)
    , random(seed)
    , timer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* context)
          {
              static_cast<event_feed*>(context)->flush();
          },
          this))
{
    event_add(this->timer.get(), &flush_interval);
}

event_feed::~event_feed()
{
    for (auto const& [id, target] : this->readers)
        unwatch_close(target.request);
}

void event_feed::add(std::string const& members, feed_faults const& faults)
{
    std::uint64_t const seq = this->next_seq++;
    bool const is_lost =
        faults.gap_per_1000 > 0 && this->random() % draws < faults.gap_per_1000;
    this->events.push_back(kept_event{
        seq, mono_now() + std::chrono::milliseconds(faults.delay_ms), is_lost,
        R"({"seq":)" + std::to_string(seq) + R"(,"incarnation":)" +
            std::to_string(this->incarnation) + ',' + members + "}\n"});
    if (this->events.size() > kept_events_limit)
        this->events.pop_front();
    this->tell_exact();
}

void event_feed::stored(stored_blocks const& blocks, feed_faults const& faults)
{
    this->add(R"("kind":"stored","request":")" + blocks.name +
                  R"(","first_token":)" + std::to_string(blocks.first_token) +
                  R"(,"block_tokens":)" + std::to_string(block_tokens) + ',' +
                  block_list(blocks.keys),
              faults);
}

void event_feed::removed(std::vector<std::uint64_t> const& keys,
                         feed_faults const& faults)
{
    this->add(R"("kind":"removed",)" + block_list(keys), faults);
}

void event_feed::cleared(feed_faults const& faults)
{
    this->add(R"("kind":"cleared")", faults);
}

std::uint64_t event_feed::newest() const noexcept
{
    return this->next_seq - 1;
}

void event_feed::subscribe(evhttp_request* request, std::uint64_t from,
                           bool is_exact)
{
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/x-ndjson");
    evhttp_send_reply_start(request, HTTP_OK, "OK");
    std::uint64_t const id = this->next_reader++;
    reader& added = this->readers[id];
    added.request = request;
    added.next = from;
    added.is_exact = is_exact;
    added.gone = [this, id]
    {
        evhttp_request* const left = this->readers.at(id).request;
        this->readers.erase(id);
        evhttp_send_reply_end(left);
    };
    watch_close(request, &added.gone);
    this->send_due(added, mono_now());
}

void event_feed::tell_exact()
{
    for (auto& [id, target] : this->readers)
    {
        if (target.is_exact)
            this->send_due(target, mono_now());
    }
}

void event_feed::flush()
{
    mono_time const now = mono_now();
    for (auto& [id, target] : this->readers)
        this->send_due(target, now);
}

void event_feed::send_due(reader& target, mono_time now)
{
    auto place =
        std::lower_bound(this->events.begin(), this->events.end(), target.next,
                         [](kept_event const& item, std::uint64_t seq)
                         {
                             return item.seq < seq;
                         });
    std::string lines;
    for (; place != this->events.end(); ++place)
    {
        if (!target.is_exact && place->due > now)
            break;
        if (target.is_exact || !place->is_lost)
            lines += place->line;
        target.next = place->seq + 1;
    }
    if (lines.empty())
        return;
    evbuffer* const buffer = evbuffer_new();
    evbuffer_add(buffer, lines.data(), lines.size());
    evhttp_send_reply_chunk(target.request, buffer);
    evbuffer_free(buffer);
}

} // namespace jujubestand::standins
