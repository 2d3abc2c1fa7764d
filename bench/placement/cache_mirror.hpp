#ifndef JUJUBESTAND_BENCH_PLACEMENT_CACHE_MIRROR_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_CACHE_MIRROR_HPP

#include <cstddef>
#include <jujubestand/core/address.hpp>
#include <jujubestand/http/client.hpp>
#include <jujubestand/prefix/belief.hpp>
#include <string>
#include <unordered_set>
#include <vector>

struct event_base;

namespace jujubestand::bench
{

/// \brief Exactly what each engine's cache holds, told by the stand-ins at
/// once and without a loss; for the oracle and for counting waste.
class cache_mirror
{
public:
    cache_mirror(event_base* base, std::vector<address> const& engines);

    /// \brief Tokens at the prompt's beginning that an engine holds.
    [[nodiscard]] std::size_t
    held_tokens(std::size_t engine,
                std::vector<prefix::block_id> const& blocks) const;

    /// \brief The most that any engine holds.
    [[nodiscard]] std::size_t
    most_held_tokens(std::vector<prefix::block_id> const& blocks) const;

    /// \brief The engine was replaced by an empty one at the same address.
    void restart(std::size_t engine);

private:
    struct feed
    {
        address where;
        http::exchange_id exchange;
        std::string text;
        std::unordered_set<prefix::block_id> held;
    };

    void follow(feed& target);
    void on_data(http::exchange_id exchange, std::string const& bytes);
    static void take_line(feed& target, std::string_view line);

    http::client client;
    std::vector<feed> feeds;
};

/// \brief Blocks of a prompt as the stand-in engine names them.
[[nodiscard]] std::vector<prefix::block_id>
prompt_blocks(std::string const& team, std::string const& body);

} // namespace jujubestand::bench

#endif
