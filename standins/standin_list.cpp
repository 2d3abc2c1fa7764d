#include <standins/list/instance_list.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("The platform's list of instances, as a stand-in. "
                        "Switches over POST /_fault: lag_ms, slow_ms, outage.",
                        ' ', "1");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to serve", false,
                                        "127.0.0.1:0", "IP:PORT", line);
    TCLAP::ValueArg<std::int64_t> lag_ms(
        "", "lag-ms", "age of what is shown", false,
        standins::list_switches{}.lag_ms, "MS", line);
    line.parse(argc, argv);

    standins::list_switches switches;
    switches.lag_ms = lag_ms.getValue();
    auto const base = standins::make_base();
    standins::instance_list const service(
        base.get(), standins::address_argument(listen.getValue()), switches);
    return standins::serve(base.get(), service.bound());
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
