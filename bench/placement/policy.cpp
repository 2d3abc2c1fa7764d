#include <bench/placement/policy.hpp>

#include <jujubestand/placement/rendezvous.hpp>
#include <limits>
#include <standins/engine/token_text.hpp>

namespace jujubestand::bench
{

namespace
{

/// The engine of the least cost among those that are up.
template <class Cost>
std::size_t least(policy_view const& view, Cost cost)
{
    std::size_t best = 0;
    double least_cost = std::numeric_limits<double>::max();
    for (std::size_t engine = 0; engine < view.loads->size(); ++engine)
    {
        if ((*view.loads)[engine].is_down)
            continue;
        double const here = cost(engine);
        if (here < least_cost)
        {
            least_cost = here;
            best = engine;
        }
    }
    return best;
}

std::size_t next_turn(policy_state& state, policy_view const& view)
{
    for (;;)
    {
        std::size_t const engine = state.turn++ % view.loads->size();
        if (!(*view.loads)[engine].is_down)
            return engine;
    }
}

/// Time to the first token with everything known: work before it, its own
/// missing tokens, and a slot's becoming free.
double exact_cost(policy_view const& view, std::size_t engine,
                  std::vector<prefix::block_id> const& blocks)
{
    engine_size const& size = view.size->engine;
    auto const slots = static_cast<double>(size.slots);
    auto const chunk = static_cast<double>(size.prefill_tokens_per_step);
    double const decode_step = size.step_us + slots * size.decode_us;
    double const per_token = size.prefill_us_per_token + decode_step / chunk;
    engine_load const& load = (*view.loads)[engine];
    std::size_t const prompt = blocks.size() * standins::block_tokens;
    std::size_t const missed =
        prompt - view.caches->held_tokens(engine, blocks);
    double cost = per_token * static_cast<double>(load.pending_tokens + missed);
    if (load.requests >= size.slots)
        cost += static_cast<double>(load.requests - size.slots + 1) *
                static_cast<double>(view.size->prompts.max_tokens) *
                decode_step / slots;
    return cost;
}

} // namespace

std::optional<std::size_t>
choose_engine(policy_state& state, policy_view const& view,
              std::string const& body,
              std::vector<prefix::block_id> const& blocks)
{
    auto const requests = [&view](std::size_t engine)
    {
        return static_cast<double>((*view.loads)[engine].requests);
    };
    switch (state.kind)
    {
    case policy::ours:
        return std::nullopt;
    case policy::random:
        state.turn = state.random();
        return next_turn(state, view);
    case policy::round_robin:
        return next_turn(state, view);
    case policy::least_loaded:
        return least(view, requests);
    case policy::prompt_hash:
        return least(view,
                     [&body](std::size_t engine)
                     {
                         return -placement::rendezvous_score(
                             placement::name_hash_of(body),
                             placement::name_hash_of(std::to_string(engine)),
                             1.0);
                     });
    case policy::oracle:
        return least(view,
                     [&](std::size_t engine)
                     {
                         return exact_cost(view, engine, blocks);
                     });
    }
    return std::nullopt;
}

} // namespace jujubestand::bench
