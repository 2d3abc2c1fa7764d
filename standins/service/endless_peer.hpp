#ifndef JUJUBESTAND_STANDINS_SERVICE_ENDLESS_PEER_HPP
#define JUJUBESTAND_STANDINS_SERVICE_ENDLESS_PEER_HPP

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

/// \brief A server that answers the first bytes of each connection with a
/// beginning and then with the same bytes again and again, until its caller
/// closes; with none to repeat it stops after the beginning.
class endless_peer
{
public:
    /// \throws std::runtime_error if it cannot listen
    endless_peer(event_base* loop, address const& where, std::string beginning,
                 std::string repeated);
    endless_peer(endless_peer const&) = delete;
    endless_peer& operator=(endless_peer const&) = delete;

    [[nodiscard]] address bound() const;

    /// \brief Connections that callers have not closed.
    [[nodiscard]] std::size_t open() const noexcept;

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
        endless_peer* owner = nullptr;
        std::unique_ptr<bufferevent, buffer_deleter> buffer;
        bool has_begun = false;
    };

    void accept(evutil_socket_t socket);
    void begin(connection& target) const;
    void fill(connection& target) const;

    event_base* base;
    std::string beginning;
    std::string filler;
    std::unique_ptr<evconnlistener, listener_deleter> listener;
    std::map<evutil_socket_t, connection> connections;
};

} // namespace jujubestand::standins

#endif
