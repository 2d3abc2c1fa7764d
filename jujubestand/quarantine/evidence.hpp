#ifndef JUJUBESTAND_QUARANTINE_EVIDENCE_HPP
#define JUJUBESTAND_QUARANTINE_EVIDENCE_HPP

#include <cstdint>
#include <jujubestand/quarantine/culprits.hpp>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

/// \brief Evidence of one process, and of those that it exchanges notices
/// with, on what crashes engines.
namespace jujubestand::quarantine
{

/// \brief A fingerprint of a request or of a part of its prompt.
struct suspect_key
{
    digest fingerprint;
    /// As in `strike`.
    std::uint8_t depth = whole_request_depth;
};

/// \brief An upstream that broke the connections of requests without output.
struct suspected_crash
{
    wall_time cut_at{};
    std::vector<strike> strikes;
};

/// \brief What is known of an upstream after it broke connections.
enum class upstream_condition : std::uint8_t
{
    unknown,
    alive, ///< it has reported since
    lost,  ///< it crashed, or is gone
};

/// \brief Names an upstream within this process.
using upstream_number = std::uint32_t;

/// \brief Evidence on crashes. Decisions on it need no clock or socket.
struct evidence
{
    culprit_options options;
    strike_table strikes;
    /// Until when each culprit is refused.
    std::map<digest, wall_time> culprits;
    std::map<upstream_number, suspected_crash> suspected;
    /// When engines last answered requests with a part.
    std::unordered_map<digest, wall_time> answered;
};

/// \brief A request without output lost its connection to an upstream.
/// \param has_begun the upstream had begun to answer it
void on_cut(evidence& state, upstream_number number, upstream_id const& id,
            incarnation_id incarnation, std::vector<suspect_key> const& keys,
            bool has_begun, wall_time now);

/// \brief An upstream gave output for a request, so none of its keys crashes
/// engines.
/// \returns clearances for the other processes
[[nodiscard]] notice on_answered(evidence& state,
                                 std::vector<suspect_key> const& keys,
                                 wall_time now);

/// \brief Settles a suspected crash once the upstream's condition is known.
/// \returns strikes for the other processes
[[nodiscard]] notice on_condition(evidence& state, upstream_number number,
                                  upstream_condition condition, wall_time now);

/// \brief Result of a notice of another process.
struct notice_result
{
    bool is_news = false;
    /// Clearances that the other process lacks.
    notice reply;
};

/// \brief Applies a notice of another process.
[[nodiscard]] notice_result on_notice(evidence& state, notice const& message,
                                      wall_time now);

/// \brief Judges the evidence. \returns new culprits
[[nodiscard]] std::vector<digest> judge(evidence& state, wall_time now);

/// \brief Adds a culprit that another process found.
/// \returns whether it is new
bool add_culprit(evidence& state, digest const& fingerprint, wall_time until);

/// \brief Until when requests with one of these keys are refused; empty if
/// they are not.
[[nodiscard]] std::optional<wall_time>
refused_until(evidence const& state, std::vector<suspect_key> const& keys,
              wall_time now);

} // namespace jujubestand::quarantine

#endif
