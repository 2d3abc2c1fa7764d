#include <gtest/gtest.h>
#include <jujubestand/membership/members.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::membership
{

namespace
{

instance_id const member_id("s1");

mono_time at_ms(std::int64_t ms)
{
    return mono_time(std::chrono::milliseconds(ms));
}

platform::instance_list list_of(platform::listed_state state)
{
    platform::listed_instance row;
    row.instance = member_id;
    row.upstream = upstream_id("engine-1");
    row.state = state;
    return {1, {row}};
}

member_table table_with_one_member()
{
    member_table state;
    on_list(state, list_of(platform::listed_state::live), at_ms(0));
    return state;
}

member_state current_state(member_table const& state)
{
    auto const found = state.by_id.find(member_id);
    return found == state.by_id.end() ? member_state::gone
                                      : found->second.state;
}

enum class observation : std::uint8_t
{
    answer,
    stale_answer,
    leaving_answer,
    failure,
    restart,
    listed_live,
    listed_leaving,
    unlisted,
};

constexpr std::uint32_t observation_count = 8;

// Reference model: derives the state from the whole history, without counters.
member_state reference_state(std::vector<observation> const& history)
{
    std::size_t incarnation_start = 0;
    observation list_state = observation::listed_live;
    for (std::size_t index = 0; index < history.size(); ++index)
    {
        if (history[index] == observation::restart)
            incarnation_start = index;
        if (history[index] >= observation::listed_live)
            list_state = history[index];
    }
    bool is_leaving = list_state != observation::listed_live;
    std::string outcomes;
    for (std::size_t index = incarnation_start; index < history.size(); ++index)
    {
        is_leaving =
            is_leaving || history[index] == observation::leaving_answer;
        if (history[index] == observation::failure)
            outcomes += 'f';
        else if (history[index] == observation::answer ||
                 history[index] == observation::leaving_answer ||
                 history[index] == observation::restart)
            outcomes += 'a';
    }
    if (is_leaving)
        return member_state::leaving;
    auto const last_failures = outcomes.rfind("ff");
    bool const is_suspect =
        last_failures != std::string::npos &&
        outcomes.find("aa", last_failures) == std::string::npos;
    return is_suspect ? member_state::suspect : member_state::live;
}

void apply(member_table& state, observation kind, std::uint64_t& incarnation,
           mono_time now)
{
    switch (kind)
    {
    case observation::answer:
        on_answer(state, member_id, {incarnation_id(incarnation), false}, now);
        return;
    case observation::stale_answer:
        on_answer(state, member_id, {incarnation_id(incarnation - 1), true},
                  now);
        return;
    case observation::leaving_answer:
        on_answer(state, member_id, {incarnation_id(incarnation), true}, now);
        return;
    case observation::failure:
        on_failure(state, member_id, now);
        return;
    case observation::restart:
        on_answer(state, member_id, {incarnation_id(++incarnation), false},
                  now);
        return;
    case observation::listed_live:
        on_list(state, list_of(platform::listed_state::live), now);
        return;
    case observation::listed_leaving:
        on_list(state, list_of(platform::listed_state::leaving), now);
        return;
    case observation::unlisted:
        on_list(state, {}, now);
        return;
    }
}

} // namespace

RC_GTEST_PROP(members, state_follows_from_the_whole_history, ())
{
    auto const numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        60, rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<std::uint32_t>(0, 1'000)));
    auto state = table_with_one_member();
    std::uint64_t incarnation = 7;
    std::vector<observation> history{observation::restart};
    on_answer(state, member_id, {incarnation_id(incarnation), false}, at_ms(0));
    for (auto const number : numbers)
    {
        // Two thirds are answers and failures, the rest any kind.
        auto const kind =
            number % 3 == 0
                ? static_cast<observation>(number / 3 % observation_count)
            : number % 2 == 0 ? observation::answer
                              : observation::failure;
        apply(state, kind, incarnation, at_ms(1));
        history.push_back(kind);
        RC_ASSERT(current_state(state) == reference_state(history));
    }
}

TEST(members, one_failed_probe_keeps_a_member_live)
{
    auto state = table_with_one_member();
    for (int count = 0; count < 20; ++count)
    {
        EXPECT_TRUE(on_failure(state, member_id, at_ms(count)).empty());
        on_answer(state, member_id, {incarnation_id(1), false}, at_ms(count));
        EXPECT_EQ(current_state(state), member_state::live);
    }
}

TEST(members, a_leaving_incarnation_stays_leaving_if_the_list_says_live)
{
    auto state = table_with_one_member();
    on_answer(state, member_id, {incarnation_id(1), true}, at_ms(0));
    on_answer(state, member_id, {incarnation_id(1), false}, at_ms(1));
    on_list(state, list_of(platform::listed_state::live), at_ms(2));
    EXPECT_EQ(current_state(state), member_state::leaving);
    auto const changes =
        on_answer(state, member_id, {incarnation_id(2), false}, at_ms(3));
    EXPECT_EQ(current_state(state), member_state::live);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].is_restarted);
}

TEST(members, a_member_that_answers_after_a_long_silence_may_have_paused)
{
    auto state = table_with_one_member();
    on_answer(state, member_id, {incarnation_id(1), false}, at_ms(0));
    EXPECT_TRUE(
        on_answer(state, member_id, {incarnation_id(1), false}, at_ms(4'000))
            .empty());
    auto const changes =
        on_answer(state, member_id, {incarnation_id(1), false}, at_ms(60'000));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].may_have_paused);
    EXPECT_FALSE(changes[0].is_restarted);
}

TEST(members, an_unlisted_member_gets_no_work_and_is_removed_when_silent)
{
    auto state = table_with_one_member();
    on_list(state, {}, at_ms(1));
    EXPECT_EQ(current_state(state), member_state::leaving);
    EXPECT_TRUE(on_tick(state, at_ms(9'999)).empty());
    auto const changes = on_tick(state, at_ms(10'000));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(to_note(changes[0]).number, event_number::member_gone);
    EXPECT_EQ(find_upstream(state, upstream_id("engine-1")), nullptr);
}

TEST(members, the_live_one_of_two_instances_serves_the_upstream)
{
    auto list = list_of(platform::listed_state::leaving);
    auto other = list.instances[0];
    other.instance = instance_id("s2");
    other.state = platform::listed_state::live;
    list.instances.push_back(other);
    member_table state;
    on_list(state, list, at_ms(0));
    auto const* found = find_upstream(state, upstream_id("engine-1"));
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->list_entry.instance, other.instance);
}

} // namespace jujubestand::membership
