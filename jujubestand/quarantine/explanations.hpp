#ifndef JUJUBESTAND_QUARANTINE_EXPLANATIONS_HPP
#define JUJUBESTAND_QUARANTINE_EXPLANATIONS_HPP

#include <cstdint>
#include <jujubestand/quarantine/culprits.hpp>
#include <map>
#include <set>

/// \brief Which crashes the known culprits explain.
namespace jujubestand::quarantine
{

/// \brief What explains a crash.
enum class explanation : std::uint8_t
{
    none,
    request, ///< one whole request; one of its parts may be the reason
    part,
};

/// \brief Explains crashes by the culprits that were in flight there.
[[nodiscard]] std::map<crash_key, explanation>
explain(strike_table const& strikes, std::set<digest> const& known);

} // namespace jujubestand::quarantine

#endif
