#include <bench/support/ask.hpp>

#include <standins/support/program.hpp>
#include <stdexcept>
#include <thread>

namespace jujubestand::bench
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::chrono::milliseconds answer_limit{5'000};

} // namespace

standins::fetch_result ask(standins::fetch_request const& request)
{
    auto const base = standins::make_base();
    standins::fetch_result result;
    standins::fetch(base.get(), request,
                    [&](standins::fetch_result got)
                    {
                        result = std::move(got);
                    });
    event_base_dispatch(base.get());
    return result;
}

standins::fetch_result get(address const& where, std::string const& path)
{
    standins::fetch_request request;
    request.where = where;
    request.path = path;
    request.timeout = answer_limit;
    return ask(request);
}

nlohmann::json get_json(address const& where, std::string const& path)
{
    auto const result = get(where, path);
    auto parsed = nlohmann::json::parse(result.body, nullptr, false);
    if (result.status != HTTP_OK || parsed.is_discarded())
        throw std::runtime_error("no JSON at " + to_text(where) + path);
    return parsed;
}

void set_fault(address const& where, nlohmann::json const& change)
{
    auto const result =
        ask({where, EVHTTP_REQ_POST, "/_fault", change.dump(), answer_limit});
    if (result.status != HTTP_OK)
        throw std::runtime_error("switch refused by " + to_text(where) + ": " +
                                 result.body);
}

bool wait_ok(address const& where, std::string const& path,
             std::chrono::milliseconds limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (get(where, path).status != HTTP_OK)
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace jujubestand::bench
