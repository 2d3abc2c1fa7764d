#include <bench/placement/comparison.hpp>

#include <algorithm>
#include <bench/placement/cluster.hpp>
#include <bench/placement/load_run.hpp>
#include <bench/support/http_call.hpp>
#include <bench/support/report.hpp>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace jujubestand::bench
{

namespace
{

std::string name_of(policy kind)
{
    return std::string(to_name(policy_names, kind));
}

/// A folder for settings and logs of one run, removed after it.
class run_folder
{
public:
    run_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "jujubestand-XXXXXX")
                .string();
        if (mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("no folder for the run");
        this->path = pattern;
    }
    ~run_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    run_folder(run_folder const&) = delete;
    run_folder& operator=(run_folder const&) = delete;
    run_folder(run_folder&&) = delete;
    run_folder& operator=(run_folder&&) = delete;

    std::string path;
};

/// Sum of one metric over the entries' pages.
double metric_of(event_base* base, cluster const& target,
                 std::string const& metric)
{
    double total = 0;
    for (auto const& page : target.entry_pages())
    {
        std::istringstream lines(call(base, page, "GET", "/metrics", {}).body);
        for (std::string line; std::getline(lines, line);)
        {
            if (line.starts_with(metric + " ") ||
                line.starts_with(metric + "{"))
                total += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return total;
}

double control_bytes(event_base* base, cluster const& target)
{
    return metric_of(base, target, "jujubestand_entry_control_bytes_total");
}

run_plan plan_of(fleet const& size, comparison_plan const& plan, policy kind,
                 std::size_t number)
{
    run_plan result;
    result.chooser = kind;
    result.rates = {{0, plan.load * size.capacity}};
    result.warm_up_s = plan.warm_up_s;
    result.measured_s = plan.measured_s;
    result.seed = plan.seed + number;
    return result;
}

void print_run(fleet const& size, policy kind, std::size_t number,
               run_figures const& seen)
{
    std::cout << std::fixed << std::setprecision(3) << "run " << size.name
              << ' ' << name_of(kind) << ' ' << number
              << " requests=" << seen.requests << " failed=" << seen.failed
              << " hit_rate=" << seen.hit_rate << " wasted=" << seen.wasted
              << " ttft_ms=" << seen.ttft_p50_ms << '/' << seen.ttft_p95_ms
              << '/' << seen.ttft_p99_ms << " gap_p95_ms=" << seen.gap_p95_ms
              << std::defaultfloat << std::endl;
}

void run_once(event_base* base, fleet const& size, comparison_plan const& plan,
              std::size_t number, policy_figures& into)
{
    run_folder const folder;
    cluster target(base, size,
                   {plan.binaries, folder.path, plan.events_gap_per_1000});
    load_run load(base, size, target, plan_of(size, plan, into.kind, number));
    auto const result = load.run();
    into.runs.push_back(figures_of(result));
    double const whole_s = plan.warm_up_s + plan.measured_s;
    double const requests = plan.load * size.capacity * whole_s;
    into.entry_us_per_request.push_back(
        static_cast<double>(target.entry_processor_time().count()) / requests);
    into.control_bytes_per_request.push_back(control_bytes(base, target) /
                                             requests);
    print_run(size, into.kind, number, into.runs.back());
}

policy_figures const* find(std::vector<policy_figures> const& all, policy kind)
{
    auto const found = std::find_if(all.begin(), all.end(),
                                    [kind](policy_figures const& each)
                                    {
                                        return each.kind == kind;
                                    });
    return found == all.end() ? nullptr : &*found;
}

/// Median over the runs of ours divided by another policy's, run by run.
double ratio(policy_figures const& ours, policy_figures const& other,
             double run_figures::*member)
{
    std::vector<double> ratios;
    for (std::size_t run = 0; run < ours.runs.size(); ++run)
    {
        double const base = other.runs[run].*member;
        if (base > 0)
            ratios.push_back(ours.runs[run].*member / base);
    }
    return median(ratios);
}

double median_of(policy_figures const& of, double run_figures::*member)
{
    std::vector<double> values;
    for (auto const& run : of.runs)
        values.push_back(run.*member);
    return median(values);
}

bool is_baseline(policy kind)
{
    return kind != policy::ours && kind != policy::oracle;
}

/// Ours over the best baseline of the same run.
double ratio_of_best(std::vector<policy_figures> const& all,
                     double run_figures::*member)
{
    policy_figures const& ours = *find(all, policy::ours);
    std::vector<double> ratios;
    for (std::size_t run = 0; run < ours.runs.size(); ++run)
    {
        double best = 0;
        for (auto const& each : all)
        {
            double const value = each.runs[run].*member;
            if (is_baseline(each.kind) && (best == 0 || value < best))
                best = value;
        }
        if (best > 0)
            ratios.push_back(ours.runs[run].*member / best);
    }
    return median(ratios);
}

void print_policy(fleet const& size, policy_figures const& each,
                  std::string const& suffix)
{
    std::string const start =
        size.name + "." + name_of(each.kind) + suffix + ".";
    figure(start + "hit_rate", median_of(each, &run_figures::hit_rate),
           "ratio");
    figure(start + "wasted", median_of(each, &run_figures::wasted), "ratio");
    figure(start + "ttft_p50", median_of(each, &run_figures::ttft_p50_ms),
           "ms");
    figure(start + "ttft_p95", median_of(each, &run_figures::ttft_p95_ms),
           "ms");
    figure(start + "ttft_p99", median_of(each, &run_figures::ttft_p99_ms),
           "ms");
    figure(start + "token_gap_p95", median_of(each, &run_figures::gap_p95_ms),
           "ms");
}

} // namespace

std::vector<policy_figures> compare(event_base* base, fleet const& size,
                                    comparison_plan const& plan)
{
    std::vector<policy_figures> all;
    for (auto const kind : plan.policies)
        all.push_back(policy_figures{kind, {}, {}, {}});
    for (std::size_t run = 0; run < plan.runs; ++run)
    {
        for (auto& each : all)
            run_once(base, size, plan, run, each);
    }
    return all;
}

void print_comparison(fleet const& size, std::vector<policy_figures> const& all,
                      std::string const& suffix)
{
    for (auto const& each : all)
        print_policy(size, each, suffix);
    auto const* ours = find(all, policy::ours);
    if (ours == nullptr)
        return;
    std::string const start = size.name + ".";
    if (auto const* oracle = find(all, policy::oracle))
        figure(start + "hit_rate_of_oracle" + suffix,
               ratio(*ours, *oracle, &run_figures::hit_rate), "ratio");
    if (auto const* least = find(all, policy::least_loaded))
        figure(start + "wasted_of_least_loaded" + suffix,
               ratio(*ours, *least, &run_figures::wasted), "ratio");
    figure(start + "p99_ttft_of_best_baseline" + suffix,
           ratio_of_best(all, &run_figures::ttft_p99_ms), "ratio");
    figure(start + "entry_us_per_request" + suffix,
           median(ours->entry_us_per_request), "us");
    figure(start + "control_bytes_per_request" + suffix,
           median(ours->control_bytes_per_request), "bytes");
}

} // namespace jujubestand::bench
