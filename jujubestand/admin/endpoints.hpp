#ifndef JUJUBESTAND_ADMIN_ENDPOINTS_HPP
#define JUJUBESTAND_ADMIN_ENDPOINTS_HPP

#include <jujubestand/http/message.hpp>
#include <jujubestand/process/context.hpp>
#include <optional>
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

/// \brief Whether a request comes from an operator: it bears the operators'
/// key or, where the settings name none, comes from this machine itself.
[[nodiscard]] bool is_operator(http::request const& asked,
                               std::string const& key_digest);

/// \brief Answers `/healthz` and `/readyz`, and to operators `/metrics` and
/// `/timeline`.
/// \returns nothing for any other path
[[nodiscard]] std::optional<answer> answer_common(process::context& shared,
                                                  http::request const& asked,
                                                  readiness const& state);

} // namespace jujubestand::admin

#endif
