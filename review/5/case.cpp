// A new config adds a route with the prefix "/". Do its clients get the
// workers' answers for every path under it?

#include <review/standins/worker.hpp>

namespace
{

using namespace review;

constexpr unsigned requests_count = 10;
constexpr milliseconds config_apply{2'000};

std::string route(std::string const& host, std::string const& prefix)
{
    return R"({"name":")" + host + R"(","host":")" + host +
           R"(","path-prefix":")" + prefix +
           R"(","kind":"safe","timeout-ms":4000,"target-latency-ms":300,)" +
           R"("priority":2,"service":"app","max-attempts":2,"public":false,)" +
           R"("sticky":false})";
}

std::string config(unsigned version, bool has_second)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("first.example", "/lots/") +
           (has_second ? "," + route("second.example", "/") : "") +
           R"(],"services":[{"name":"app","health-path":"/health",)"
           R"("max-conns":100,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
           R"("tenants":[{"name":"tenant","api-keys":["key"],"priority":1,)"
           R"("isolated":false}]})";
}

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
        this->platform.put("keyed.op", "config", config(1, false));
        for (unsigned number = 0; number < 2; ++number)
            this->add_worker(number);
        auto const internal = free_port(host(10));
        for (unsigned number = 0; number < 2; ++number)
        {
            endpoint const front{host(10 + number),
                                 free_port(host(10 + number))};
            endpoint const ready{front.host, free_port(front.host)};
            this->processes.push_back(std::make_unique<process>(
                "gateway", gateway_settings(this->folder,
                                            "front-" + std::to_string(number),
                                            front, ready.port, internal,
                                            this->platform.bound())));
            if (!wait_ready(ready, milliseconds{15'000}))
                return 2;
            this->fronts.push_back(front);
        }
        std::this_thread::sleep_for(milliseconds{1'500});
        this->play("first.example", "/lots/ready");
        if (is_troubled())
        {
            this->platform.put("keyed.op", "config", config(2, true));
            this->written.line("operator: config 2 is acknowledged, it adds "
                               "the route second.example with prefix /");
            std::this_thread::sleep_for(2 * config_apply);
            this->play("second.example", "/status");
            this->play("second.example", "/ready");
        }
        this->written.line("answered by a worker " +
                           std::to_string(this->served) +
                           "; success without a worker's stamp " +
                           std::to_string(this->unstamped));
        if (this->served == 0)
            return 2;
        return this->unstamped > 0 ? 1 : 0;
    }

    void end()
    {
        this->processes.clear();
        std::filesystem::remove_all(this->folder);
    }

private:
    void add_worker(unsigned number)
    {
        this->workers.push_back(std::make_unique<worker>(
            this->platform,
            worker::options{"i-app-" + std::to_string(number), "app",
                            host(100 + number), 6, "", "v1"},
            [this, number](connection& open, message const& request)
            {
                auto const id = request.get("X-Request-Id");
                this->written.line(this->workers[number]->id() + " runs " + id);
                return open.write(response(
                    "200 OK",
                    {{"X-Request-Id", id},
                     {"X-Response-Stamp", this->workers[number]->stamp()}},
                    "answer of " + request.path()));
            }));
    }

    void play(std::string const& name, std::string const& path)
    {
        for (unsigned number = 0; number < requests_count; ++number)
        {
            auto const id = name + path + "-" + std::to_string(number);
            auto const got =
                send_request(this->fronts[number % 2], "GET " + path,
                             {{"Host", name},
                              {"X-Request-Id", id},
                              {"X-Deadline-Ms", "4000"},
                              {"X-Api-Key", "key"}},
                             "", milliseconds{5'000});
            bool const is_success = got.got.status() / 100 == 2;
            bool const is_stamped = got.got.has("X-Response-Stamp");
            this->served += is_success && is_stamped ? 1 : 0;
            this->unstamped += is_success && !is_stamped ? 1 : 0;
            this->written.line("client: " + id + " got " +
                               std::to_string(got.got.status()) +
                               (is_stamped ? " with stamp" : " without stamp") +
                               ", body \"" + got.got.body + "\"");
        }
    }

    record written;
    std::string folder;
    store platform;
    unsigned served = 0;
    unsigned unstamped = 0;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<endpoint> fronts;
};

} // namespace

int main(int, char** arguments)
{
    run played(arguments[1]);
    int const result = played.go();
    played.end();
    std::_Exit(result);
}
