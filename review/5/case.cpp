// A route is split over two services. The operator moves most of its weight to
// the other one while streams run, and a gateway is killed. Do the streams that
// clients take up again go on at the version that began them?

#include <review/standins/worker.hpp>

namespace
{

using namespace review;

constexpr unsigned fronts_count = 5;
constexpr unsigned workers_per_service = 3;
constexpr unsigned streams_count = 40;
constexpr unsigned events_count = 80;
constexpr milliseconds event_interval{100};
constexpr milliseconds config_apply{2'000};

std::string service(std::string const& name)
{
    return R"({"name":")" + name +
           R"(","health-path":"/health","max-conns":360,"protocol":"h1",)"
           R"("tls":false,"engine":{"slots":64,"kv-capacity-tokens":95939,)"
           R"("kv-token-bytes":163840,"models":[{"name":"m1"}]}})";
}

std::string config(unsigned version, unsigned old_weight)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"chat","host":"chat.example",)"
           R"("path-prefix":"/chat/","kind":"stream","timeout-ms":12000,)"
           R"("target-latency-ms":400,"priority":0,"traffic-split":[)"
           R"({"service":"llm-old","weight":)" +
           std::to_string(old_weight) + R"(},{"service":"llm-new","weight":)" +
           std::to_string(100 - old_weight) +
           R"(}],"max-attempts":2,"public":false,"sticky":true,)"
           R"("resumable":true,"gap-aim-ms":400}],"services":[)" +
           service("llm-old") + "," + service("llm-new") +
           R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
           R"("tenants":[{"name":"tenant","api-keys":["key"],"priority":1,)"
           R"("isolated":false}]})";
}

/// A model worker that writes a numbered event each tenth of a second, and
/// goes on after `Last-Event-Id`.
class engine
{
public:
    engine(store& platform, std::string const& service,
           std::string const& software, unsigned number, record& written)
        : software(software)
        , written(written)
        , common(platform,
                 {"i-" + service + "-" + std::to_string(number), service,
                  host(number), 64, "m1", software},
                 [this](connection& open, message const& request)
                 {
                     return this->run(open, request);
                 })
    {
    }

    worker& base()
    {
        return this->common;
    }

private:
    bool run(connection& open, message const& request)
    {
        auto const id = request.get("X-Request-Id");
        unsigned const after = std::stoul("0" + request.get("Last-Event-Id"));
        this->written.line(this->common.id() + " (" + this->software +
                           ") runs " + id + " from event " +
                           std::to_string(after + 1));
        if (!open.write(head_of("HTTP/1.1 200 OK",
                                {{"Content-Type", "text/event-stream"},
                                 {"X-Request-Id", id},
                                 {"X-Weight-Versions", "1"},
                                 {"X-Response-Stamp", this->common.stamp()},
                                 {"Transfer-Encoding", "chunked"}})))
            return false;
        for (unsigned event = after + 1; event <= events_count; ++event)
        {
            auto const text = "id: " + std::to_string(event) +
                              "\ndata: " + this->software + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (open.has_left() || !open.write(size + text + "\r\n"))
                return false;
            std::this_thread::sleep_for(event_interval);
        }
        return open.write("0\r\n\r\n");
    }

    std::string software;
    record& written;
    worker common;
};

/// A stream as its client holds it.
struct stream
{
    std::string id;
    unsigned last_event = 0;
    std::string software;
    bool is_whole = false;
};

void take_events(std::string const& body, stream& into)
{
    std::size_t at = 0;
    for (std::size_t end = 0;
         (end = body.find("\n\n", at)) != std::string::npos; at = end + 2)
    {
        auto const event = body.substr(at, end - at);
        into.last_event = static_cast<unsigned>(
            std::stoul(event.substr(event.find("id: ") + 4)));
        into.software = event.substr(event.find("data: ") + 6);
    }
}

struct front
{
    endpoint where;
    std::unique_ptr<process> program;
};

class run
{
public:
    explicit run(char const* path)
        : written(path)
        , folder(make_folder())
        , platform(host(1))
    {
    }

    int go()
    {
        this->platform.put("keyed.op", "config", config(1, 95));
        auto const internal = free_port(host(10));
        this->add_workers("llm-old", "v1", 100, internal);
        this->add_workers("llm-new", "v2", 110, internal);
        if (!this->start_gateways(internal))
            return 2;
        std::this_thread::sleep_for(milliseconds{3'000});
        std::vector<std::thread> clients;
        std::vector<stream> streams(streams_count);
        for (unsigned number = 0; number < streams_count; ++number)
            clients.emplace_back(
                [this, number, &streams]
                {
                    this->play(number, streams[number]);
                });
        this->disturb();
        for (auto& client : clients)
            client.join();
        return this->judge();
    }

    void end()
    {
        this->fronts.clear();
        this->agents.clear();
        std::filesystem::remove_all(this->folder);
    }

private:
    void add_workers(std::string const& service, std::string const& software,
                     unsigned first, std::uint16_t internal)
    {
        for (unsigned number = 0; number < workers_per_service; ++number)
        {
            this->engines.push_back(
                std::make_unique<engine>(this->platform, service, software,
                                         first + number, this->written));
            this->agents.push_back(std::make_unique<process>(
                "agent",
                agent_settings(this->folder,
                               "side-" + std::to_string(first + number),
                               this->engines.back()->base().bound(), service,
                               internal, this->platform.bound())));
        }
    }

    bool start_gateways(std::uint16_t internal)
    {
        for (unsigned number = 0; number < fronts_count; ++number)
        {
            auto const where = host(10 + number);
            auto& added = this->fronts.emplace_back();
            added.where = {where, free_port(where)};
            endpoint const ready{where, free_port(where)};
            added.program = std::make_unique<process>(
                "gateway",
                gateway_settings(this->folder,
                                 "front-" + std::to_string(number), added.where,
                                 ready.port, internal, this->platform.bound()));
            if (!wait_ready(ready, milliseconds{15'000}))
                return false;
        }
        return true;
    }

    answer send(std::string const& id, unsigned at, stream const* resumed)
    {
        std::vector<field> fields{
            {"Host", "chat.example"},
            {"X-Request-Id", id},
            {"X-Model", "m1"},
            {"X-Token-Usage", "826,80"},
            {"X-Prompt-Prefix",
             "5c1e07a2:198," +
                 std::to_string(10'000'000 +
                                std::hash<std::string>{}(id) % 90'000'000) +
                 ":628"},
            {"X-Deadline-Ms", "12000"},
            {"X-Api-Key", "key"}};
        if (resumed != nullptr)
        {
            fields.push_back(
                {"Last-Event-Id", std::to_string(resumed->last_event)});
            fields.push_back({"Resumes", resumed->id});
        }
        return send_request(this->fronts[at].where, "POST /chat/one", fields,
                            std::string(800, 'p'), milliseconds{12'500});
    }

    // One client: a stream at the gateway that will be killed. If its channel
    // breaks, it takes the stream up at another one, and once more after a
    // refusal.
    void play(unsigned number, stream& held)
    {
        held.id = "s" + std::to_string(number);
        auto const got = this->send(held.id, 0, nullptr);
        take_events(got.got.body, held);
        held.is_whole = got.got.is_whole;
        this->written.line("client: " + held.id + " got status " +
                           std::to_string(got.got.status()) + ", " +
                           std::to_string(held.last_event) + " events of " +
                           held.software +
                           (held.is_whole ? ", whole" : ", then it broke"));
        if (held.is_whole || held.last_event == 0)
            return;
        ++this->taken_up;
        for (unsigned attempt = 0; attempt < 2; ++attempt)
        {
            auto const id = held.id + "-" + std::to_string(attempt + 1);
            auto const again = this->send(
                id, 1 + (number + attempt) % (fronts_count - 1), &held);
            stream after;
            take_events(again.got.body, after);
            this->written.line(
                "client: " + id + " takes up " + held.id + " after event " +
                std::to_string(held.last_event) + " of " + held.software +
                ": status " + std::to_string(again.got.status()) +
                ", came to event " + std::to_string(after.last_event) + " of " +
                after.software);
            if (after.last_event > 0)
            {
                ++this->went_on;
                return;
            }
            auto const pause = again.got.get("Retry-After");
            std::this_thread::sleep_for(milliseconds{static_cast<int>(
                pause.empty() ? 0 : 1'000 * std::stod(pause))});
        }
    }

    void disturb()
    {
        std::this_thread::sleep_for(milliseconds{1'000});
        if (is_troubled())
        {
            this->platform.put("keyed.op", "config", config(2, 5));
            this->written.line(
                "operator: config 2 is acknowledged: weights 5 and 95");
        }
        std::this_thread::sleep_for(config_apply + milliseconds{500});
        if (is_troubled())
        {
            this->fronts[0].program->kill();
            this->written.line("front-0 is killed");
        }
        std::this_thread::sleep_for(milliseconds{100});
        std::vector<std::thread> clients;
        for (unsigned number = 0; number < streams_count; ++number)
            clients.emplace_back(
                [this, number]
                {
                    auto const id = "new" + std::to_string(number);
                    stream held;
                    auto const got = this->send(
                        id, 1 + number % (fronts_count - 1), nullptr);
                    take_events(got.got.body, held);
                    this->written.line("client: " + id + " is new: status " +
                                       std::to_string(got.got.status()) + ", " +
                                       std::to_string(held.last_event) +
                                       " events of " + held.software);
                    this->begun += held.last_event > 0 ? 1 : 0;
                });
        for (auto& client : clients)
            client.join();
    }

    int judge()
    {
        constexpr unsigned least = 12;
        auto const share = [](unsigned part, unsigned whole)
        {
            return whole == 0 ? 0.0 : static_cast<double>(part) / whole;
        };
        auto const new_share = share(this->begun, streams_count);
        auto const old_share = share(this->went_on, this->taken_up);
        this->written.line(
            "new streams begun " + std::to_string(this->begun) + " of " +
            std::to_string(streams_count) + "; streams taken up " +
            std::to_string(this->taken_up) + ", of which went on " +
            std::to_string(this->went_on));
        if (new_share == 0 || (is_troubled() && this->taken_up < least))
            return 2;
        bool const is_broken =
            this->taken_up >= least && old_share < new_share / 2;
        return is_broken ? 1 : 0;
    }

    record written;
    std::string folder;
    store platform;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<process>> agents;
    std::vector<front> fronts;
    std::atomic<unsigned> taken_up{0};
    std::atomic<unsigned> went_on{0};
    std::atomic<unsigned> begun{0};
};

} // namespace

int main(int, char** arguments)
{
    run played(arguments[1]);
    int const result = played.go();
    played.end();
    std::_Exit(result);
}
