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

/// \brief An answer whose end is no proof that it is whole: it ended with its
/// connection, as it does when the upstream crashes.
struct unconfirmed_answer
{
    wall_time ended_at{};
    std::vector<suspect_key> keys;
    std::vector<strike> strikes;
};

/// \brief An upstream that broke connections, or ended answers with them.
struct suspected_crash
{
    /// At most one for each fingerprint, of the time when it was last cut.
    std::vector<strike> strikes;
    /// Oldest first.
    std::vector<unconfirmed_answer> answers;
};

/// \brief What is known of an upstream after it broke connections.
enum class upstream_condition : std::uint8_t
{
    unknown,
    alive, ///< it has reported
    lost,  ///< it crashed, or is gone
};

/// \brief The last sign of an upstream.
struct upstream_sign
{
    upstream_condition condition = upstream_condition::unknown;
    /// When an upstream that is alive made its last report.
    wall_time reported_at{};
};

/// \brief Names an upstream within this process.
using upstream_number = std::uint32_t;

/// \brief Evidence on crashes. Decisions on it need no clock or socket.
struct evidence
{
    culprit_options options;
    strike_table strikes;
    /// The crashes that strikes of any process name.
    crash_map crashes;
    /// Until when each culprit is refused.
    std::map<digest, wall_time> culprits;
    std::map<upstream_number, suspected_crash> suspected;
    /// Answers to requests with a part.
    answer_map answered;
    answer_count all_answers;
};

/// \brief A request lost its connection to an upstream that had given no output
/// for it, or for a short time only.
void on_cut(evidence& state, upstream_number number, upstream_id const& id,
            incarnation_id incarnation, std::vector<suspect_key> const& keys,
            answer_stage stage, wall_time now);

/// \brief An answer ended in order with its connection. It counts as an answer
/// once the upstream is known to live on, and as cut if it is lost.
void on_unconfirmed_answer(evidence& state, upstream_number number,
                           upstream_id const& id, incarnation_id incarnation,
                           std::vector<suspect_key> const& keys, wall_time now);

/// \brief An upstream answered a request to its end, or for so long that it
/// survived it, so none of its keys crashes engines.
/// \returns clearances for the other processes
[[nodiscard]] notice on_answered(evidence& state,
                                 std::vector<suspect_key> const& keys,
                                 wall_time now);

/// \brief Settles a suspected crash once the upstream's condition is known.
/// \returns strikes and clearances for the other processes
[[nodiscard]] notice on_condition(evidence& state, upstream_number number,
                                  upstream_sign const& sign, wall_time now);

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
