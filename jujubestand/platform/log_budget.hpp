#ifndef JUJUBESTAND_PLATFORM_LOG_BUDGET_HPP
#define JUJUBESTAND_PLATFORM_LOG_BUDGET_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>

namespace jujubestand::platform
{

/// \brief What an append to the log is for, the most urgent first.
enum class append_kind : std::uint8_t
{
    claims,
    configuration,
    orders,
    strikes,
};

/// \brief Number of append kinds.
inline constexpr std::size_t append_kind_count = 4;

/// \brief Names of the append kinds, as metrics show them.
inline constexpr std::array<enum_name<append_kind>, append_kind_count>
    append_kind_names{{
        {append_kind::claims, "claims"},
        {append_kind::configuration, "configuration"},
        {append_kind::orders, "orders"},
        {append_kind::strikes, "strikes"},
    }};

/// \brief One process's share of the log service.
struct log_budget_options
{
    double appends_per_second = 4;
    double burst = 40;
    /// An average answer time above this makes the service count as slow.
    std::chrono::milliseconds slow_after{250};
    /// Share of the rate that is left while the service is slow.
    double slow_share = 0.5;
};

/// \brief Appends of one kind so far.
struct append_count
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;
};

/// \brief Token bucket over all appends of one process, counted by kind.
struct log_budget
{
    log_budget_options options;
    double tokens = 0;
    mono_time filled_at{};
    double answer_ms = 0;
    std::array<append_count, append_kind_count> counts{};
};

/// \brief A full bucket.
[[nodiscard]] log_budget make_log_budget(log_budget_options const& options,
                                         mono_time now) noexcept;

/// \brief Whether answers have lately been slow or missing.
[[nodiscard]] bool is_slow(log_budget const& budget) noexcept;

/// \brief Tokens that must stay in the bucket after an append of `kind`.
[[nodiscard]] double reserve_of(log_budget const& budget,
                                append_kind kind) noexcept;

/// \brief Takes a token for one append and counts it.
/// \returns false if the append must not be made now
[[nodiscard]] bool take(log_budget& budget, append_kind kind, std::size_t bytes,
                        mono_time now) noexcept;

/// \brief Learns how long an append took; failures count with their timeout.
void observe(log_budget& budget, std::chrono::milliseconds answer) noexcept;

} // namespace jujubestand::platform

#endif
