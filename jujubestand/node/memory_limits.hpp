#ifndef JUJUBESTAND_NODE_MEMORY_LIMITS_HPP
#define JUJUBESTAND_NODE_MEMORY_LIMITS_HPP

#include <algorithm>
#include <cstddef>
#include <jujubestand/http1/server.hpp>

namespace jujubestand::node
{

/// \brief Limits on the bytes of its peers that a process keeps, each over all
/// connections of one kind.
struct memory_limits
{
    /// Callers' requests: heads, bodies and what was read ahead. Each body is
    /// kept once more while it is sent to an upstream.
    std::size_t caller_requests = 0;
    /// Answers of upstreams that are not complete.
    std::size_t upstream_answers = 0;
    /// Answers of the store and of our own processes.
    std::size_t internal_answers = 0;
    /// Answers that callers have not read.
    std::size_t unread_by_callers = 0;
    /// Records that our own processes have asked for and not read.
    std::size_t unread_records = 0;
    /// Connections of callers, each with what it takes while nothing is sent.
    std::size_t caller_connections = 0;
    /// Requests of our own processes, and those of the balancer.
    std::size_t internal_requests = 0;
    /// Connections of our own processes, and those of the balancer.
    std::size_t internal_connections = 0;
};

/// \brief Limits for a process that ends if it takes more memory than this.
///
/// A kept byte takes two to three while its buffer grows and while it is passed
/// on, so that together they may take three quarters of the memory. A
/// connection takes no more than counted.
[[nodiscard]] constexpr memory_limits
memory_limits_of(std::size_t memory_bytes) noexcept
{
    constexpr std::size_t requests_part = 8;
    constexpr std::size_t answers_part = 12;
    constexpr std::size_t internal_part = 16;
    constexpr std::size_t connections_part = 8;
    constexpr std::size_t internal_connections_part = 32;
    constexpr std::size_t internal_requests_part = 64;
    // Measured: 2 KB, and as much for what the loop keeps of it.
    constexpr std::size_t connection_bytes = 4'096;
    return {memory_bytes / requests_part,
            memory_bytes / answers_part,
            memory_bytes / internal_part,
            memory_bytes / answers_part,
            memory_bytes / internal_part,
            memory_bytes / connections_part / connection_bytes,
            memory_bytes / internal_requests_part,
            memory_bytes / internal_connections_part / connection_bytes};
}

/// \brief Connections that a process accepts, each limit for one port.
struct connection_limits
{
    std::size_t callers = 0;
    std::size_t readiness = 0;
    /// Of our other processes.
    std::size_t internal = 0;
};

/// \brief Limits for a process with so many descriptors, of which up to 200
/// are for files.
///
/// Of the others a quarter is for our own processes, the store and the
/// balancer: half of it for what connects to us. Each call takes a connection
/// of its caller and one to an upstream, so that these share the rest.
[[nodiscard]] constexpr connection_limits
connection_limits_of(std::size_t descriptors, std::size_t memory_bytes) noexcept
{
    constexpr std::size_t for_files = 200;
    constexpr std::size_t internal_part = 4;
    constexpr std::size_t readiness_part = 16;
    constexpr std::size_t least = 4;
    std::size_t const sockets =
        descriptors - std::min(for_files, descriptors / 2);
    std::size_t const internal = sockets / internal_part;
    std::size_t const readiness = sockets / readiness_part;
    std::size_t const callers = (sockets - internal) / 2;
    auto const memory = memory_limits_of(memory_bytes);
    return {std::max(std::min(callers, memory.caller_connections), least),
            std::max(std::min(readiness, memory.internal_connections), least),
            std::max(
                std::min(internal / 2 - readiness, memory.internal_connections),
                least)};
}

/// \brief Limits of the requests of our own processes and of the balancer,
/// which have no bodies.
[[nodiscard]] inline http1::server_limits internal_request_limits()
{
    constexpr std::size_t body_bytes = 4'096;
    http1::server_limits result;
    result.message.body_bytes = body_bytes;
    return result;
}

} // namespace jujubestand::node

#endif
