#ifndef JUJUBESTAND_STANDINS_SERVICE_HOLDING_SERVICE_HPP
#define JUJUBESTAND_STANDINS_SERVICE_HOLDING_SERVICE_HPP

#include <functional>
#include <map>
#include <optional>
#include <standins/support/http_server.hpp>
#include <standins/support/refusal_copies.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief Callbacks of a holding service, with the call's id.
struct holding_events
{
    std::function<void(std::string const& request_id)> arrived;
    /// The connection of a call ended before its answer.
    std::function<void(std::string const& request_id)> left;
};

/// \brief A plain service on the users' platform that works on each call until
/// it is told to answer, or its caller leaves.
class holding_service
{
public:
    holding_service(event_base* loop, address const& where,
                    holding_events events);
    ~holding_service();
    holding_service(holding_service const&) = delete;
    holding_service& operator=(holding_service const&) = delete;

    /// \brief Refuses the first arrival of each call as not run, and writes the
    /// copy of that refusal at the next one, which it works on.
    void copy_refusals(copy_scope scope);

    /// \brief Answers all calls that it works on.
    void answer_all();

    [[nodiscard]] address bound() const;

private:
    struct held_call
    {
        evhttp_request* request = nullptr;
        std::function<void()> gone;
    };

    void hold(http_call const& call);
    void end(std::string const& id);

    holding_events events;
    std::optional<refusal_copies> copies;
    std::map<std::string, held_call> held;
    http_server server;
};

} // namespace jujubestand::standins

#endif
