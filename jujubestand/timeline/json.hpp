#ifndef JUJUBESTAND_TIMELINE_JSON_HPP
#define JUJUBESTAND_TIMELINE_JSON_HPP

#include <jujubestand/core/reason.hpp>
#include <jujubestand/timeline/ring.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace jujubestand::timeline
{

/// \brief One event as JSON.
[[nodiscard]] nlohmann::ordered_json to_json(stamped_event const& event);

/// \brief A page as the body of `GET /timeline`.
[[nodiscard]] std::string to_json(page const& shown);

/// \brief Reads such a body.
/// \returns nothing, with `why` set, for anything else
[[nodiscard]] std::optional<page> page_from_json(std::string_view body,
                                                 reason& why);

/// \brief What `GET /timeline?QUERY` asks for.
struct page_query
{
    std::uint64_t sequence = 0;
    std::size_t limit = 1'000;
    event_filter filter;
};

/// \brief Most events that one page may have.
inline constexpr std::size_t page_limit = 10'000;

/// \brief Reads `from=N&limit=N&request=ID&team=NAME&event=NAME`.
/// \returns nothing, with `why` set, for an unknown name or a bad value
[[nodiscard]] std::optional<page_query> parse_query(std::string_view text,
                                                    reason& why);

/// \brief One event as a line of a table.
[[nodiscard]] std::string to_line(stamped_event const& event);

} // namespace jujubestand::timeline

#endif
