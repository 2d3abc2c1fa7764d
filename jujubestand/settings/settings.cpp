#include <jujubestand/settings/settings.hpp>

#include <fstream>
#include <jujubestand/settings/reader.hpp>
#include <sstream>

namespace jujubestand::settings
{

namespace
{

constexpr std::size_t digest_digits = 64;
constexpr std::size_t shortest_link_key = 16;
constexpr std::int64_t day_ms = 86'400'000;
constexpr std::int64_t mebibyte = 1 << 20;

bool is_digest(std::string const& text)
{
    return text.size() == digest_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void read_process(reader& from, settings& into)
{
    auto section = from.section("process");
    into.instance = instance_id(section.required_text("instance"));
    into.data_centre = data_centre_id(section.required_text("data_centre"));
    into.link_key = section.required_text("link_key");
    if (!into.link_key.empty() && into.link_key.size() < shortest_link_key)
        section.fail("link_key", "a text of at least 16 characters");
    into.operator_key_digest = section.optional_text("operator_key_sha256");
    if (!into.operator_key_digest.empty() &&
        !is_digest(into.operator_key_digest))
        section.fail("operator_key_sha256", "64 lower-case hexadecimal digits");
    section.done();
}

void read_listen(reader& from, settings& into)
{
    auto section = from.section("listen");
    into.http = section.required_address("http");
    into.link = section.required_address("link");
    section.done();
}

void read_platform(reader& from, settings& into)
{
    auto section = from.section("platform");
    into.log = section.required_address("log");
    into.instances = section.required_address("instances");
    into.weight_store = section.optional_address("weight_store");
    for (auto const& peer : section.optional_addresses("peers"))
        into.peers.push_back(peer);
    section.done();
}

void read_upstream(reader& from, settings& into)
{
    auto section = from.section("upstream");
    into.upstream = upstream_id(section.required_text("name"));
    into.upstream_address = section.required_address("address");
    auto const text = section.required_text("kind");
    auto const kind = from_name(upstream_kind_names, text);
    if (!text.empty() && !kind)
        section.fail("kind", "\"engine\" or \"service\"");
    into.kind = kind.value_or(upstream_kind::engine);
    auto const limit_header = section.optional_text("limit_header");
    if (!limit_header.empty())
        into.limit_header = limit_header;
    section.done();
}

void read_teams(reader& from, settings& into)
{
    for (auto& row : from.rows("team"))
    {
        team next;
        next.id = team_id(row.required_text("name"));
        next.key_digests = row.required_texts("key_sha256");
        for (auto const& digest : next.key_digests)
        {
            if (!is_digest(digest))
                row.fail("key_sha256", "64 lower-case hexadecimal digits");
        }
        row.done();
        into.teams.push_back(std::move(next));
    }
    if (into.teams.empty())
        from.fail("team", "at least one [[team]]");
}

void read_numbers(reader& from, settings& into)
{
    std::string_view last;
    std::optional<reader> section;
    for (auto const& row : number_keys())
    {
        if (row.section != last)
        {
            if (section)
                section->done();
            section = from.optional_section(row.section);
            last = row.section;
        }
        section->number(row.key, row.lowest, row.highest, into.*row.member);
    }
    section->done();
}

void check_together(reader& from, settings const& read)
{
    if (read.key_age_limit_ms * 2 > read.log_retention_ms)
        from.fail("claims.key_age_limit_ms",
                  "at most half of claims.log_retention_ms");
}

} // namespace

std::vector<number_key> const& number_keys()
{
    using s = settings;
    static std::vector<number_key> const rows{
        {"limits", "body_limit_bytes", &s::body_limit_bytes, 1'024,
         256 * mebibyte, "largest body of a caller's request"},
        {"limits", "header_limit_bytes", &s::header_limit_bytes, 1'024,
         mebibyte, "largest head of a caller's request"},
        {"limits", "json_depth_limit", &s::json_depth_limit, 4, 1'024,
         "deepest nesting of a completion body"},
        {"limits", "read_timeout_ms", &s::read_timeout_ms, 1'000, 600'000,
         "longest silence of a caller within its request"},
        {"limits", "caller_buffer_bytes", &s::caller_buffer_bytes, 4'096,
         64 * mebibyte, "answer bytes held for a caller that reads slowly"},
        {"limits", "calls_limit", &s::calls_limit, 1, 1'000'000,
         "requests open at once in one process"},
        {"limits", "body_timeout_ms", &s::body_timeout_ms, 1'000, 3'600'000,
         "longest time from the head of a caller's request to its end"},
        {"limits", "connections_limit", &s::connections_limit, 0, 1'000'000,
         "callers' connections open at once; 0: by the descriptors"},
        {"limits", "held_requests_bytes", &s::held_requests_bytes, mebibyte,
         65'536 * mebibyte,
         "bytes of all requests that callers send or wait for together"},
        {"limits", "drain_limit_ms", &s::drain_limit_ms, 100, 3'600'000,
         "longest time from SIGTERM to exit"},
        {"limits", "drain_notice_ms", &s::drain_notice_ms, 0, 60'000,
         "time from failing /readyz to refusing new requests"},
        {"limits", "pin_header", &s::pin_header, 0, 1,
         "1: a caller may name its upstream in X-Upstream"},
        {"links", "connect_timeout_ms", &s::connect_timeout_ms, 10, 60'000,
         "longest wait for a connection"},
        {"links", "ping_timeout_ms", &s::ping_timeout_ms, 100, 60'000,
         "longest silence of a peer's process"},
        {"links", "probe_timeout_ms", &s::probe_timeout_ms, 1, 10'000,
         "longest wait for the replies to an entry's probes"},
        {"links", "stream_window_bytes", &s::stream_window_bytes, 16'384,
         64 * mebibyte, "answer bytes on their way on one stream"},
        {"queue", "queue_requests", &s::queue_requests, 1, 1'000'000,
         "requests waiting at one sidecar"},
        {"queue", "queue_tokens", &s::queue_tokens, 1, 1'000'000'000,
         "prompt tokens waiting at one sidecar"},
        {"queue", "slots", &s::slots, 1, 100'000,
         "requests that the upstream has at once"},
        {"queue", "ahead_tokens", &s::ahead_tokens, 1, 1'000'000'000,
         "prompt tokens handed to an engine before their first token"},
        {"answers", "upstream_timeout_ms", &s::upstream_timeout_ms, 10, day_ms,
         "longest silence of the upstream within an answer"},
        {"answers", "replay_window_bytes", &s::replay_window_bytes, 1'024,
         256 * mebibyte, "answer bytes kept for a link that breaks"},
        {"answers", "replay_keep_ms", &s::replay_keep_ms, 0, 600'000,
         "how long an answer without a link is kept"},
        {"answers", "answer_limit_bytes", &s::answer_limit_bytes, 1'024,
         1'024 * mebibyte, "largest answer of an upstream"},
        {"answers", "held_limit_bytes", &s::held_limit_bytes, 1'024,
         1'024 * mebibyte, "answer bytes held at once, of all requests"},
        {"claims", "key_age_limit_ms", &s::key_age_limit_ms, 1'000, day_ms,
         "oldest idempotency key that is decided"},
        {"claims", "log_retention_ms", &s::log_retention_ms, 2'000, 30 * day_ms,
         "how long the log service keeps a record"},
        {"claims", "outcome_limit_bytes", &s::outcome_limit_bytes, 0, mebibyte,
         "largest answer recorded whole with its claim"},
        {"intervals", "list_poll_ms", &s::list_poll_ms, 10, 600'000,
         "time between two reads of the instance list"},
        {"intervals", "log_poll_ms", &s::log_poll_ms, 10, 600'000,
         "longest wait of one read of the log"},
        {"intervals", "load_poll_ms", &s::load_poll_ms, 10, 60'000,
         "time between two reads of the engine's load"},
        {"intervals", "timeline_events", &s::timeline_events, 16, 10'000'000,
         "events that the time line keeps in one process"},
    };
    return rows;
}

std::optional<settings> parse(std::string_view text, std::string const& file,
                              role as, std::vector<reason>& problems)
{
    auto const document = read_document(text, file, problems);
    if (!document)
        return std::nullopt;
    std::size_t const before = problems.size();
    reader from(*document, file, problems);
    settings result;
    read_process(from, result);
    read_listen(from, result);
    read_platform(from, result);
    if (as == role::sidecar)
        read_upstream(from, result);
    else
        read_teams(from, result);
    read_numbers(from, result);
    from.done();
    check_together(from, result);
    if (problems.size() != before)
        return std::nullopt;
    return result;
}

std::optional<settings> load(std::string const& file, role as,
                             std::vector<reason>& problems)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    if (!input)
    {
        problems.push_back(
            reason{reason_code::settings_invalid, "cannot read", file});
        return std::nullopt;
    }
    return parse(text.str(), file, as, problems);
}

} // namespace jujubestand::settings
