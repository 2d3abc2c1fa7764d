#include <jujubestand/gateway/learned_speeds.hpp>

#include <iomanip>
#include <jujubestand/dispatch/speeds.hpp>
#include <sstream>

namespace jujubestand::gateway
{

namespace
{

std::string to_text(double value)
{
    constexpr int digits = 2;
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

} // namespace

void review_learned_speeds(gateway_state& state)
{
    for (auto const& change :
         dispatch::review_speeds(state.dispatch, mono_now()))
        state.log->write(
            event_number::speeds_in_use, {},
            {{"pool", change.pool},
             {"kind", change.kind},
             {"source", change.is_learned ? "learned" : "constant"},
             {"median", to_text(change.median)},
             {"spread", to_text(change.spread)}});
}

} // namespace jujubestand::gateway
