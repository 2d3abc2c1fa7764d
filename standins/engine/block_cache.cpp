#include <standins/engine/block_cache.hpp>

#include <algorithm>

namespace jujubestand::standins
{

std::size_t count_cached(block_cache const& cache,
                         std::vector<std::uint64_t> const& keys,
                         std::size_t limit)
{
    std::size_t const most = std::min(limit, keys.size());
    std::size_t count = 0;
    while (count < most && cache.blocks.contains(keys[count]))
        ++count;
    return count;
}

bool use_block(block_cache& cache, std::uint64_t key,
               std::vector<std::uint64_t>& evicted)
{
    auto const found = cache.blocks.find(key);
    if (found != cache.blocks.end())
    {
        if (found->second.users++ == 0)
            cache.idle.erase(found->second.place);
        return false;
    }
    if (cache.blocks.size() >= cache.limit && !cache.idle.empty())
    {
        evicted.push_back(cache.idle.front());
        cache.blocks.erase(cache.idle.front());
        cache.idle.pop_front();
    }
    cache.blocks.emplace(key, block_cache::block{1, cache.idle.end()});
    return true;
}

void release_block(block_cache& cache, std::uint64_t key)
{
    auto const found = cache.blocks.find(key);
    if (found == cache.blocks.end() || found->second.users == 0)
        return;
    if (--found->second.users == 0)
        found->second.place = cache.idle.insert(cache.idle.end(), key);
}

void clear(block_cache& cache)
{
    cache.blocks.clear();
    cache.idle.clear();
    ++cache.generation;
}

} // namespace jujubestand::standins
