#ifndef JUJUBESTAND_TRAFFIC_STATED_LIMIT_HPP
#define JUJUBESTAND_TRAFFIC_STATED_LIMIT_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::traffic
{

/// \brief Whether an answer states a limit on the calls to its upstream.
enum class limit_statement : std::uint8_t
{
    none,      ///< the upstream limits nothing
    named,     ///< the upstream limits the calls that it takes
    malformed, ///< a limit is stated that can't be read
};

inline constexpr std::array<enum_name<limit_statement>, 3>
    limit_statement_names{{
        {limit_statement::none, "none"},
        {limit_statement::named, "named"},
        {limit_statement::malformed, "malformed"},
    }};

/// \brief What an answer states on the calls that its upstream takes.
struct stated_limit
{
    limit_statement statement = limit_statement::none;
    /// For `named`: calls a second, from all instances together.
    double calls_per_second = 0;
};

/// \brief The limit that the fields of an answer state. A limit is a decimal
/// number without sign or exponent, and is stated once.
/// \param name of the field
[[nodiscard]] stated_limit read_limit(std::vector<http::field> const& fields,
                                      std::string_view name);

/// \brief What a refusal states on when its upstream takes calls again.
struct stated_pause
{
    /// Empty: none is stated, or it can't be read.
    std::optional<std::chrono::milliseconds> duration;
    bool is_malformed = false;
};

/// \brief The pause that the fields of a refusal state: seconds, as a decimal
/// number without sign or exponent, stated once; at most `pause_limit`.
/// \param name of the field
[[nodiscard]] stated_pause read_pause(std::vector<http::field> const& fields,
                                      std::string_view name);

/// Longest pause; a longer one is cut to it, since it may be a mistake.
inline constexpr std::chrono::milliseconds pause_limit{
    std::chrono::minutes{10}};

/// \brief The limit as text for the log: `none`, `malformed` or the number.
[[nodiscard]] std::string to_text(stated_limit const& limit);

} // namespace jujubestand::traffic

#endif
