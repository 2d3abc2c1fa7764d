// The daemon on the platform's instances: a gateway or an agent, by its first
// argument.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <jujubestand/agent/agent.hpp>
#include <jujubestand/gateway/gateway.hpp>
#include <platform/names.hpp>
#include <platform/settings.hpp>
#include <tclap/CmdLine.h>

namespace
{

using jujubestand::reason;
using jujubestand::process::exit_code;

constexpr char const* about =
    "Routes language-model traffic on the users' platform. Exit codes: 0 "
    "stopped with nothing cut, 1 could not start, 2 bad arguments or "
    "settings, 3 stopped with calls cut at the end of its grace.";

struct arguments
{
    std::string role;
    std::string file;
    bool is_check = false;
};

arguments read_arguments(int argc, char** argv)
{
    char const* const given = std::getenv(platform::names::settings_variable);
    TCLAP::CmdLine line(about, ' ', JUJUBESTAND_VERSION);
    std::vector<std::string> roles{"gateway", "agent"};
    TCLAP::ValuesConstraint<std::string> allowed(roles);
    TCLAP::UnlabeledValueArg<std::string> const role(
        "role", "what this process does", true, "", &allowed, line);
    TCLAP::ValueArg<std::string> const file(
        "s", "settings", "settings file; the platform names it otherwise",
        false, given == nullptr ? "" : given, "FILE", line);
    TCLAP::SwitchArg const check("c", "check", "check the settings and exit",
                                 line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    return arguments{role.getValue(), file.getValue(), check.getValue()};
}

exit_code run(arguments const& given)
{
    std::vector<reason> problems;
    auto read = platform::load_settings(given.file, problems);
    for (auto const& problem : problems)
        std::cerr << problem.place << ": " << problem.text << '\n';
    if (!read)
        return exit_code::bad_settings;
    if (given.is_check)
    {
        std::cout << given.file << ": ok\n";
        return exit_code::stopped;
    }
    if (given.role == "agent")
        return jujubestand::agent::run(std::move(*read));
    return jujubestand::gateway::run(std::move(*read));
}

} // namespace

int main(int argc, char** argv)
{
    // A connection that breaks while it is written to is told as an error.
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return static_cast<int>(run(read_arguments(argc, argv)));
    }
    catch (TCLAP::ArgException const& error)
    {
        std::cerr << error.error() << ' ' << error.argId() << '\n';
    }
    catch (TCLAP::ExitException const& exit)
    {
        return exit.getExitStatus();
    }
    return static_cast<int>(exit_code::bad_settings);
}
