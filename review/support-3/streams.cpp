#include "cases.hpp"

#include <algorithm>

// Streams that consumers take up again, at workers of two software versions.
namespace review
{

namespace
{

constexpr char const* config =
    R"({"version":1,"routes":[{"name":"r-reply","host":"reply.example",)"
    R"("path-prefix":"/reply/","kind":"stream","timeout-ms":15000,)"
    R"("target-latency-ms":400,"priority":0,"service":"engines",)"
    R"("max-attempts":2,"public":true,"sticky":true,"resumable":true,)"
    R"("gap-aim-ms":400}],"services":[{"name":"engines",)"
    R"("health-path":"/health","max-conns":360,"protocol":"h1","tls":false,)"
    R"("engine":{"slots":64,"kv-capacity-tokens":95939,)"
    R"("kv-token-bytes":163840,"models":[{"name":"m1"}]}}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
    R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/// What a consumer has seen of one stream.
struct stream
{
    std::string request_id;
    std::size_t front = 0;
    std::atomic<unsigned> last_event{0};
    std::string software;
    std::atomic<bool> has_left{false};
};

struct event
{
    unsigned id = 0;
    std::string software;
};

/// Events of the form "id: NUMBER\ndata: SOFTWARE NUMBER\n\n".
std::vector<event> events_in(std::string const& text)
{
    std::vector<event> result;
    for (auto at = text.find("id: "); at != std::string::npos;
         at = text.find("id: ", at + 1))
    {
        auto const data = text.find("data: ", at);
        if (data == std::string::npos)
            break;
        auto const from = data + 6;
        event found;
        found.id = static_cast<unsigned>(std::stoul(text.substr(at + 4)));
        found.software = text.substr(from, text.find(' ', from) - from);
        result.push_back(found);
    }
    return result;
}

request stream_request(std::string const& id, unsigned number)
{
    return {
        "POST",
        "/reply/2f",
        {{"Host", "reply.example"},
         {"X-Request-Id", id},
         {"X-Model", "m1"},
         {"X-Token-Usage", "100,150"},
         {"X-Prompt-Prefix", "aa:50," + std::to_string(1'000 + number) + ":50"},
         {"X-Deadline-Ms", "15000"}},
        "text"};
}

void begin(world const& all, stream& mine, unsigned number, record& log)
{
    constexpr milliseconds limit{16'000};
    auto const& front = *all.fronts[mine.front];
    auto const got =
        call(front.callers, stream_request(mine.request_id, number), limit,
             [&](std::string const& bytes)
             {
                 for (auto const& seen : events_in(bytes))
                 {
                     mine.software = seen.software;
                     mine.last_event = seen.id;
                 }
                 return !mine.has_left;
             });
    log.write(mine.request_id + " at " + front.name + " has status " +
              std::to_string(got.status) + ", events of " + mine.software +
              " up to " + std::to_string(mine.last_event) + ", then breaks");
}

/// Asks for a stream a few times, as long as it is refused as not run.
/// \returns whether its first event is the next one, of the same software
bool take_up(world const& all, stream const& broken, unsigned number,
             record& log)
{
    constexpr unsigned attempts = 4;
    constexpr milliseconds limit{3'000};
    constexpr double retry_default_s = 0.2;
    for (unsigned attempt = 1; attempt <= attempts; ++attempt)
    {
        auto const id = broken.request_id + "-again-" + std::to_string(attempt);
        auto asked = stream_request(id, number);
        if (broken.last_event > 0)
        {
            asked.fields.push_back(
                {"Last-Event-Id", std::to_string(broken.last_event)});
            asked.fields.push_back({"Resumes", broken.request_id});
        }
        auto const& front =
            *all.fronts[(broken.front + attempt) % all.fronts.size()];
        std::vector<event> seen;
        auto const got = call(front.callers, asked, limit,
                              [&](std::string const& bytes)
                              {
                                  seen = events_in(bytes);
                                  return seen.empty();
                              });
        auto const retry = value_of(got.fields, "Retry-After");
        log.write(id + " at " + front.name + " after event " +
                  std::to_string(broken.last_event) + " has status " +
                  std::to_string(got.status) +
                  (seen.empty() ? ", Retry-After " + retry
                                : ", event " + std::to_string(seen.front().id) +
                                      " of " + seen.front().software));
        if (!seen.empty())
            return seen.front().id == broken.last_event + 1 &&
                   (broken.software.empty() ||
                    seen.front().software == broken.software);
        double const seconds =
            retry.empty() ? retry_default_s : std::atof(retry.c_str());
        pause_for(milliseconds{static_cast<int>(seconds * 1'000) + 50});
    }
    return false;
}

/// Takes streams up at once, each as a consumer of its own.
unsigned take_up_all(world const& all,
                     std::vector<std::unique_ptr<stream>> const& streams,
                     record& log)
{
    std::atomic<unsigned> result{0};
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < streams.size(); ++number)
        threads.emplace_back(
            [&, number]
            {
                if (take_up(all, *streams[number], number, log))
                    ++result;
            });
    for (auto& one : threads)
        one.join();
    return result;
}

std::vector<std::unique_ptr<stream>>
make_streams(std::string const& prefix, unsigned count, std::size_t fronts)
{
    std::vector<std::unique_ptr<stream>> result;
    for (unsigned number = 0; number < count; ++number)
    {
        result.push_back(std::make_unique<stream>());
        result.back()->request_id = prefix + std::to_string(number + 1);
        result.back()->front = number % fronts;
    }
    return result;
}

void kill_all(world& all, record& log)
{
    for (auto const& front : all.fronts)
        front->gateway->kill();
    for (auto const& side : all.sides)
        side->agent->kill();
    log.write("all gateways and agents are killed at once");
}

void start_all(world& all)
{
    for (auto const& front : all.fronts)
        all.start_gateway(*front);
    for (auto const& side : all.sides)
        all.start_agent(*side);
}

} // namespace

verdict play_killed_processes(record& log, bool has_trouble)
{
    constexpr unsigned stream_count = 24;
    constexpr unsigned streams_least = 12;
    constexpr milliseconds settling{2'500};
    constexpr milliseconds streaming{2'000};
    constexpr milliseconds down{1'000};
    constexpr milliseconds margin{500};
    bounds const limits;
    world all(log, limits);
    all.platform.put("keyed.op", "config", config);
    for (int count = 0; count < 3; ++count)
        all.add_front();
    for (unsigned number = 1; number <= 4; ++number)
    {
        worker_traits traits;
        traits.id = "i-engine-" + std::to_string(number);
        traits.service = "engines";
        traits.software = number <= 2 ? "v1" : "v2";
        traits.events = 150;
        traits.event_interval = milliseconds{100};
        all.add_side(traits);
    }
    all.wait_ready();
    pause_for(settling);
    auto const streams =
        make_streams("stream-", stream_count, all.fronts.size());
    std::vector<std::thread> consumers;
    for (unsigned number = 0; number < stream_count; ++number)
        consumers.emplace_back(
            [&, number]
            {
                begin(all, *streams[number], number, log);
            });
    pause_for(streaming);
    if (has_trouble)
        kill_all(all, log);
    for (auto const& one : streams)
        one->has_left = true;
    for (auto& one : consumers)
        one.join();
    pause_for(down);
    if (has_trouble)
        start_all(all);
    all.wait_ready();
    pause_for(milliseconds{limits.contact_ms} + margin);
    auto const begun =
        static_cast<unsigned>(std::count_if(streams.begin(), streams.end(),
                                            [](auto const& one)
                                            {
                                                return one->last_event > 0;
                                            }));
    auto const fresh = take_up_all(
        all, make_streams("new-", stream_count, all.fronts.size()), log);
    auto const gone_on = take_up_all(all, streams, log);
    log.write(std::to_string(begun) + " streams had begun and were taken up, " +
              std::to_string(gone_on) + " went on; of " +
              std::to_string(stream_count) + " new ones " +
              std::to_string(fresh) + " began");
    if (begun < streams_least || fresh == 0)
        return verdict::not_run;
    double const share = static_cast<double>(gone_on) / begun;
    double const share_of_new = static_cast<double>(fresh) / stream_count;
    if (share >= share_of_new / 2)
        return verdict::held;
    log.write("LOST: streams go on less than half as often as new ones begin");
    return verdict::broken;
}

} // namespace review
