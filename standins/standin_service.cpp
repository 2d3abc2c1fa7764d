#include <standins/service/plain_service.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("A plain service, as a stand-in; counts executions "
                        "per Idempotency-Key. Switches over POST /_fault: "
                        "slow_ms, run_after_ms, lose_answers, "
                        "crash_after_run, refuse, hang.",
                        ' ', "1");
    TCLAP::ValueArg<std::string> const listen("", "listen", "address to serve",
                                              false, "127.0.0.1:0", "IP:PORT",
                                              line);
    TCLAP::ValueArg<std::string> const journal(
        "", "journal", "file that keeps the counts over a crash", false, "",
        "PATH", line);
    line.parse(argc, argv);

    auto const base = standins::make_base();
    standins::plain_service const service(
        base.get(), standins::address_argument(listen.getValue()),
        journal.getValue());
    return standins::serve(base.get(), service.bound());
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
