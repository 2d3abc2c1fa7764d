#ifndef JUJUBESTAND_GATEWAY_LIMIT_RECORDS_HPP
#define JUJUBESTAND_GATEWAY_LIMIT_RECORDS_HPP

#include <jujubestand/dispatch/types.hpp>
#include <jujubestand/limits/permit_messages.hpp>
#include <jujubestand/limits/upstream_limit.hpp>

/// \brief Limits of upstreams as gateways send them to each other.
namespace jujubestand::gateway
{

/// \brief What this gateway knows of the limit of an upstream.
[[nodiscard]] limits::limit_record record_of(dispatch::upstream const& target,
                                             mono_time now);

/// \brief Converts the time of a record of another process.
/// \param difference by which this process's clock is ahead of the other's
void to_own_clock(limits::limit_record& record,
                  std::chrono::milliseconds difference);

/// \brief Whether a record of another process can be used.
[[nodiscard]] bool is_valid(limits::limit_record const& record);

/// \brief The statement of the upstream that a record passes on.
[[nodiscard]] limits::statement
statement_of(limits::limit_record const& record);

} // namespace jujubestand::gateway

#endif
