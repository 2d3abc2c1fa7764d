#include <standins/engine/token_text.hpp>

#include <algorithm>
#include <xxhash.h>

namespace jujubestand::standins
{

namespace
{

constexpr std::uint64_t letters = 26;

std::uint64_t fold(std::uint64_t hash, std::string_view block)
{
    return XXH3_64bits_withSeed(block.data(), block.size(), hash);
}

} // namespace

std::vector<std::uint64_t> extend(text_chain& chain, std::string_view text)
{
    std::vector<std::uint64_t> filled;
    if (!chain.tail.empty())
    {
        std::size_t const missing = block_bytes - chain.tail.size();
        chain.tail += text.substr(0, missing);
        text.remove_prefix(std::min(missing, text.size()));
        if (chain.tail.size() < block_bytes)
            return filled;
        chain.hash = fold(chain.hash, chain.tail);
        chain.tail.clear();
        filled.push_back(chain.hash);
    }
    filled.reserve(filled.size() + text.size() / block_bytes);
    while (text.size() >= block_bytes)
    {
        chain.hash = fold(chain.hash, text.substr(0, block_bytes));
        filled.push_back(chain.hash);
        text.remove_prefix(block_bytes);
    }
    chain.tail = text;
    return filled;
}

std::string next_token(text_chain& chain, std::vector<std::uint64_t>& filled)
{
    std::uint64_t drawn = fold(chain.hash, chain.tail);
    std::string token(token_bytes, ' ');
    for (std::size_t index = 0; index + 1 < token_bytes; ++index)
    {
        token[index] = static_cast<char>('a' + drawn % letters);
        drawn /= letters;
    }
    filled = extend(chain, token);
    return token;
}

std::string answer_text(std::string_view prompt, std::size_t tokens)
{
    text_chain chain;
    extend(chain, prompt);
    std::string text;
    std::vector<std::uint64_t> filled;
    while (tokens-- > 0)
        text += next_token(chain, filled);
    return text;
}

} // namespace jujubestand::standins
