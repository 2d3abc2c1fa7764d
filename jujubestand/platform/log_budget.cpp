#include <algorithm>
#include <jujubestand/platform/log_budget.hpp>

namespace jujubestand::platform
{

namespace
{

// Weight of the newest answer in the average answer time.
constexpr double newest_weight = 0.2;

struct reserve_row
{
    append_kind kind;
    double share;
    double slow_share;
};

// Share of the burst that a kind leaves to the kinds before it. Claims stand
// between a caller and its answer, and an edit of the tables between an
// operator and a fault; orders can wait, and strikes also travel on answers.
constexpr std::array<reserve_row, append_kind_count> reserves{{
    {append_kind::claims, 0.0, 0.0},
    {append_kind::configuration, 0.0, 0.1},
    {append_kind::orders, 0.2, 0.5},
    {append_kind::strikes, 0.4, 0.8},
}};

void refill(log_budget& budget, mono_time now) noexcept
{
    if (now <= budget.filled_at)
        return;
    std::chrono::duration<double> const passed = now - budget.filled_at;
    double const share = is_slow(budget) ? budget.options.slow_share : 1.0;
    double const rate = budget.options.appends_per_second * share;
    budget.tokens =
        std::min(budget.options.burst, budget.tokens + rate * passed.count());
    budget.filled_at = now;
}

} // namespace

log_budget make_log_budget(log_budget_options const& options,
                           mono_time now) noexcept
{
    log_budget budget;
    budget.options = options;
    budget.tokens = options.burst;
    budget.filled_at = now;
    return budget;
}

bool is_slow(log_budget const& budget) noexcept
{
    auto const limit = budget.options.slow_after.count();
    return budget.answer_ms > static_cast<double>(limit);
}

double reserve_of(log_budget const& budget, append_kind kind) noexcept
{
    auto const& row = reserves[static_cast<std::size_t>(kind)];
    double const share = is_slow(budget) ? row.slow_share : row.share;
    return share * budget.options.burst;
}

bool take(log_budget& budget, append_kind kind, std::size_t bytes,
          mono_time now) noexcept
{
    refill(budget, now);
    auto& count = budget.counts[static_cast<std::size_t>(kind)];
    if (budget.tokens - 1.0 < reserve_of(budget, kind))
    {
        ++count.refused;
        return false;
    }
    budget.tokens -= 1.0;
    ++count.granted;
    count.bytes += bytes;
    return true;
}

void observe(log_budget& budget, std::chrono::milliseconds answer) noexcept
{
    auto const taken = static_cast<double>(answer.count());
    budget.answer_ms += newest_weight * (taken - budget.answer_ms);
}

} // namespace jujubestand::platform
