#include <standins/log/log_service.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("The platform's log service, as a stand-in. Switches "
                        "over POST /_fault: outage, hang, slow_ms, "
                        "lose_answers_per_1000, late_per_1000, late_ms, "
                        "double_per_1000, appends_per_second, keep_ms, "
                        "keep_records.",
                        ' ', "1");
    TCLAP::ValueArg<std::string> const listen("", "listen", "address to serve",
                                              false, "127.0.0.1:0", "IP:PORT",
                                              line);
    TCLAP::ValueArg<std::uint64_t> const seed(
        "", "seed", "chooses what the faults hit", false, 1, "N", line);
    TCLAP::ValueArg<std::int64_t> const keep_ms(
        "", "keep-ms", "age at which records go; 0: never", false, 0, "MS",
        line);
    TCLAP::ValueArg<std::size_t> const keep_records(
        "", "keep-records", "records kept of a stream; 0: all", false, 0, "N",
        line);
    line.parse(argc, argv);

    standins::log_switches switches;
    switches.keep_ms = keep_ms.getValue();
    switches.keep_records = keep_records.getValue();
    auto const base = standins::make_base();
    standins::log_service const service(
        base.get(), standins::address_argument(listen.getValue()),
        seed.getValue(), switches);
    return standins::serve(base.get(), service.bound());
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
