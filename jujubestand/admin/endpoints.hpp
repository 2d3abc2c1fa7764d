#ifndef JUJUBESTAND_ADMIN_ENDPOINTS_HPP
#define JUJUBESTAND_ADMIN_ENDPOINTS_HPP

#include <jujubestand/http/message.hpp>
#include <optional>
#include <prometheus/registry.h>
#include <string>

namespace jujubestand::admin
{

/// \brief Whether a process takes requests, and why not.
struct readiness
{
    bool is_ready = false;
    std::string why;
};

/// \brief A whole answer to an operator or to the platform.
struct answer
{
    int status = 200;
    std::string content_type;
    std::string body;
};

/// \brief Answers `/healthz`, `/readyz` and `/metrics`.
/// \returns nothing for any other path
[[nodiscard]] std::optional<answer>
answer_common(http::request const& asked, readiness const& state,
              prometheus::Registry const& metrics);

} // namespace jujubestand::admin

#endif
