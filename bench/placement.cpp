#include <bench/placement/comparison.hpp>
#include <event2/event.h>
#include <filesystem>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>

namespace
{

using namespace jujubestand;
using namespace jujubestand::bench;

struct arguments
{
    std::string binaries;
    std::string deployment;
    std::vector<std::string> policies;
    comparison_plan plan;
    bool is_quick = false;
};

struct free_base
{
    void operator()(event_base* base) const noexcept
    {
        event_base_free(base);
    }
};

arguments read_arguments(int argc, char** argv)
{
    TCLAP::CmdLine line("Compares ways of choosing an upstream on real "
                        "processes. Prints one line per run and per figure.",
                        ' ', "1");
    TCLAP::SwitchArg const quick(
        "", "quick", "one short run of three policies, about a minute", line);
    TCLAP::ValueArg<std::string> const deployment("", "deployment",
                                                  "qoyma, quintela or both",
                                                  false, "both", "NAME", line);
    TCLAP::MultiArg<std::string> const policies(
        "", "policy", "a policy to run; all, if none is given", false, "NAME",
        line);
    TCLAP::ValueArg<double> const load("", "load", "share of the capacity",
                                       false, 0.8, "SHARE", line);
    TCLAP::ValueArg<double> const warm_up("", "warm-up", "seconds before",
                                          false, 10, "S", line);
    TCLAP::ValueArg<double> const measured("", "measured", "seconds measured",
                                           false, 15, "S", line);
    TCLAP::ValueArg<std::size_t> const runs("", "runs", "interleaved runs",
                                            false, 5, "COUNT", line);
    TCLAP::ValueArg<std::uint32_t> const gap("", "events-lost",
                                             "cache events lost, per 1000",
                                             false, 0, "COUNT", line);
    TCLAP::ValueArg<std::uint64_t> const seed("", "seed", "of the prompts",
                                              false, 1, "NUMBER", line);
    line.parse(argc, argv);
    arguments given;
    given.binaries =
        std::filesystem::canonical(argv[0]).parent_path().parent_path();
    given.deployment = deployment.getValue();
    given.policies = policies.getValue();
    given.is_quick = quick.getValue();
    given.plan.load = load.getValue();
    given.plan.warm_up_s = warm_up.getValue();
    given.plan.measured_s = measured.getValue();
    given.plan.runs = runs.getValue();
    given.plan.events_gap_per_1000 = gap.getValue();
    given.plan.seed = seed.getValue();
    given.plan.binaries = given.binaries;
    return given;
}

std::vector<policy> policies_of(arguments const& given)
{
    std::vector<policy> result;
    if (given.is_quick)
        return {policy::ours, policy::least_loaded, policy::oracle};
    for (auto const& name : given.policies)
        result.push_back(from_name(policy_names, name).value());
    if (result.empty())
    {
        for (auto const& row : policy_names)
            result.push_back(row.value);
    }
    return result;
}

std::vector<fleet> deployments_of(arguments const& given)
{
    std::vector<fleet> result;
    for (auto const& each : {qoyma(), quintela()})
    {
        if (given.deployment == "both" || given.deployment == each.name)
            result.push_back(each);
    }
    return result;
}

int run(arguments given)
{
    std::unique_ptr<event_base, free_base> const base(event_base_new());
    given.plan.policies = policies_of(given);
    if (given.is_quick)
    {
        given.plan.runs = 1;
        given.plan.warm_up_s = 4;
        given.plan.measured_s = 5;
    }
    for (auto const& size : deployments_of(given))
    {
        auto const all = compare(base.get(), size, given.plan);
        print_comparison(size, all, {});
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(read_arguments(argc, argv));
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
