#include <chrono>
#include <standins/engine/engine_service.hpp>
#include <standins/support/program.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;
using standins::engine_costs;

template <class Value>
class option
{
public:
    option(TCLAP::CmdLine& line, std::string const& name,
           std::string const& text, Value otherwise)
        : argument("", name, text, false, otherwise, "VALUE", line)
    {
    }

    [[nodiscard]] Value value()
    {
        return this->argument.getValue();
    }

private:
    TCLAP::ValueArg<Value> argument;
};

std::uint64_t fresh_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

class cost_arguments
{
public:
    explicit cost_arguments(TCLAP::CmdLine& line)
        : step_us(line, "step-us", "fixed cost of a step",
                  engine_costs{}.step_us)
        , decode_us(line, "decode-us", "cost of one sequence in a step",
                    engine_costs{}.decode_us)
        , prefill_us(line, "prefill-us", "cost of one missed prompt token",
                     engine_costs{}.prefill_us_per_token)
        , prefill_tokens(line, "prefill-tokens",
                         "prompt tokens computed in one step",
                         engine_costs{}.prefill_tokens_per_step)
        , slots(line, "slots", "sequences running at once",
                engine_costs{}.slots)
        , blocks(line, "blocks", "cache blocks of 16 tokens",
                 engine_costs{}.cache_blocks)
    {
    }

    [[nodiscard]] engine_costs read()
    {
        return {this->step_us.value(),    this->decode_us.value(),
                this->prefill_us.value(), this->prefill_tokens.value(),
                this->slots.value(),      this->blocks.value()};
    }

private:
    option<double> step_us;
    option<double> decode_us;
    option<double> prefill_us;
    option<std::size_t> prefill_tokens;
    option<std::size_t> slots;
    option<std::size_t> blocks;
};

int run(int argc, char** argv)
{
    TCLAP::CmdLine line(
        "A model engine, as a stand-in. Switches over POST /_fault: "
        "crash_text, crash, freeze_ms, stall, slow_factor, cross_answers, "
        "duplicate_pieces, skip_pieces, cut_count, cut_after_pieces, refuse, "
        "check_fence, order_ms, lose_order_answers, load_lag_ms, "
        "events_delay_ms, events_gap_per_1000.",
        ' ', "1");
    option<std::string> listen(line, "listen", "IP:PORT to serve",
                               "127.0.0.1:0");
    option<std::string> name(line, "name", "the engine's name", "engine");
    option<std::string> model(line, "model", "the model it runs", "model-a");
    option<std::string> version(line, "weights-version", "of the model", "v1");
    option<std::string> role(line, "role", "mixed, prefill or decode", "mixed");
    option<std::string> store(line, "weight-store", "its IP:PORT", "");
    option<std::uint64_t> seed(line, "seed", "chooses what the faults hit", 1);
    option<std::uint64_t> incarnation(line, "incarnation", "0: from the clock",
                                      0);
    TCLAP::SwitchArg ignore_fence("", "ignore-fence",
                                  "obey orders with an old fence", line);
    TCLAP::MultiArg<std::string> adapters("", "adapter", "loaded adapter",
                                          false, "NAME", line);
    cost_arguments costs(line);
    line.parse(argc, argv);

    standins::engine_options options;
    options.name = name.value();
    options.incarnation =
        incarnation.value() != 0 ? incarnation.value() : fresh_incarnation();
    options.seed = seed.value();
    options.model = model.value();
    options.weights_version = version.value();
    options.adapters = adapters.getValue();
    options.role = role.value();
    options.costs = costs.read();
    if (!store.value().empty())
        options.weight_store = standins::address_argument(store.value());
    standins::engine_switches switches;
    switches.check_fence = !ignore_fence.getValue();

    auto const base = standins::make_base();
    standins::engine_service const service(
        base.get(), standins::address_argument(listen.value()),
        std::move(options), switches);
    return standins::serve(base.get(), service.bound());
}

} // namespace

int main(int argc, char** argv)
{
    return jujubestand::standins::guarded_main(argc, argv, run);
}
