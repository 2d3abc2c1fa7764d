#ifndef JUJUBESTAND_ENTRY_METRICS_HPP
#define JUJUBESTAND_ENTRY_METRICS_HPP

#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/link/messages.hpp>
#include <memory>
#include <prometheus/registry.h>

namespace jujubestand::entry
{

/// \brief What an entry counts; docs/METRICS.md lists it.
///
/// Labels are pools, verdicts and reasons, of which there are few; never
/// teams or requests.
class metrics
{
public:
    /// \param registry must outlive the metrics
    explicit metrics(prometheus::Registry& registry);
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// \brief A request was refused at intake.
    void refused(reason_code code);
    /// \brief The first bytes of an answer are on their way to the caller.
    void first_token(pool_id const& pool, microseconds since_arrival);
    /// \brief A request ended, whole or not.
    void ended(pool_id const& pool, verdict outcome, bool is_whole,
               microseconds since_arrival);
    /// \brief An answer told its tokens.
    void used(pool_id const& pool, link::last const& usage);
    /// \brief One attempt failed.
    void attempt_failed(pool_id const& pool, reason_code code);
    /// \brief A probe of so many bytes went to a sidecar.
    void probe_sent(std::size_t bytes);
    /// \brief Its reply came.
    void probe_answered(std::size_t bytes);
    /// \brief Requests open now.
    void open(std::size_t calls);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::entry

#endif
