#ifndef JUJUBESTAND_CORE_VERDICT_HPP
#define JUJUBESTAND_CORE_VERDICT_HPP

#include <algorithm>
#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <msgpack.hpp>

namespace jujubestand
{

/// \brief Whether a request may have run at an upstream.
///
/// The order matters: a later enumerator is the worse news for a retry.
enum class verdict : std::uint8_t
{
    not_run,      ///< no upstream began it, and none can any more
    ran,          ///< an upstream ran it to its end
    may_have_run, ///< an upstream may have begun it
};

/// \brief Names of the verdicts, as callers see them.
inline constexpr std::array<enum_name<verdict>, 3> verdict_names{{
    {verdict::not_run, "not_run"},
    {verdict::ran, "ran"},
    {verdict::may_have_run, "may_have_run"},
}};

/// \brief Verdict of a request from the verdicts of two of its attempts.
[[nodiscard]] constexpr verdict worst(verdict left, verdict right) noexcept
{
    return std::max(left, right);
}

} // namespace jujubestand

MSGPACK_ADD_ENUM(jujubestand::verdict)

#endif
