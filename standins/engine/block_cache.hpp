#ifndef JUJUBESTAND_STANDINS_ENGINE_BLOCK_CACHE_HPP
#define JUJUBESTAND_STANDINS_ENGINE_BLOCK_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace jujubestand::standins
{

/// \brief A prefix cache of blocks: those in use are pinned, the others go
/// when room is needed, the least recently used first.
struct block_cache
{
    struct block
    {
        std::uint32_t users = 0;
        std::list<std::uint64_t>::iterator place;
    };

    std::size_t limit = 0;
    std::unordered_map<std::uint64_t, block> blocks;
    /// Blocks without a user, the oldest first.
    std::list<std::uint64_t> idle;
    /// Goes up when the cache is emptied; users of older blocks hold none.
    std::uint64_t generation = 1;
};

/// \brief How many of `keys`, from the first on, are there.
[[nodiscard]] std::size_t count_cached(block_cache const& cache,
                                       std::vector<std::uint64_t> const& keys,
                                       std::size_t limit);

/// \brief Adds a user to a block, making the block if it is not there.
/// \param evicted gets the block that had to go, if one had
/// \returns whether the block is new
bool use_block(block_cache& cache, std::uint64_t key,
               std::vector<std::uint64_t>& evicted);

/// \brief Takes a user from a block; the last one's leaving makes it idle.
void release_block(block_cache& cache, std::uint64_t key);

/// \brief Empties the cache.
void clear(block_cache& cache);

} // namespace jujubestand::standins

#endif
