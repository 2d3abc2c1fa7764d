#ifndef JUJUBESTAND_STANDINS_RELAY_TCP_RELAY_HPP
#define JUJUBESTAND_STANDINS_RELAY_TCP_RELAY_HPP

#include <cstdint>
#include <deque>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <jujubestand/core/time.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief Distance and faults of a relayed link.
struct relay_switches
{
    /// Added on the way to the target, and on the way back.
    std::int64_t there_us = 0;
    std::int64_t back_us = 0;
    /// Carries nothing on; connections stay open.
    bool stall = false;
    /// Carries nothing back; what is on its way to the target arrives.
    bool stall_back = false;
    /// Cuts all connections and refuses new ones.
    bool cut = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(relay_switches, there_us,
                                                back_us, stall, stall_back, cut)

/// \brief Carries TCP connections to a target, each byte late by a set time.
class tcp_relay
{
public:
    /// \throws std::runtime_error if it cannot listen
    tcp_relay(event_base* loop, address const& where, address const& to,
              address const& control, relay_switches const& initial);
    ~tcp_relay();
    tcp_relay(tcp_relay const&) = delete;
    tcp_relay& operator=(tcp_relay const&) = delete;

    /// \brief Changes distance and faults, as a request at `control_bound`
    /// does.
    void set(relay_switches const& chosen);

    [[nodiscard]] address bound() const;
    [[nodiscard]] address control_bound() const;

private:
    struct buffer_deleter
    {
        void operator()(bufferevent* buffer) const noexcept;
    };
    using buffer_ptr = std::unique_ptr<bufferevent, buffer_deleter>;

    struct listener_deleter
    {
        void operator()(evconnlistener* listener) const noexcept;
    };

    /// \brief Bytes on their way, or the end of them.
    struct parcel
    {
        mono_time due;
        std::string bytes;
        bool is_end = false;
    };

    /// \brief One end of a connection, and what it has sent to the other.
    struct side
    {
        tcp_relay* owner = nullptr;
        std::uint64_t connection = 0;
        bool is_caller = false;
        buffer_ptr buffer;
        std::deque<parcel> parcels;
        std::size_t parcel_bytes = 0;
        bool is_over = false;
        event_ptr timer;
    };

    struct connection
    {
        side caller;
        side target;
    };

    void accept(evutil_socket_t socket);
    void attach(side& made, std::uint64_t id, bool is_caller);
    void take_in(side& from, bool is_end);
    void carry_on(side& from);
    void arm(side& from, microseconds wait);
    side& opposite(side const& from);
    void switches_changed();
    static void on_read(bufferevent* buffer, void* context);
    static void on_event(bufferevent* buffer, short what, void* context);
    static void on_timer(evutil_socket_t, short, void* context);

    event_base* base;
    address target_address;
    http_server control;
    relay_switches switches;
    std::unique_ptr<evconnlistener, listener_deleter> listener;
    std::map<std::uint64_t, connection> connections;
    std::uint64_t next_connection = 1;
};

} // namespace jujubestand::standins

#endif
