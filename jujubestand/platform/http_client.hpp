#ifndef JUJUBESTAND_PLATFORM_HTTP_CLIENT_HPP
#define JUJUBESTAND_PLATFORM_HTTP_CLIENT_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace jujubestand::platform
{

/// \brief The request methods that the platform's services use.
enum class http_method : std::uint8_t
{
    get,
    post,
    put,
    del,
};

/// \brief One header field.
struct http_header
{
    std::string name;
    std::string value;
};

/// \brief A request, and how long and how large its answer may be.
struct http_request
{
    address server;
    http_method method = http_method::get;
    /// Path and query.
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds timeout{5'000};
    std::size_t answer_limit_bytes = 8U << 20U;
};

/// \brief A whole answer, or the reason why there is none.
struct http_result
{
    /// 0 where there is no whole answer.
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
    /// Set where `status` is 0.
    reason why;
    /// Some bytes of the request may have reached the server.
    bool may_have_sent = false;
};

/// \brief Value of a header, compared without case; empty if it is absent.
[[nodiscard]] std::string_view find_header(http_result const& result,
                                           std::string_view name) noexcept;

/// \brief Address of a request under way.
using http_call_id = slot_id<struct http_call_tag>;

/// \brief Called once with the end of a request, from the loop.
using http_callback = std::function<void(http_result const&)>;

/// \brief HTTP/1.1 requests on libevent's loop, one connection for each.
class http_client
{
public:
    /// \param base the process's loop; must outlive the client
    explicit http_client(event_base* base);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// \brief Starts a request; `done` is never called from within.
    http_call_id start(http_request const& request, http_callback done);

    /// \brief Drops a request; its callback is not called.
    void cancel(http_call_id call);

    /// \brief Bytes of bodies and targets sent, and of bodies received.
    [[nodiscard]] std::uint64_t bytes() const noexcept;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::platform

#endif
