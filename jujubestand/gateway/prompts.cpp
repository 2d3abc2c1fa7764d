#include <jujubestand/gateway/prompts.hpp>

#include <algorithm>
#include <limits>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds report_interval{1'000};

/// Size of a prompt that states none, from that of its text.
constexpr std::size_t bytes_per_token = 4;

/// Output of a call that states no limit of it.
constexpr std::uint32_t usual_output_tokens = 256;

// Models that differ in their weights must not be taken for one another, so
// that a model that is named but can't be read is not known.
std::string model_of(active_call const& call, traffic::pool const* pool)
{
    auto const& stated = call.caller_request.stated;
    if (stated.names_model)
        return stated.model;
    bool const has_one_model =
        pool != nullptr && pool->engine && pool->engine->models.size() == 1;
    return has_one_model ? pool->engine->models.front() : std::string();
}

std::uint32_t tokens_in(std::string const& text)
{
    constexpr std::size_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(text.size() / bytes_per_token, most));
}

} // namespace

traffic::pool const* pool_of(gateway_state const& state, std::string_view name)
{
    return state.tables ? traffic::find_pool(*state.tables, name) : nullptr;
}

bool is_for_engines(active_call const& call, traffic::pool const* pool)
{
    return call.route.has_prompts || (pool != nullptr && pool->engine);
}

std::optional<traffic::prompt> dispatch_prompt(active_call const& call,
                                               traffic::pool const* pool)
{
    if (!is_for_engines(call, pool))
        return std::nullopt;
    auto const& request = call.caller_request;
    if (request.asked)
        return request.asked;
    traffic::prompt result;
    result.model = model_of(call, pool);
    if (result.model.empty())
        return std::nullopt;
    result.input_tokens =
        request.stated.input_tokens.value_or(tokens_in(request.body));
    result.output_tokens_limit =
        request.stated.output_tokens_limit.value_or(usual_output_tokens);
    result.output_tokens_expected = result.output_tokens_limit / 2;
    return result;
}

void count_unreadable_prompt(gateway_state& state, active_call const& call)
{
    ++state.unreadable.calls;
    state.unreadable.field = call.caller_request.stated.unreadable;
    state.unreadable.team = call.team.name;
}

void report_unreadable_prompts(gateway_state& state, mono_time now)
{
    auto& unreadable = state.unreadable;
    if (unreadable.calls == 0 || now - unreadable.logged_at < report_interval)
        return;
    state.log->write(
        event_number::prompts_unreadable, {},
        {{"calls", unreadable.calls},
         {"team", unreadable.team},
         {"field", to_name(traffic::prompt_field_names, unreadable.field)}});
    unreadable = {};
    unreadable.logged_at = now;
}

} // namespace jujubestand::gateway
