#ifndef JUJUBESTAND_STANDINS_SERVICE_RECORDING_SERVICE_HPP
#define JUJUBESTAND_STANDINS_SERVICE_RECORDING_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <standins/support/refusal_copies.hpp>
#include <string>
#include <vector>

namespace jujubestand::standins
{

/// \brief Shares of the calls that go wrong, of 1.
struct service_faults
{
    /// Refused as not run.
    double refused = 0;
    /// Cut off before they run.
    double cut_unrun = 0;
    /// Cut off after they ran.
    double cut_run = 0;
    /// Answered with an error after they ran.
    double failed = 0;
    /// Preceded by a refusal that belongs to no call: it names none.
    double stray_refusal = 0;
    /// Preceded by a refusal, once more: that of the same call if there was
    /// one, else the latest.
    double repeated_refusal = 0;
    copy_scope copies = copy_scope::any_connection;
};

/// \brief Callbacks of a recording service.
struct service_events
{
    std::function<void(std::string const& request_id)> arrived;
    std::function<void(std::string const& request_id)> run;
};

/// \brief A plain service on the users' platform: runs calls after a short
/// time, with faults that a seed chooses, and calls back for each run.
class recording_service
{
public:
    recording_service(event_base* loop, address const& where,
                      std::uint64_t seed, service_faults faults,
                      service_events events);
    recording_service(recording_service const&) = delete;
    recording_service& operator=(recording_service const&) = delete;

    /// \brief States a limit in the heads of new answers, as this text; empty:
    /// none.
    void name_limit(std::string text);

    /// \brief States in the heads of new answers that it leaves.
    void state_leaving();

    /// \brief Refuses new calls as not run, with this Retry-After; empty: runs
    /// them again.
    void ask_for_pause(std::string retry_after);

    [[nodiscard]] address bound() const;

private:
    void answer(http_call const& call);
    void run(std::uint64_t held_call, std::string const& id, double luck);

    void sign(evhttp_request* request, std::string const& id) const;

    /// \brief Where the refusals that a request may meet again are kept.
    [[nodiscard]] std::string scope_of(evhttp_request* request) const;

    void copy_refusal(http_call const& call, std::string const& id);

    service_faults faults;
    service_events events;
    /// The calls that were refused, by scope, in order.
    std::map<std::string, std::vector<std::string>> refused_ids;
    upstream_words words;
    std::mt19937_64 random;
    http_server server;
    held_requests held;
    delays later;
};

} // namespace jujubestand::standins

#endif
