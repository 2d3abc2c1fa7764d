// Chooses an upstream for a prompt as an entry does, without any network:
// the shared part of two prompts leads them to the same upstream.

#include <array>
#include <iostream>
#include <jujubestand/placement/placement.hpp>
#include <jujubestand/prefix/chain.hpp>

namespace
{

using namespace jujubestand;

placement::placement_request request_for(std::string const& question)
{
    std::string const preamble(20'000, 'r');
    std::array const segments{prefix::segment{"system", preamble},
                              prefix::segment{"user", question}};
    placement::placement_request request;
    request.prompt =
        prefix::make_chain({"depots", "m1", "", "7"}, segments, {});
    return request;
}

placement::placement_state three_upstreams()
{
    placement::placement_state state;
    std::vector<placement::member> members(3);
    members[0].upstream = upstream_id("engine-a");
    members[1].upstream = upstream_id("engine-b");
    members[2].upstream = upstream_id("engine-c");
    placement::set_members(state, members);
    return state;
}

// What the sidecars of three idle engines would answer.
std::vector<placement::probe_outcome>
replies_of_idle_engines(placement::probe_plan const& plan, mono_time now)
{
    std::vector<placement::probe_outcome> replies;
    for (auto const& name : plan.probes)
    {
        placement::probe_outcome reply{name, now, {}};
        reply.reply.upstream = name;
        reply.reply.ready = true;
        reply.reply.role = "mixed";
        reply.reply.prefill_us_per_token = 100;
        reply.reply.engine_age_us = 60'000'000;
        replies.push_back(std::move(reply));
    }
    return replies;
}

std::string place(placement::placement_state& state,
                  std::string const& question, mono_time now)
{
    auto const request = request_for(question);
    auto const plan = placement::plan_probes(state, request, now, 7);
    auto const replies = replies_of_idle_engines(plan, now);
    auto const chosen = placement::choose(state, request, replies, now, 7);
    if (!chosen)
        return "none";
    placement::record_sent(state, request, *chosen, now);
    placement::record_usage(state, request, chosen->upstream, 5'000, now);
    return chosen->upstream.text;
}

} // namespace

int main()
{
    auto state = three_upstreams();
    mono_time const start{std::chrono::seconds(100)};
    auto const first = place(state, "Which class has this tin?", start);
    auto const second =
        place(state, "May it go by truck?", start + std::chrono::seconds(5));
    std::cout << "first: " << first << "\nsecond: " << second << '\n';
    return first == second && first != "none" ? 0 : 1;
}
