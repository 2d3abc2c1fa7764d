// The daemon: an entry or a sidecar, by its first argument.

#include <glog/logging.h>
#include <iostream>
#include <jujubestand/process/daemon.hpp>
#include <jujubestand/settings/settings.hpp>
#include <tclap/CmdLine.h>

namespace
{

using jujubestand::from_name;
using jujubestand::reason;
using jujubestand::process::exit_code;
namespace settings = jujubestand::settings;

constexpr char const* about =
    "Routes language-model traffic with long shared prompts. Exit codes: 0 "
    "stopped with nothing cut, 1 could not start, 2 bad arguments or "
    "settings, 3 stopped with requests cut at the drain's limit.";

struct arguments
{
    std::string role;
    std::string file;
    bool is_check = false;
};

arguments read_arguments(int argc, char** argv)
{
    TCLAP::CmdLine line(about, ' ', JUJUBESTAND_VERSION);
    std::vector<std::string> roles{"entry", "sidecar"};
    TCLAP::ValuesConstraint<std::string> allowed(roles);
    TCLAP::UnlabeledValueArg<std::string> const role(
        "role", "what this process does", true, "", &allowed, line);
    TCLAP::ValueArg<std::string> const file("s", "settings", "settings file",
                                            true, "", "FILE", line);
    TCLAP::SwitchArg const check("c", "check", "check the settings and exit",
                                 line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    return arguments{role.getValue(), file.getValue(), check.getValue()};
}

exit_code run(arguments const& given)
{
    auto const role = from_name(settings::role_names, given.role);
    std::vector<reason> problems;
    auto read = settings::load(given.file, *role, problems);
    for (auto const& problem : problems)
        std::cerr << problem.place << ": " << problem.text << '\n';
    if (!read)
        return exit_code::bad_settings;
    if (given.is_check)
    {
        std::cout << given.file << ": ok\n";
        return exit_code::stopped;
    }
    return jujubestand::process::run_daemon(std::move(*read), *role);
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
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
