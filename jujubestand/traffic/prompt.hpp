#ifndef JUJUBESTAND_TRAFFIC_PROMPT_HPP
#define JUJUBESTAND_TRAFFIC_PROMPT_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace jujubestand::traffic
{

/// \brief One part of a prompt; equal ids mean equal content.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// \brief Prompt and output limits of a call to a model.
struct prompt
{
    std::string model;
    /// In order; the last one is the call's or its session's own.
    std::vector<prompt_part> parts;
    std::uint32_t input_tokens = 0;
    std::uint32_t output_tokens_limit = 0;
    /// The caller's own estimate, or half of the limit.
    std::uint32_t output_tokens_expected = 0;
};

} // namespace jujubestand::traffic

#endif
