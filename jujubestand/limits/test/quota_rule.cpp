#include <algorithm>
#include <jujubestand/limits/test/quota_fleet.hpp>

namespace jujubestand::limits::test
{

double most_in_window(std::vector<run_call> const& calls, microseconds window,
                      mono_time from, mono_time until)
{
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (auto const& last : calls)
    {
        if (last.at < from)
        {
            ++first;
            continue;
        }
        sum += last.cost;
        for (; last.at - calls[first].at > window; ++first)
            sum -= calls[first].cost;
        if (calls[first].at <= until)
            most = std::max(most, sum);
    }
    return most;
}

double allowed_in_window(quota_terms const& quota)
{
    return quota.rate * std::chrono::duration<double>(quota.window).count() +
           quota.burst + tolerance_of(quota);
}

double part_served(team_result const& result, quota_terms const& quota,
                   mono_time from)
{
    token_bucket bucket{quota.burst, start};
    double entitled = 0;
    for (auto const& call : result.offered)
    {
        fill(bucket, quota.rate, quota.burst, call.at);
        if (bucket.tokens < call.cost)
            continue;
        bucket.tokens -= call.cost;
        entitled += call.at >= from ? call.cost : 0;
    }
    double served = 0;
    for (auto const& call : result.run)
        served += call.at >= from ? call.cost : 0;
    return entitled > 0 ? served / entitled : 1;
}

} // namespace jujubestand::limits::test
