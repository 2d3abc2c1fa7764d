#ifndef JUJUBESTAND_STATUS_QUOTA_MESSAGES_HPP
#define JUJUBESTAND_STATUS_QUOTA_MESSAGES_HPP

#include <jujubestand/limits/quota_messages.hpp>
#include <jujubestand/status/format_version.hpp>

namespace jujubestand::status
{

/// \brief Request of a gateway to the one that issues a team's tokens.
struct quota_query
{
    std::uint32_t format = format_version;
    limits::quota_request request;

    MSGPACK_DEFINE_ARRAY(format, request)
};

/// \brief Response to a `quota_query`.
struct quota_response
{
    std::uint32_t format = format_version;
    limits::quota_answer answer;

    MSGPACK_DEFINE_ARRAY(format, answer)
};

/// \brief Notice of a gateway that is about to end.
struct gateway_end_notice
{
    std::uint32_t format = format_version;

    MSGPACK_DEFINE_ARRAY(format)
};

} // namespace jujubestand::status

#endif
