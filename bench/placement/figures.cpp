#include <bench/placement/figures.hpp>

#include <algorithm>

namespace jujubestand::bench
{

namespace
{

constexpr double p50 = 50;
constexpr double p95 = 95;
constexpr double p99 = 99;
constexpr double us_per_ms = 1'000;

void add_tokens(answer_sample const& seen, double& prompt, double& cached,
                double& wasted)
{
    prompt += seen.prompt_tokens;
    cached += seen.cached_tokens;
    // The last block of a prompt is computed even where it is held.
    std::uint32_t const usable = std::min(seen.held_tokens, seen.prompt_tokens);
    if (usable > seen.cached_tokens)
        wasted += usable - seen.cached_tokens;
}

} // namespace

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[(values.size() - 1) / 2];
}

run_figures figures_of(run_result const& result)
{
    run_figures figures;
    samples times;
    double prompt = 0;
    double cached = 0;
    double wasted = 0;
    for (auto const& seen : result.answers)
    {
        times.push_back(seen.first_token_us);
        figures.failed += seen.is_whole ? 0 : 1;
        if (seen.is_whole)
            add_tokens(seen, prompt, cached, wasted);
    }
    figures.requests = result.answers.size();
    figures.hit_rate = prompt > 0 ? cached / prompt : 0;
    figures.wasted = prompt > 0 ? wasted / prompt : 0;
    figures.ttft_p50_ms = percentile(times, p50) / us_per_ms;
    figures.ttft_p95_ms = percentile(times, p95) / us_per_ms;
    figures.ttft_p99_ms = percentile(times, p99) / us_per_ms;
    figures.gap_p95_ms = percentile(result.gaps_us, p95) / us_per_ms;
    return figures;
}

run_figures figures_between(run_result const& result, double from_s,
                            double to_s)
{
    run_result part;
    for (auto const& seen : result.answers)
    {
        if (seen.sent_s >= from_s && seen.sent_s < to_s)
            part.answers.push_back(seen);
    }
    return figures_of(part);
}

} // namespace jujubestand::bench
