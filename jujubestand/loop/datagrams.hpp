#ifndef JUJUBESTAND_LOOP_DATAGRAMS_HPP
#define JUJUBESTAND_LOOP_DATAGRAMS_HPP

#include <functional>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/reason.hpp>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace jujubestand::loop
{

/// \brief A UDP socket on libevent's loop.
class datagrams
{
public:
    using receiver =
        std::function<void(address const& from, std::string_view bytes)>;

    /// \param base the process's loop; must outlive the socket
    datagrams(event_base* base, receiver received);
    ~datagrams();
    datagrams(datagrams const&) = delete;
    datagrams& operator=(datagrams const&) = delete;
    datagrams(datagrams&&) = delete;
    datagrams& operator=(datagrams&&) = delete;

    /// \brief Takes a local address; port 0 asks for an ephemeral one.
    [[nodiscard]] bool bind(address const& where, reason& why);

    /// \brief Sends one datagram; it may be lost.
    void send(address const& to, std::string_view bytes);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::loop

#endif
