#ifndef JUJUBESTAND_STANDINS_SERVICE_EARLY_SERVICE_HPP
#define JUJUBESTAND_STANDINS_SERVICE_EARLY_SERVICE_HPP

#include <cstddef>
#include <cstdint>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <jujubestand/core/address.hpp>
#include <map>
#include <memory>
#include <string>

namespace jujubestand::standins
{

/// \brief How an early service ends its connections.
enum class early_end : std::uint8_t
{
    reset,
    fin, ///< in order; it keeps its socket and reads nothing
};

/// \brief A server that responds as soon as it has the head of a request and
/// reads no more of it.
class early_service
{
public:
    /// \param response bytes in which `%ID%` stands for the request's id
    /// \throws std::runtime_error if it cannot listen
    early_service(event_base* loop, address const& where, std::string response);
    early_service(early_service const&) = delete;
    early_service& operator=(early_service const&) = delete;

    [[nodiscard]] address bound() const;

    /// \brief Requests that were responded to.
    [[nodiscard]] std::size_t requests() const noexcept;

    /// \brief Responds with other bytes from now on.
    void respond_with(std::string bytes);

    /// \brief Ends all connections on which it has responded.
    void end(early_end how);

private:
    struct buffer_deleter
    {
        void operator()(bufferevent* buffer) const noexcept;
    };
    struct listener_deleter
    {
        void operator()(evconnlistener* listener) const noexcept;
    };

    struct connection
    {
        early_service* owner = nullptr;
        std::unique_ptr<bufferevent, buffer_deleter> buffer;
        bool has_responded = false;
    };

    void accept(evutil_socket_t socket);
    void read(connection& target);

    event_base* base;
    std::string response;
    std::size_t count = 0;
    std::unique_ptr<evconnlistener, listener_deleter> listener;
    std::map<evutil_socket_t, connection> connections;
};

} // namespace jujubestand::standins

#endif
