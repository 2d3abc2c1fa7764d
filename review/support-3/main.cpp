#include "cases.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>

// Plays one case of the review: `rig CASE RECORD`. `TROUBLE=0` leaves the
// disruption out.
int main(int argc, char** argv)
{
    using namespace review;
    std::map<std::string, verdict (*)(record&, bool)> const cases{
        {"frozen-agent", play_frozen_agent},
        {"restarted-agent", play_restarted_agent},
        {"raised-limit", play_raised_limit},
        {"added-route", play_added_route},
        {"killed-processes", play_killed_processes},
        {"long-ids", play_long_ids}};
    std::signal(SIGPIPE, SIG_IGN);
    auto const found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
    {
        std::cerr << "use: rig CASE RECORD\n";
        return static_cast<int>(verdict::not_run);
    }
    char const* const trouble = std::getenv("TROUBLE");
    bool const has_trouble = trouble == nullptr || std::string(trouble) != "0";
    auto result = verdict::not_run;
    try
    {
        record log(argv[2]);
        log.write(std::string("case ") + argv[1] +
                  (has_trouble ? "" : " without its disruption"));
        result = found->second(log, has_trouble);
        constexpr char const* names[] = {"held", "broken", "not run"};
        log.write(std::string("result: ") + names[static_cast<int>(result)]);
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
    }
    return static_cast<int>(result);
}
