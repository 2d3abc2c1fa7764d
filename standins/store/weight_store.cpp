#include <standins/store/weight_store.hpp>

#include <algorithm>
#include <standins/support/program.hpp>
#include <vector>

namespace jujubestand::standins
{

namespace
{

constexpr double done_below_ms = 0.5;
constexpr double microseconds_per_millisecond = 1'000;

/// The store's rate is shared: each of `running` gets an equal part.
double speed(std::size_t running, std::size_t full_speed_loads)
{
    if (running <= full_speed_loads)
        return 1;
    return static_cast<double>(full_speed_loads) / static_cast<double>(running);
}

} // namespace

weight_store::weight_store(event_base* base, address const& where,
                           store_switches const& initial)
    : server(base, where)
    , switches(initial)
    , held(base)
    , later(base)
    , advanced(mono_now())
{
    this->server.on(EVHTTP_REQ_POST, "/v1/loads",
                    [this](http_call const& call)
                    {
                        this->handle_load(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/_stats",
                    [this](http_call const& call)
                    {
                        this->handle_stats(call);
                    });
    serve_switches(this->server, this->switches);
}

address weight_store::bound() const
{
    return this->server.bound();
}

void weight_store::handle_load(http_call const& call)
{
    if (this->switches.outage)
        return reply(call.request, HTTP_SERVUNAVAIL, R"({"error":"out"})");
    this->advance();
    std::uint64_t const id = this->next_load++;
    this->loads[id] = load{this->held.hold(call.request, longest_hold, cut),
                           static_cast<double>(this->switches.load_ms)};
    this->most_at_once = std::max(this->most_at_once, this->loads.size());
    this->schedule();
}

void weight_store::handle_stats(http_call const& call)
{
    nlohmann::json const report{{"running", this->loads.size()},
                                {"finished", this->finished},
                                {"most_at_once", this->most_at_once}};
    reply(call.request, HTTP_OK, report.dump());
}

void weight_store::advance()
{
    mono_time const now = mono_now();
    double const passed_ms =
        static_cast<double>((now - this->advanced).count()) /
        microseconds_per_millisecond;
    this->advanced = now;
    double const done_ms =
        passed_ms * speed(this->loads.size(), this->switches.full_speed_loads);
    std::vector<std::uint64_t> done;
    for (auto& [id, item] : this->loads)
    {
        item.left_ms -= done_ms;
        if (item.left_ms < done_below_ms)
            done.push_back(id);
    }
    for (std::uint64_t const id : done)
    {
        auto* const request = this->held.take(this->loads.at(id).held);
        this->loads.erase(id);
        ++this->finished;
        if (request != nullptr)
            reply(request, HTTP_OK, R"({"loaded":true})");
    }
}

void weight_store::schedule()
{
    if (this->timer)
        this->later.drop(*this->timer);
    this->timer.reset();
    if (this->loads.empty())
        return;
    auto const first =
        std::min_element(this->loads.begin(), this->loads.end(),
                         [](auto const& a, auto const& b)
                         {
                             return a.second.left_ms < b.second.left_ms;
                         });
    double const wait_ms =
        first->second.left_ms /
        speed(this->loads.size(), this->switches.full_speed_loads);
    std::chrono::microseconds const wait(
        static_cast<std::int64_t>(wait_ms * microseconds_per_millisecond));
    this->timer = this->later.run(wait,
                                  [this]
                                  {
                                      this->timer.reset();
                                      this->advance();
                                      this->schedule();
                                  });
}

} // namespace jujubestand::standins
