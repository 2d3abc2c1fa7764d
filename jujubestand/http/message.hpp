#ifndef JUJUBESTAND_HTTP_MESSAGE_HPP
#define JUJUBESTAND_HTTP_MESSAGE_HPP

#include <cstdint>
#include <jujubestand/core/reason.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::http
{

/// \brief One header field.
struct field
{
    std::string name;
    std::string value;
};

/// \brief A whole request as it was received or is to be sent.
struct request
{
    std::string method;
    /// Path without query.
    std::string path;
    std::string query;
    std::vector<field> headers;
    std::string body;
    /// IP number of the sender; empty for a request to be sent.
    std::string remote_host;
};

/// \brief Status and headers of an answer.
struct response_head
{
    int status = 0;
    std::vector<field> headers;
};

/// \brief How an exchange as a client ended.
struct exchange_end
{
    /// The answer came whole.
    bool is_complete = false;
    /// Some of the request's bytes went to the socket.
    bool may_have_sent = false;
    reason why;
};

/// \brief Value of the first field of that name, compared without case.
[[nodiscard]] std::optional<std::string_view>
find_header(std::vector<field> const& headers, std::string_view name) noexcept;

/// \brief Number of fields of that name.
[[nodiscard]] std::size_t count_headers(std::vector<field> const& headers,
                                        std::string_view name) noexcept;

/// \brief Whether two header names are the same, without case.
[[nodiscard]] bool same_name(std::string_view left,
                             std::string_view right) noexcept;

/// \brief Whether a field belongs to one connection (RFC 9110, 7.6.1) and
/// must not be passed on.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

} // namespace jujubestand::http

#endif
