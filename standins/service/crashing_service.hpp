#ifndef JUJUBESTAND_STANDINS_SERVICE_CRASHING_SERVICE_HPP
#define JUJUBESTAND_STANDINS_SERVICE_CRASHING_SERVICE_HPP

#include <chrono>
#include <functional>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief What the callers of a service see of its end.
enum class service_end
{
    close,         ///< their connections end without an answer
    half_answer,   ///< half of an answer with a length
    half_unframed, ///< half of an answer that ends with its connection
    silence,       ///< nothing; connections stay open
};

/// \brief How one call ends a service.
struct service_crash
{
    /// Path of the call.
    std::string path;
    service_end end = service_end::close;
    /// From the call's arrival.
    std::chrono::milliseconds delay{40};
};

/// \brief Callbacks of a crashing service.
struct crash_events
{
    /// A call arrived.
    std::function<void(std::string const& path)> arrived;
    /// The service ended. Its owner has to destroy it, unless it is silent.
    std::function<void()> ended;
};

/// \brief A plain service on the users' platform that answers calls after a
/// short time, and ends as it runs those with a certain path.
class crashing_service
{
public:
    crashing_service(event_base* loop, address const& where,
                     service_crash rules, crash_events events);
    crashing_service(crashing_service const&) = delete;
    crashing_service& operator=(crashing_service const&) = delete;

    [[nodiscard]] address bound() const;

private:
    void answer(http_call const& call);
    void run_crashing(http_call const& call);

    service_crash rules;
    crash_events events;
    bool has_ended = false;
    http_server server;
    held_requests held;
    delays later;
};

} // namespace jujubestand::standins

#endif
