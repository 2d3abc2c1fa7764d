#ifndef JUJUBESTAND_TRAFFIC_PROMPT_HPP
#define JUJUBESTAND_TRAFFIC_PROMPT_HPP

#include <array>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <optional>
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

/// \brief Field of a request that states something of its prompt.
enum class prompt_field : std::uint8_t
{
    none,
    model,
    token_counts,
    parts,
};

/// \brief Names of the fields.
inline constexpr std::array<enum_name<prompt_field>, 4> prompt_field_names{{
    {prompt_field::none, "none"},
    {prompt_field::model, "model"},
    {prompt_field::token_counts, "token_counts"},
    {prompt_field::parts, "parts"},
}};

/// \brief What a request states of its prompt, as far as it can be read. Each
/// field may be missing, malformed or there twice.
struct stated_prompt
{
    /// Some field is there.
    bool has_fields = false;
    /// The first field that can't be read; `none` if all are readable.
    prompt_field unreadable = prompt_field::model;
    /// Some model is named, though it may not be readable.
    bool names_model = false;
    /// Empty if it is not readable.
    std::string model;
    std::optional<std::uint32_t> input_tokens;
    std::optional<std::uint32_t> output_tokens_limit;
    /// The parts as they were stated, of a prompt that can't be read.
    std::string unread_parts;
};

} // namespace jujubestand::traffic

#endif
