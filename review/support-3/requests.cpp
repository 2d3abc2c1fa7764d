#include "cases.hpp"

#include <algorithm>

// Requests to plain services.
namespace review
{

namespace
{

constexpr char const* shop_host = "shop.example";

std::string route(std::string const& name, std::string const& prefix)
{
    return R"({"name":")" + name + R"(","host":")" + shop_host +
           R"(","path-prefix":")" + prefix +
           R"(","kind":"unsafe","timeout-ms":2000,"target-latency-ms":300,)"
           R"("priority":2,"service":"app","max-attempts":1,"public":true,)"
           R"("sticky":false})";
}

std::string config(std::uint64_t version, std::string const& routes,
                   std::size_t body_bytes = 4'194'304)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes +
           R"(],"services":[{"name":"app","health-path":"/health",)"
           R"("max-conns":100,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":)" +
           std::to_string(body_bytes) +
           R"(,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

request post(std::string const& target, std::string const& id,
             std::string const& body)
{
    return {
        "POST",
        target,
        {{"Host", shop_host}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}},
        body};
}

answer send(world const& all, std::size_t number, request const& sent,
            record& log)
{
    constexpr milliseconds limit{3'000};
    auto const& front = *all.fronts[number % all.fronts.size()];
    auto const got = call(front.callers, sent, limit);
    auto const stamp = value_of(got.fields, "X-Response-Stamp");
    log.write(value_of(sent.fields, "X-Request-Id") + ' ' + sent.method + ' ' +
              sent.target + " at " + front.name + " is answered " +
              std::to_string(got.status) + ", " +
              (got.is_complete ? "whole" : "not whole") + ", " +
              (stamp.empty() ? "no stamp" : "stamp " + stamp) + ", " +
              std::to_string(got.body.size()) + " bytes");
    return got;
}

bool is_success(answer const& got)
{
    return got.status >= 200 && got.status < 300;
}

void add_services(world& all, unsigned count, std::string const& crashing)
{
    for (unsigned number = 1; number <= count; ++number)
    {
        worker_traits traits;
        traits.id = "i-app-" + std::to_string(number);
        traits.service = "app";
        traits.crashing = crashing;
        traits.event_interval = milliseconds{150};
        all.add_service(traits);
    }
}

std::vector<run> runs_of(world const& all, std::string const& prefix)
{
    std::vector<run> result;
    for (auto const& service : all.services)
    {
        for (auto const& begun : service->runs())
        {
            if (begun.request_id.rfind(prefix, 0) == 0)
                result.push_back(begun);
        }
    }
    std::sort(result.begin(), result.end(),
              [](run const& left, run const& right)
              {
                  return left.at < right.at;
              });
    return result;
}

std::size_t lost_requests(world const& all, milliseconds from)
{
    std::size_t result = 0;
    for (auto const& service : all.services)
    {
        for (auto const at : service->unanswered())
            result += at > from ? 1 : 0;
    }
    return result;
}

/// Starts services again some time after they have crashed, under other ids.
class supervisor
{
public:
    explicit supervisor(world& all)
        : thread(
              [this, &all]
              {
                  this->restart(all);
              })
    {
    }

    ~supervisor()
    {
        this->is_ended = true;
        this->thread.join();
    }

    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

private:
    void restart(world& all)
    {
        constexpr milliseconds down{2'000};
        std::map<worker*, steady::time_point> ended;
        while (!this->is_ended)
        {
            pause_for(milliseconds{10});
            for (auto const& service : all.services)
            {
                if (service->is_running())
                    continue;
                auto const [row, is_new] =
                    ended.emplace(service.get(), steady::now());
                if (is_new || steady::now() - row->second < down)
                    continue;
                ended.erase(row);
                service->change(
                    [this](worker_traits& traits)
                    {
                        traits.id = "i-app-" + std::to_string(++this->last_id);
                    });
                service->start();
            }
        }
    }

    unsigned last_id = 100;
    std::atomic<bool> is_ended{false};
    std::thread thread;
};

/// Sends a request again and again, each time with a new id.
class repeated_sender
{
public:
    repeated_sender(world const& all, record& log, std::string prefix,
                    std::string target, milliseconds interval)
        : thread(
              [this, &all, &log, prefix, target, interval]
              {
                  for (std::size_t number = 1; !this->is_ended; ++number)
                  {
                      auto const sent =
                          post(target, prefix + std::to_string(number),
                               "the same body");
                      std::thread(
                          [&all, &log, number, sent]
                          {
                              (void)send(all, number, sent, log);
                          })
                          .detach();
                      pause_for(interval);
                  }
              })
    {
    }

    ~repeated_sender()
    {
        this->is_ended = true;
        this->thread.join();
        constexpr milliseconds last_answers{3'200};
        pause_for(last_answers);
    }

    repeated_sender(repeated_sender const&) = delete;
    repeated_sender& operator=(repeated_sender const&) = delete;

private:
    std::atomic<bool> is_ended{false};
    std::thread thread;
};

} // namespace

verdict play_added_route(record& log, bool has_trouble)
{
    constexpr char const* crashing_path = "/book/eu/2f";
    constexpr std::size_t crashes_counted = 3;
    constexpr std::size_t retries_allowed = 3;
    constexpr milliseconds crash_limit{15'000};
    constexpr milliseconds after{12'000};
    bounds const limits;
    world all(log, limits);
    auto const first = route("r-book", "/book/");
    all.platform.put("keyed.op", "config", config(1, first));
    all.add_front();
    all.add_front();
    add_services(all, 9, crashing_path);
    all.wait_ready();
    pause_for(milliseconds{1'500});
    milliseconds counted_from{0};
    {
        supervisor const restarts(all);
        repeated_sender const sound(all, log, "sound-", "/book/kz/2f",
                                    milliseconds{25});
        repeated_sender const bad(all, log, "bad-", crashing_path,
                                  milliseconds{250});
        if (!wait_until(
                [&]
                {
                    return runs_of(all, "bad-").size() >= crashes_counted;
                },
                crash_limit))
            return verdict::not_run;
        counted_from = runs_of(all, "bad-")[crashes_counted - 1].at +
                       milliseconds{limits.contact_ms};
        wait_until(
            [&]
            {
                return log.now() > counted_from;
            },
            crash_limit);
        pause_for(milliseconds{1'000});
        if (has_trouble)
        {
            all.platform.put(
                "keyed.op", "config",
                config(2, first + ',' + route("r-book-eu", "/book/eu/")));
            log.write("the operator adds the route r-book-eu, /book/eu/");
        }
        pause_for(after);
    }
    auto const runs = runs_of(all, "bad-");
    auto const retries = static_cast<std::size_t>(
        std::count_if(runs.begin(), runs.end(),
                      [&](run const& begun)
                      {
                          return begun.at > counted_from;
                      }));
    log.write(std::to_string(lost_requests(all, counted_from)) +
              " sound requests ran later than that at workers that ended with "
              "them");
    log.write("the request reached workers " + std::to_string(runs.size()) +
              " times, of these " + std::to_string(retries) +
              " later than contact-ms after its third crash");
    if (retries > retries_allowed)
        log.write("BUDGET: more than three retries");
    return retries > retries_allowed ? verdict::broken : verdict::held;
}

// Consumers keep their connections and send a request on each of them before
// and after the change.
verdict play_raised_limit(record& log, bool has_trouble)
{
    constexpr std::size_t first_limit = 1'000'000;
    constexpr std::size_t second_limit = 4'194'304;
    constexpr std::size_t small_body = 600;
    constexpr std::size_t large_body = 1'200'000;
    constexpr unsigned connection_count = 24;
    constexpr milliseconds limit{3'000};
    bounds const limits;
    world all(log, limits);
    auto const routes = route("r-orders", "/orders/");
    all.platform.put(
        "keyed.op", "config",
        config(1, routes, has_trouble ? first_limit : second_limit));
    all.add_front();
    all.add_front();
    add_services(all, 3, "");
    all.wait_ready();
    pause_for(milliseconds{1'500});
    std::vector<std::unique_ptr<kept_connection>> kept;
    for (unsigned number = 0; number < connection_count; ++number)
        kept.push_back(std::make_unique<kept_connection>(
            all.fronts[number % all.fronts.size()]->callers));
    auto const send_all = [&](std::string const& prefix, std::size_t size)
    {
        std::map<int, unsigned> result;
        for (unsigned number = 0; number < connection_count; ++number)
        {
            auto const id = prefix + std::to_string(number + 1);
            auto const got = kept[number]->call(
                post("/orders/2f", id, std::string(size, 'x')), limit);
            ++result[got.status];
            log.write(id + ", " + std::to_string(size) +
                      " bytes on kept connection " +
                      std::to_string(number + 1) + ", is answered " +
                      std::to_string(got.status));
        }
        return result;
    };
    auto const before = send_all("before-", small_body);
    if (has_trouble)
    {
        all.platform.put("keyed.op", "config", config(2, routes, second_limit));
        log.write("the operator raises max-body-bytes to " +
                  std::to_string(second_limit));
    }
    pause_for(milliseconds{2 * limits.config_apply_ms});
    auto after = send_all("after-", large_body);
    auto const on_new =
        call(all.fronts.front()->callers,
             post("/orders/2f", "new-1", std::string(large_body, 'x')), limit);
    log.write("new-1, on a new connection, is answered " +
              std::to_string(on_new.status));
    if (before.count(200) == 0 || before.at(200) != connection_count ||
        on_new.status != 200)
        return verdict::not_run;
    constexpr unsigned allowed = 5;
    unsigned const all_requests = 2 * connection_count + 1;
    unsigned const denied = after[413];
    log.write(std::to_string(denied) + " of " + std::to_string(all_requests) +
              " requests are ended with a 413 of the gateway's own");
    if (denied <= allowed + all_requests / 500)
        return verdict::held;
    log.write("DENIED: more than 5 + one in 500");
    return verdict::broken;
}

} // namespace review
