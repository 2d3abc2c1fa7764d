#ifndef JUJUBESTAND_NODE_MEMORY_LIMITS_HPP
#define JUJUBESTAND_NODE_MEMORY_LIMITS_HPP

#include <cstddef>
#include <jujubestand/http1/server.hpp>

namespace jujubestand::node
{

/// \brief Limits on the bytes of its peers that a process keeps, each over all
/// connections of one kind.
struct memory_limits
{
    /// Bodies of callers' requests; each is kept once more while it is sent to
    /// an upstream.
    std::size_t caller_requests = 0;
    /// Answers of upstreams that are not complete.
    std::size_t upstream_answers = 0;
    /// Answers of the store and of our own processes.
    std::size_t internal_answers = 0;
    /// Answers that callers have not read.
    std::size_t unread_by_callers = 0;
    /// Records that our own processes have asked for and not read.
    std::size_t unread_records = 0;
};

/// \brief Limits for a process that ends if it takes more memory than this.
///
/// A kept byte takes two to three while its buffer grows and while it is passed
/// on, so that together they may take three quarters of the memory.
[[nodiscard]] constexpr memory_limits
memory_limits_of(std::size_t memory_bytes) noexcept
{
    constexpr std::size_t requests_part = 8;
    constexpr std::size_t answers_part = 12;
    constexpr std::size_t internal_part = 16;
    return {memory_bytes / requests_part, memory_bytes / answers_part,
            memory_bytes / internal_part, memory_bytes / answers_part,
            memory_bytes / internal_part};
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
