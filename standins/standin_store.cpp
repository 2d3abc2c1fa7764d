#include <standins/store/weight_store.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

int run(int argc, char** argv)
{
    standins::store_switches switches;
    TCLAP::CmdLine line("The platform's weight store, as a stand-in. Switches "
                        "over POST /_fault: load_ms, full_speed_loads, outage.",
                        ' ', "1");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to serve", false,
                                        "127.0.0.1:0", "IP:PORT", line);
    TCLAP::ValueArg<std::int64_t> load_ms("", "load-ms", "time of one load",
                                          false, switches.load_ms, "MS", line);
    TCLAP::ValueArg<std::size_t> full_speed(
        "", "full-speed-loads", "loads at once before all slow down", false,
        switches.full_speed_loads, "N", line);
    line.parse(argc, argv);

    switches.load_ms = load_ms.getValue();
    switches.full_speed_loads = full_speed.getValue();
    auto const base = standins::make_base();
    standins::weight_store const service(
        base.get(), standins::address_argument(listen.getValue()), switches);
    return standins::serve(base.get(), service.bound());
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
