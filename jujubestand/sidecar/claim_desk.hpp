#ifndef JUJUBESTAND_SIDECAR_CLAIM_DESK_HPP
#define JUJUBESTAND_SIDECAR_CLAIM_DESK_HPP

#include <cstdint>
#include <jujubestand/claims/claimant.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/process/context.hpp>
#include <map>
#include <sigc++/sigc++.h>
#include <string>
#include <unordered_map>

namespace jujubestand::sidecar
{

/// \brief The caller's number of a claim; its call's id.
using claim_number = std::uint64_t;

/// \brief A process's limits for claims, from its settings.
[[nodiscard]] claims::claim_options claim_options_of(process::context& shared);

/// \brief Runs the claimants of one sidecar: their messages come from the
/// log and the loop's clock, their effects go to the log and to signals.
class claim_desk
{
public:
    /// \param shared the process's context; must outlive the desk
    /// \param log the process's log client; must outlive the desk
    /// \param options limits and times of its claimants
    claim_desk(process::context& shared, platform::log_client& log,
               claims::claim_options const& options);

    /// \brief Follows all claim streams of a pool; again is harmless.
    void follow(pool_id const& pool, std::uint32_t claim_streams);

    /// \brief Claims a call. `won` or `answered` follows, perhaps from
    /// within.
    void offer(claim_number claim, link::call const& message,
               std::uint32_t claim_streams, mono_time deadline);

    /// \brief A won call ended; `not_run` only if it cannot have begun.
    void end(claim_number claim, claims::call_outcome const& outcome);

    /// \brief Nobody waits any more for a call that is not won yet.
    void cancel(claim_number claim);

    /// \brief Whether records still wait for the log.
    [[nodiscard]] bool has_unwritten() const;

    /// \brief Keys and bytes held, over all streams.
    [[nodiscard]] std::size_t memory_bytes() const;

    /// \brief The call may run, here and now and nowhere else.
    sigc::signal<void(claim_number)> won;
    /// \brief The call will not run here; it is to be answered so.
    sigc::signal<void(claim_number, claims::answer_wanted const&)> answered;

private:
    struct shard
    {
        claims::claimant state;
        platform::tail_id tail;
        std::optional<loop::timer> timer;
    };
    struct known_claim
    {
        std::string stream;
        request_id request;
        team_id team;
    };

    void on_batch(platform::tail_id tail, platform::log_batch const& batch);
    void on_gap(platform::tail_id tail, log_offset first);
    void on_log_event(event_note const& what);
    shard& shard_of(std::string const& stream);
    shard* shard_of_claim(claim_number claim);
    void perform(std::string const& stream,
                 claims::claim_effects const& effects);
    void append(std::string const& stream, claims::append_wanted const& wanted);
    void start(request_id const& claim);
    void answer(claims::answer_wanted const& wanted);
    void schedule(std::string const& stream);
    void note(event_number number, known_claim const& claim,
              std::string const& why);

    process::context* shared;
    platform::log_client* log;
    claims::claim_options options;
    std::map<std::string, shard> shards;
    std::unordered_map<claim_number, known_claim> claims_known;
};

} // namespace jujubestand::sidecar

#endif
