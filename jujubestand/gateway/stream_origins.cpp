#include <jujubestand/gateway/stream_origins.hpp>

#include <algorithm>
#include <jujubestand/placement/rendezvous.hpp>
#include <utility>

namespace jujubestand::gateway
{

namespace
{

// The software version that all upstreams of the pools have and had of late.
std::optional<std::string> only_version(stream_origins const& state,
                                        std::vector<std::string> const& pools,
                                        mono_time now)
{
    if (state.lacks_history)
        return std::nullopt;
    auto versions = recent_versions(state, pools, now);
    // Entries without a version name no other one.
    if (versions.size() > 1)
        versions.erase("");
    return versions.size() == 1 ? std::optional(*versions.begin())
                                : std::nullopt;
}

} // namespace

std::set<std::string> recent_versions(stream_origins const& state,
                                      std::vector<std::string> const& pools,
                                      mono_time now)
{
    std::set<std::string> result;
    for (auto const& pool : pools)
    {
        auto const found = state.software_in_use.find(pool);
        if (found == state.software_in_use.end())
            continue;
        for (auto const& [version, seen_at] : found->second)
        {
            if (now - seen_at <= software_memory)
                result.insert(version);
        }
    }
    return result;
}

origin_key origin_key_of(std::string_view request_id) noexcept
{
    return placement::name_hash_of(request_id);
}

void record_origin(stream_origins& state, origin_key stream,
                   std::string const& software_version)
{
    if (state.versions.find(stream) == nullptr)
        state.versions.insert(stream, software_version);
}

std::optional<std::string> find_origin(stream_origins& state, origin_key stream)
{
    auto const* known = state.versions.find(stream);
    if (known == nullptr)
        known = state.stored.find(stream);
    return known == nullptr ? std::nullopt : std::optional(*known);
}

void record_software(stream_origins& state, std::string const& pool,
                     std::string const& software_version, mono_time seen_at)
{
    auto& versions = state.software_in_use[pool];
    std::erase_if(versions,
                  [seen_at](auto const& row)
                  {
                      return seen_at - row.second > software_memory;
                  });
    auto& last = versions[software_version];
    last = std::max(last, seen_at);
}

// Records arrive only while the store can be read; the upstreams of the last
// ones still serve.
void record_registered_software(stream_origins& state,
                                dispatch::state const& dispatcher,
                                std::string const& pool, mono_time now)
{
    for (auto const& [key, target] : dispatcher.upstreams)
    {
        if (target.record.pool == pool)
            record_software(state, pool, target.record.software_version, now);
    }
}

// A version that no gateway knows any more can still be inferred, once some
// gateway is known that could be queried, while the pools have had only one
// that the stream can have begun at. A gateway that was cut off or has stood
// still lacks the upstreams that joined meanwhile, and the stream may have
// begun at one of these through another gateway.
resume_decision decide_resume(stream_origins& state,
                              resumed_stream const& stream,
                              std::optional<mono_time> known_as_of,
                              mono_time now)
{
    resume_decision result;
    bool const is_named = !stream.request_id.empty();
    if (is_named)
        result.software_version =
            find_origin(state, origin_key_of(stream.request_id));
    if (result.software_version)
    {
        result.step = resume_step::proceed;
        return result;
    }
    if (is_named && !stream.was_queried)
    {
        result.step = resume_step::query;
        return result;
    }
    if (!is_named || stream.knows_gateways)
        result.software_version = only_version(state, stream.pools, now);
    if (!result.software_version)
    {
        if (is_named && stream.look_up == look_up_state::none)
            result.step = resume_step::look_up;
        return result;
    }
    bool const is_current = known_as_of && *known_as_of >= stream.arrived_at;
    result.step = is_current ? resume_step::proceed : resume_step::wait;
    if (!is_current)
        result.software_version.reset();
    return result;
}

std::vector<std::string> origin_holders(std::vector<std::string> const& hosts,
                                        std::string const& own,
                                        origin_key stream, std::size_t count)
{
    std::vector<std::pair<double, std::string>> ranked;
    for (auto const& host : hosts)
    {
        if (host != own)
            ranked.emplace_back(placement::rendezvous_score(
                                    stream, placement::name_hash_of(host), 1.0),
                                host);
    }
    auto const kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), std::greater<>{});
    std::vector<std::string> result;
    for (std::size_t index = 0; index < kept; ++index)
        result.push_back(std::move(ranked[index].second));
    return result;
}

} // namespace jujubestand::gateway
