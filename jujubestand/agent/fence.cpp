#include <jujubestand/agent/fence.hpp>

#include <utility>

namespace jujubestand::agent
{

namespace
{

constexpr char const* fence_topic = "jujubestand.fences";

// The token is derived from the offset of a record that the holder appends, so
// every later holder gets a higher one. Offsets go back when the store returns
// from an older copy, but its era then rises.
std::uint64_t fence_of(platform::append_end const& appended)
{
    constexpr unsigned offset_bits = 32;
    return (appended.era << offset_bits) + *appended.offset + 1;
}

} // namespace

void request_fence(platform::store& store, std::string const& holder,
                   std::function<void(std::optional<std::uint64_t>)> done)
{
    store.append(fence_topic, holder,
                 [done = std::move(done)](platform::append_end const& end)
                 {
                     done(end.offset ? std::optional(fence_of(end))
                                     : std::nullopt);
                 });
}

} // namespace jujubestand::agent
