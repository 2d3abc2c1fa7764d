#ifndef JUJUBESTAND_SIDECAR_ENGINE_REPORT_HPP
#define JUJUBESTAND_SIDECAR_ENGINE_REPORT_HPP

#include <cstdint>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/prefix/belief.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jujubestand::sidecar
{

/// \brief What an engine last told of itself, some time ago.
struct engine_report
{
    incarnation_id incarnation;
    std::string model;
    std::string weights_version;
    std::vector<std::string> adapters;
    std::string role;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t waiting_tokens = 0;
    std::uint32_t slots = 0;
    double prefill_us_per_token = 0;
};

/// \brief One change of an engine's cache.
using cache_event = std::variant<prefix::blocks_stored, prefix::blocks_removed,
                                 prefix::cache_cleared>;

/// \brief Reads the answer of `GET /load`.
[[nodiscard]] std::optional<engine_report>
read_engine_report(std::string_view text, reason& why);

/// \brief Reads one line of `GET /kv_events`.
[[nodiscard]] std::optional<cache_event> read_cache_event(std::string_view line,
                                                          reason& why);

} // namespace jujubestand::sidecar

#endif
