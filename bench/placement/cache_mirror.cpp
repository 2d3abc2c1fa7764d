#include <bench/placement/cache_mirror.hpp>

#include <array>
#include <charconv>
#include <jujubestand/sidecar/engine_report.hpp>
#include <jujubestand/sidecar/upstream_request.hpp>
#include <standins/engine/completion_body.hpp>
#include <standins/engine/engine_model.hpp>

namespace jujubestand::bench
{

namespace
{

constexpr std::size_t key_digits = 16;
constexpr int base_16 = 16;

http::client_options endless()
{
    http::client_options options;
    options.body_limit_bytes = SIZE_MAX / 4;
    options.read_timeout = std::chrono::hours(1);
    return options;
}

std::string to_hex(std::uint64_t key)
{
    std::array<char, key_digits> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                   key, base_16)
                         .ptr;
    std::string const text(digits.data(), end);
    return std::string(key_digits - text.size(), '0') + text;
}

} // namespace

cache_mirror::cache_mirror(event_base* base,
                           std::vector<address> const& engines)
    : client(base, endless())
{
    this->client.data.connect(sigc::mem_fun(*this, &cache_mirror::on_data));
    for (auto const& each : engines)
        this->feeds.push_back(feed{each, {}, {}, {}});
    for (auto& each : this->feeds)
        this->follow(each);
}

void cache_mirror::follow(feed& target)
{
    target.text.clear();
    target.held.clear();
    http::request asked;
    asked.method = "GET";
    asked.path = "/kv_events";
    asked.query = "from=0&exact=1";
    target.exchange = this->client.start(target.where, asked);
}

void cache_mirror::restart(std::size_t engine)
{
    this->client.cancel(this->feeds[engine].exchange);
    this->follow(this->feeds[engine]);
}

void cache_mirror::on_data(http::exchange_id exchange, std::string const& bytes)
{
    for (auto& each : this->feeds)
    {
        if (each.exchange != exchange)
            continue;
        each.text += bytes;
        std::size_t begin = 0;
        for (auto end = each.text.find('\n'); end != std::string::npos;
             end = each.text.find('\n', begin))
        {
            take_line(each,
                      std::string_view(each.text).substr(begin, end - begin));
            begin = end + 1;
        }
        each.text.erase(0, begin);
    }
}

void cache_mirror::take_line(feed& target, std::string_view line)
{
    reason why;
    auto const event = sidecar::read_cache_event(line, why);
    if (!event)
        return;
    if (auto const* stored = std::get_if<prefix::blocks_stored>(&*event))
        target.held.insert(stored->blocks.begin(), stored->blocks.end());
    if (auto const* removed = std::get_if<prefix::blocks_removed>(&*event))
    {
        for (auto const block : removed->blocks)
            target.held.erase(block);
    }
    if (std::holds_alternative<prefix::cache_cleared>(*event))
        target.held.clear();
}

std::size_t
cache_mirror::held_tokens(std::size_t engine,
                          std::vector<prefix::block_id> const& blocks) const
{
    auto const& held = this->feeds[engine].held;
    std::size_t count = 0;
    while (count < blocks.size() && held.contains(blocks[count]))
        ++count;
    return count * standins::block_tokens;
}

std::size_t cache_mirror::most_held_tokens(
    std::vector<prefix::block_id> const& blocks) const
{
    std::size_t most = 0;
    for (std::size_t engine = 0; engine < this->feeds.size(); ++engine)
        most = std::max(most, this->held_tokens(engine, blocks));
    return most;
}

std::vector<prefix::block_id> prompt_blocks(std::string const& team,
                                            std::string const& body)
{
    link::call message;
    message.team = team_id(team);
    message.is_completion = true;
    std::string const salted =
        sidecar::upstream_request(message, body, "v1").body;
    std::string error;
    auto const read = standins::read_completion(salted, true, error);
    standins::engine_model scratch;
    auto const id = standins::submit(
        scratch, {"", read->prompt, read->cache_salt, read->max_tokens, 1});
    std::vector<prefix::block_id> blocks;
    for (auto const key : scratch.sequences.find(id)->keys)
        blocks.push_back(prefix::to_block_id(to_hex(key)));
    return blocks;
}

} // namespace jujubestand::bench
