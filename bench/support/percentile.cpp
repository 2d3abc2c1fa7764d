#include <bench/support/percentile.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jujubestand::bench
{

namespace
{

constexpr double whole = 100;

double mean_of(std::vector<double> const& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(values.size());
}

} // namespace

double percentile(samples const& of, double percent)
{
    if (of.empty())
        return 0;
    samples sorted = of;
    auto const size = static_cast<double>(sorted.size());
    auto const rank = std::ceil(percent / whole * size);
    auto const index =
        static_cast<std::ptrdiff_t>(std::clamp(rank, 1.0, size) - 1);
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted[static_cast<std::size_t>(index)];
}

double mean(samples const& of)
{
    if (of.empty())
        return 0;
    return std::accumulate(of.begin(), of.end(), 0.0) /
           static_cast<double>(of.size());
}

samples corrected(samples const& of, std::uint32_t interval_us)
{
    samples result = of;
    if (interval_us == 0)
        return result;
    for (std::uint32_t const sample : of)
    {
        for (std::uint32_t left = sample; left > interval_us;)
        {
            left -= interval_us;
            result.push_back(left);
        }
    }
    return result;
}

line_fit fit_line(std::vector<double> const& x, std::vector<double> const& y)
{
    double const mean_x = mean_of(x);
    double const mean_y = mean_of(y);
    double products = 0;
    double squares = 0;
    for (std::size_t index = 0; index < x.size(); ++index)
    {
        products += (x[index] - mean_x) * (y[index] - mean_y);
        squares += (x[index] - mean_x) * (x[index] - mean_x);
    }
    line_fit fit;
    fit.slope = squares > 0 ? products / squares : 0;
    fit.intercept = mean_y - fit.slope * mean_x;
    double missed = 0;
    for (std::size_t index = 0; index < x.size(); ++index)
    {
        double const error = y[index] - fit.intercept - fit.slope * x[index];
        missed += error * error;
    }
    fit.residual = std::sqrt(missed / static_cast<double>(x.size()));
    return fit;
}

} // namespace jujubestand::bench
