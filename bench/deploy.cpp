// Starts a whole deployment on loopback and holds it until it is told to
// stop: by SIGTERM or SIGINT, or by the end of its standard input.

#include <bench/support/deployment.hpp>
#include <csignal>
#include <iostream>
#include <poll.h>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace
{

using namespace jujubestand;

volatile std::sig_atomic_t is_stopping = 0;

void ask_stop(int)
{
    is_stopping = 1;
}

/// \brief Holds the stop signals back until `wait_stop` looks for them, so
/// that a stop in the middle of the start still leaves in order.
class held_signals
{
public:
    held_signals()
    {
        sigset_t held;
        sigemptyset(&held);
        sigaddset(&held, SIGTERM);
        sigaddset(&held, SIGINT);
        ::sigprocmask(SIG_BLOCK, &held, &this->before);
        struct sigaction action = {};
        action.sa_handler = ask_stop;
        ::sigaction(SIGTERM, &action, nullptr);
        ::sigaction(SIGINT, &action, nullptr);
    }

    void wait_stop(bool is_until_eof) const
    {
        pollfd input{is_until_eof ? STDIN_FILENO : -1, POLLIN, 0};
        while (is_stopping == 0)
        {
            int const ready = ::ppoll(&input, 1, nullptr, &this->before);
            char byte = 0;
            if (ready > 0 && ::read(STDIN_FILENO, &byte, 1) <= 0)
                return;
        }
    }

private:
    sigset_t before{};
};

void show(std::string const& kind, bench::deployed_process const& process)
{
    std::cout << kind << ' ' << process.name << ' ' << to_text(process.http)
              << '\n';
}

void show_all(bench::deployment const& running)
{
    show("log", running.log);
    show("list", running.list);
    show("store", running.store);
    for (auto const& engine : running.engines)
        show("engine", engine);
    for (auto const& service : running.services)
        show("service", service);
    for (auto const& sidecar : running.sidecars)
        show("sidecar", sidecar);
    for (auto const& entry : running.entries)
        show("entry", entry);
    std::cout << "folder " << running.folder().string() << '\n'
              << "deployed" << std::endl;
}

int run(int argc, char** argv)
{
    bench::deployment_plan plan;
    TCLAP::CmdLine line("Starts stand-ins, sidecars and entries on loopback, "
                        "prints `KIND NAME IP:PORT` for each and `deployed`, "
                        "and stops all on SIGTERM, SIGINT or, with "
                        "--until-eof, at the end of standard input. Teams use "
                        "`Authorization: Bearer key-of-team-N`, N from 0.",
                        ' ', "1");
    TCLAP::ValueArg<std::size_t> entries("", "entries", "entries", false,
                                         plan.entries, "N", line);
    TCLAP::ValueArg<std::size_t> engines("", "engines", "engines", false,
                                         plan.engines, "N", line);
    TCLAP::ValueArg<std::size_t> services("", "services", "plain services",
                                          false, plan.services, "N", line);
    TCLAP::SwitchArg until_eof("", "until-eof",
                               "stop at the end of standard input", line);
    line.parse(argc, argv);
    plan.entries = entries.getValue();
    plan.engines = engines.getValue();
    plan.services = services.getValue();

    held_signals const signals;
    bench::deployment running(plan);
    show_all(running);
    signals.wait_stop(until_eof.getValue());
    auto const unclean = running.stop();
    for (auto const& name : unclean)
        std::cout << "unclean " << name << '\n';
    std::cout << "stopped" << std::endl;
    return unclean.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
