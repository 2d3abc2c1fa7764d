#include <jujubestand/dispatch/former_upstreams.hpp>

#include <algorithm>

namespace jujubestand::dispatch
{

void record_former(state& dispatcher, upstream const& removed)
{
    /// Far more than the upstreams that a store lists at a time.
    constexpr std::size_t former_limit = 4'096;
    auto& former = dispatcher.former;
    former[removed.record.id] = {removed.key, removed.record.born_ms,
                                 removed.limit, removed.permits, removed.sends};
    if (former.size() <= former_limit)
        return;
    former.erase(std::min_element(former.begin(), former.end(),
                                  [](auto const& left, auto const& right)
                                  {
                                      return left.second.key < right.second.key;
                                  }));
}

// Calls in flight, and what is known of the upstream elsewhere, go by its key.
upstream_key key_of_new(state& dispatcher, std::string const& id)
{
    auto const former = dispatcher.former.find(id);
    return former == dispatcher.former.end() ? ++dispatcher.last_key
                                             : former->second.key;
}

void restore_former(state& dispatcher, upstream& returned,
                    traffic::upstream_record const& record)
{
    auto const found = dispatcher.former.find(record.id);
    if (found == dispatcher.former.end())
        return;
    auto const former = found->second;
    dispatcher.former.erase(found);
    returned.open_calls = static_cast<std::uint32_t>(
        std::count_if(dispatcher.sends.begin(), dispatcher.sends.end(),
                      [&](auto const& row)
                      {
                          return row.second.upstream == returned.key;
                      }));
    if (former.born_ms != record.born_ms)
        return;
    returned.limit = former.limit;
    returned.permits = former.permits;
    returned.sends = former.sends;
}

} // namespace jujubestand::dispatch
