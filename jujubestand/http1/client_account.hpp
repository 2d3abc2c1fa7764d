#ifndef JUJUBESTAND_HTTP1_CLIENT_ACCOUNT_HPP
#define JUJUBESTAND_HTTP1_CLIENT_ACCOUNT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http1/server.hpp>
#include <optional>
#include <vector>

/// \brief Decisions on which clients of a server have to go when all of them
/// together hold too many connections or bytes. Load: many clients that send or
/// read slowly, or stop midway, beside callers that keep their pace.
namespace jujubestand::http1
{

/// \brief What a server waits for on a connection.
enum class client_stage : std::uint8_t
{
    silent,    ///< the first byte of the first request
    idle,      ///< the next request
    receiving, ///< the rest of a request
    answering, ///< the owner's answer
    closing,   ///< the client's end
};

/// \brief A connection as far as these decisions need it.
struct client_row
{
    peer_id id;
    client_stage stage = client_stage::silent;
    /// Bytes that are counted for it.
    std::size_t held = 0;
    /// Of the request that is being received.
    std::size_t received = 0;
    /// Answers that the client has not read yet.
    std::size_t unread = 0;
    /// When the stage began.
    mono_time since{};
    /// When bytes last moved in either direction.
    mono_time moved_at{};
};

/// \brief The slowest clients that keep their connection when there is no room.
struct client_pace
{
    double bytes_per_second = 0;
    /// A client that moves no byte for this long, or has sent nothing for this
    /// long since it connected, does not keep its pace.
    std::chrono::milliseconds stall{1'000};
    /// The same of a client that does not read: a caller may be busy with what
    /// it has.
    std::chrono::milliseconds read_stall{2'000};
};

/// \brief Whether a client sends or reads too slowly to be kept.
[[nodiscard]] bool is_slow(client_row const& row, client_pace const& pace,
                           mono_time now);

/// \brief Connections to close for another one, in this order: silent ones,
/// idle ones, slow ones, those that are being closed, new ones. Never one that
/// keeps its pace.
[[nodiscard]] std::vector<peer_id>
closable_clients(std::vector<client_row> const& rows, client_pace const& pace,
                 mono_time now);

/// \brief Slow clients to refuse so that others may hold `excess` bytes more;
/// those with most bytes first.
[[nodiscard]] std::vector<peer_id>
slow_holders(std::vector<client_row> const& rows, std::size_t excess,
             client_pace const& pace, mono_time now);

} // namespace jujubestand::http1

#endif
