#ifndef JUJUBESTAND_SETTINGS_SETTINGS_HPP
#define JUJUBESTAND_SETTINGS_SETTINGS_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::settings
{

/// \brief What a process does.
enum class role : std::uint8_t
{
    entry,
    sidecar,
};

/// \brief Names of the roles.
inline constexpr std::array<enum_name<role>, 2> role_names{{
    {role::entry, "entry"},
    {role::sidecar, "sidecar"},
}};

/// \brief What a sidecar's upstream is.
enum class upstream_kind : std::uint8_t
{
    engine,
    service,
};

/// \brief Names of the kinds of upstream.
inline constexpr std::array<enum_name<upstream_kind>, 2> upstream_kind_names{{
    {upstream_kind::engine, "engine"},
    {upstream_kind::service, "service"},
}};

/// \brief A team and the SHA-256 digests of its API keys, in hexadecimal.
/// Two digests let a key be replaced without a gap.
struct team
{
    team_id id;
    std::vector<std::string> key_digests;
};

/// \brief Everything a process learns from its settings file.
///
/// Numbers carry their unit in their name; `number_keys` gives the key,
/// range and meaning of each.
struct settings
{
    // [process]
    instance_id instance;
    data_centre_id data_centre;
    std::string link_key;
    /// SHA-256 of the operators' key; empty: only this machine itself may
    /// read metrics and the time line.
    std::string operator_key_digest;

    // [listen]
    address http;
    address link;

    // [platform]
    address log;
    address instances;
    std::optional<address> weight_store;

    // [upstream], sidecars only
    upstream_id upstream;
    upstream_kind kind = upstream_kind::engine;
    std::optional<address> upstream_address;
    /// Header field in which the upstream states how many requests a second it
    /// takes.
    std::string limit_header = "Server-Limit";

    // [[team]], entries only
    std::vector<team> teams;

    // Peers asked for tables while the instance list can't be had.
    std::vector<address> peers;

    // [limits]
    std::int64_t body_limit_bytes = 8 << 20;
    std::int64_t header_limit_bytes = 32 << 10;
    std::int64_t json_depth_limit = 64;
    std::int64_t read_timeout_ms = 30'000;
    std::int64_t caller_buffer_bytes = 256 << 10;
    std::int64_t calls_limit = 8'192;
    std::int64_t body_timeout_ms = 30'000;
    std::int64_t connections_limit = 0;
    std::int64_t held_requests_bytes = 32 << 20;
    std::int64_t drain_limit_ms = 120'000;
    std::int64_t drain_notice_ms = 2'000;
    std::int64_t pin_header = 0;

    // [links]
    std::int64_t connect_timeout_ms = 1'000;
    std::int64_t ping_timeout_ms = 2'000;
    std::int64_t probe_timeout_ms = 50;
    std::int64_t stream_window_bytes = 256 << 10;

    // [queue], sidecars only
    std::int64_t queue_requests = 1'024;
    std::int64_t queue_tokens = 4'000'000;
    std::int64_t slots = 32;
    std::int64_t ahead_tokens = 8'192;

    // [answers], sidecars only
    std::int64_t upstream_timeout_ms = 120'000;
    std::int64_t replay_window_bytes = 1 << 20;
    std::int64_t replay_keep_ms = 15'000;
    std::int64_t answer_limit_bytes = 64 << 20;
    std::int64_t held_limit_bytes = 32 << 20;

    // [claims], sidecars only
    std::int64_t key_age_limit_ms = 3'600'000;
    std::int64_t log_retention_ms = 7'200'000;
    std::int64_t outcome_limit_bytes = 4'096;

    // [intervals]
    std::int64_t list_poll_ms = 1'000;
    std::int64_t log_poll_ms = 10'000;
    std::int64_t load_poll_ms = 100;
    std::int64_t timeline_events = 16'384;
};

/// \brief One numeric setting: where it stands, its range, what it means.
struct number_key
{
    std::string_view section;
    std::string_view key;
    std::int64_t settings::*member;
    std::int64_t lowest;
    std::int64_t highest;
    std::string_view meaning;
};

/// \brief All numeric settings; `docs/operating/settings.md` lists them.
[[nodiscard]] std::vector<number_key> const& number_keys();

/// \brief Reads and checks settings.
///
/// \param text the TOML text
/// \param file its name, for messages
/// \param as the role whose settings are wanted
/// \param problems one reason per fault: what was expected, and in `place`
/// the file, line, column and key
/// \returns nothing if there is any problem
[[nodiscard]] std::optional<settings> parse(std::string_view text,
                                            std::string const& file, role as,
                                            std::vector<reason>& problems);

/// \brief Reads and checks a settings file.
[[nodiscard]] std::optional<settings> load(std::string const& file, role as,
                                           std::vector<reason>& problems);

} // namespace jujubestand::settings

#endif
