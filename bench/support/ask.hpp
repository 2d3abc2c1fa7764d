#ifndef JUJUBESTAND_BENCH_SUPPORT_ASK_HPP
#define JUJUBESTAND_BENCH_SUPPORT_ASK_HPP

#include <chrono>
#include <nlohmann/json.hpp>
#include <standins/support/http_client.hpp>
#include <string>

namespace jujubestand::bench
{

/// \brief Sends one request and waits for its answer.
/// \returns status 0 if no whole answer came
[[nodiscard]] standins::fetch_result
ask(standins::fetch_request const& request);

/// \brief `ask` with GET.
[[nodiscard]] standins::fetch_result get(address const& where,
                                         std::string const& path);

/// \brief The JSON of a GET. \throws std::runtime_error if there is none
[[nodiscard]] nlohmann::json get_json(address const& where,
                                      std::string const& path);

/// \brief Sets switches of a stand-in.
/// \throws std::runtime_error if it refuses them
void set_fault(address const& where, nlohmann::json const& change);

/// \brief Asks every few milliseconds until the status is 200.
/// \returns whether it was within `limit`
[[nodiscard]] bool wait_ok(address const& where, std::string const& path,
                           std::chrono::milliseconds limit);

} // namespace jujubestand::bench

#endif
