#include <iostream>
#include <standins/relay/tcp_relay.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Carries TCP connections over a stated distance. The "
                        "second line, `control IP:PORT`, tells where POST "
                        "/_fault is: there_us, back_us, stall, cut.",
                        ' ', "1");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to relay from",
                                        false, "127.0.0.1:0", "IP:PORT", line);
    TCLAP::ValueArg<std::string> target("", "target", "address to relay to",
                                        true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::int64_t> there_us(
        "", "there-us", "delay to the target", false, 0, "US", line);
    TCLAP::ValueArg<std::int64_t> back_us("", "back-us", "delay back", false, 0,
                                          "US", line);
    line.parse(argc, argv);

    standins::relay_switches switches;
    switches.there_us = there_us.getValue();
    switches.back_us = back_us.getValue();
    auto const base = standins::make_base();
    standins::tcp_relay const relay(
        base.get(), standins::address_argument(listen.getValue()),
        standins::address_argument(target.getValue()), address{"127.0.0.1", 0},
        switches);
    std::cout << "listening " << to_text(relay.bound()) << '\n'
              << "control " << to_text(relay.control_bound()) << std::endl;
    return standins::run_loop(base.get());
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
