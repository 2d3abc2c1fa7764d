#ifndef JUJUBESTAND_CLAIMS_CLAIMANT_HPP
#define JUJUBESTAND_CLAIMS_CLAIMANT_HPP

#include <cstdint>
#include <jujubestand/claims/options.hpp>
#include <jujubestand/claims/record.hpp>
#include <jujubestand/claims/window.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/core/verdict.hpp>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jujubestand::claims
{

/// \brief Both clocks at one moment.
struct moment
{
    mono_time mono;
    wall_time wall;
};

/// \brief Progress of a call towards its one run.
enum class call_stage : std::uint8_t
{
    unsent,    ///< its claim is in no append yet
    undecided, ///< its claim may be on the log
    waiting,   ///< its claim is void; another's outcome is awaited
    begun,     ///< its claim won and the call was started
};

/// \brief Names of the stages.
inline constexpr std::array<enum_name<call_stage>, 4> call_stage_names{{
    {call_stage::unsent, "unsent"},
    {call_stage::undecided, "undecided"},
    {call_stage::waiting, "waiting"},
    {call_stage::begun, "begun"},
}};

/// \brief One call that this claimant has to run at most once.
struct claimed_call
{
    request_id request;
    digest key;
    digest body;
    call_stage stage = call_stage::unsent;
    /// Its claim is to go into the next append.
    bool needs_append = true;
    /// After this it must not begin.
    mono_time deadline;
    /// It is answered then, unless it has begun.
    mono_time answer_by;
};

/// \brief The append in flight.
struct append_flight
{
    std::uint64_t id = 0;
    batch records;
};

/// \brief A claimant on one claim stream.
struct claimant
{
    claim_options options;
    claim_window window;
    /// The window has been read up to its end once.
    bool is_read = false;
    bool log_reachable = true;
    /// By the number in their claims' nonces.
    std::map<std::uint64_t, claimed_call> calls;
    std::vector<abandon_record> abandons;
    std::vector<outcome_record> outcomes;
    std::optional<append_flight> flight;
    mono_time next_append{};
    std::uint64_t last_number = 0;
    std::uint64_t last_append = 0;
};

// Messages to a claimant.

/// \brief A call arrived that may run once only.
struct call_offered
{
    request_id request;
    digest key;
    digest body;
    wall_time key_time;
    mono_time deadline;
};

/// \brief A started call ended.
struct call_ended
{
    request_id request;
    /// `not_run` only where the upstream cannot have begun it.
    call_outcome outcome;
};

/// \brief The caller of a call that has not begun has left.
struct call_cancelled
{
    request_id request;
};

/// \brief The log answered an append, or did not.
struct append_answered
{
    std::uint64_t id = 0;
    /// Nothing: the records may be on the log, now or later.
    std::optional<log_offset> offset;
};

/// \brief One record as the log returned it.
struct log_record
{
    log_offset offset;
    wall_time appended;
    std::string bytes;
};

/// \brief The log answered a read from `window.next`.
struct records_read
{
    /// Oldest record that the log keeps.
    log_offset first;
    /// Offset that the next append will get.
    log_offset next;
    std::vector<log_record> records;
};

/// \brief The log did not answer a read.
struct read_failed
{
};

// Effects of a claimant.

/// \brief Append these bytes and report by `append_answered`.
struct append_wanted
{
    std::uint64_t id = 0;
    std::string bytes;
};

/// \brief Start the call and report by `call_ended`.
struct start_wanted
{
    request_id request;
};

/// \brief Answer the call; it is no longer held.
struct answer_wanted
{
    request_id request;
    verdict result = verdict::may_have_run;
    reason why;
    /// 0: no advice. Only on `not_run`.
    std::chrono::milliseconds retry_after{0};
    /// The recorded outcome where there is one.
    std::optional<call_outcome> recorded;
};

/// \brief Any effect of a claimant.
using claim_effect = std::variant<append_wanted, start_wanted, answer_wanted>;

/// \brief What one message led to, in order.
using claim_effects = std::vector<claim_effect>;

[[nodiscard]] claim_effects offer(claimant& state, call_offered const& message,
                                  moment now);
[[nodiscard]] claim_effects end(claimant& state, call_ended const& message,
                                moment now);
[[nodiscard]] claim_effects cancel(claimant& state,
                                   call_cancelled const& message, moment now);
[[nodiscard]] claim_effects answer(claimant& state,
                                   append_answered const& message, moment now);
[[nodiscard]] claim_effects read(claimant& state, records_read const& message,
                                 moment now);
[[nodiscard]] claim_effects fail_read(claimant& state,
                                      read_failed const& message, moment now);
/// \brief Time has passed: deadlines, repeated appends, expiry.
[[nodiscard]] claim_effects tick(claimant& state, moment now);

/// \brief When `tick` is due next, if at all.
[[nodiscard]] std::optional<mono_time> next_tick(claimant const& state);

/// \brief Whether records still wait for the log; a planned stop waits for
/// them.
[[nodiscard]] bool has_unwritten(claimant const& state) noexcept;

} // namespace jujubestand::claims

#endif
