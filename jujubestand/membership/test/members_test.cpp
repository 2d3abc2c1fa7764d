#include <gtest/gtest.h>
#include <jujubestand/membership/members.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::membership
{

namespace
{

instance_id const one("s1");

mono_time at_ms(std::int64_t ms)
{
    return mono_time(std::chrono::milliseconds(ms));
}

platform::instance_list list_of(platform::listed_state state)
{
    platform::listed_instance row;
    row.instance = one;
    row.upstream = upstream_id("engine-1");
    row.state = state;
    return {1, {row}};
}

members listed_members()
{
    members state;
    on_list(state, list_of(platform::listed_state::live), at_ms(0));
    return state;
}

member_state state_in(members const& state)
{
    auto const found = state.known.find(one);
    return found == state.known.end() ? member_state::gone
                                      : found->second.state;
}

enum class seen_kind : std::uint8_t
{
    answer,
    old_answer,
    leaving_answer,
    failure,
    new_life,
    listed_live,
    listed_leaving,
    unlisted,
};

constexpr std::uint32_t seen_kinds = 8;

// Reference model: derives the state from the whole history, without counters.
member_state naive_state(std::vector<seen_kind> const& history)
{
    std::size_t life = 0;
    seen_kind listed = seen_kind::listed_live;
    for (std::size_t at = 0; at < history.size(); ++at)
    {
        if (history[at] == seen_kind::new_life)
            life = at;
        if (history[at] >= seen_kind::listed_live)
            listed = history[at];
    }
    bool is_leaving = listed != seen_kind::listed_live;
    std::string run;
    for (std::size_t at = life; at < history.size(); ++at)
    {
        is_leaving = is_leaving || history[at] == seen_kind::leaving_answer;
        if (history[at] == seen_kind::failure)
            run += 'f';
        else if (history[at] == seen_kind::answer ||
                 history[at] == seen_kind::leaving_answer ||
                 history[at] == seen_kind::new_life)
            run += 'a';
    }
    if (is_leaving)
        return member_state::leaving;
    auto const failed = run.rfind("ff");
    bool const is_suspect = failed != std::string::npos &&
                            run.find("aa", failed) == std::string::npos;
    return is_suspect ? member_state::suspect : member_state::live;
}

void apply(members& state, seen_kind kind, std::uint64_t& life, mono_time now)
{
    switch (kind)
    {
    case seen_kind::answer:
        on_answer(state, one, {incarnation_id(life), false}, now);
        return;
    case seen_kind::old_answer:
        on_answer(state, one, {incarnation_id(life - 1), true}, now);
        return;
    case seen_kind::leaving_answer:
        on_answer(state, one, {incarnation_id(life), true}, now);
        return;
    case seen_kind::failure:
        on_failure(state, one, now);
        return;
    case seen_kind::new_life:
        on_answer(state, one, {incarnation_id(++life), false}, now);
        return;
    case seen_kind::listed_live:
        on_list(state, list_of(platform::listed_state::live), now);
        return;
    case seen_kind::listed_leaving:
        on_list(state, list_of(platform::listed_state::leaving), now);
        return;
    case seen_kind::unlisted:
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
    auto state = listed_members();
    std::uint64_t life = 7;
    std::vector<seen_kind> history{seen_kind::new_life};
    on_answer(state, one, {incarnation_id(life), false}, at_ms(0));
    for (auto const number : numbers)
    {
        // Two thirds are answers and failures, the rest any kind.
        auto const kind = number % 3 == 0
                              ? static_cast<seen_kind>(number / 3 % seen_kinds)
                          : number % 2 == 0 ? seen_kind::answer
                                            : seen_kind::failure;
        apply(state, kind, life, at_ms(1));
        history.push_back(kind);
        RC_ASSERT(state_in(state) == naive_state(history));
    }
}

TEST(members, one_lost_probe_changes_nothing)
{
    auto state = listed_members();
    for (int count = 0; count < 20; ++count)
    {
        EXPECT_TRUE(on_failure(state, one, at_ms(count)).empty());
        on_answer(state, one, {incarnation_id(1), false}, at_ms(count));
        EXPECT_EQ(state_in(state), member_state::live);
    }
}

TEST(members, a_leaving_life_stays_leaving_whatever_the_list_says)
{
    auto state = listed_members();
    on_answer(state, one, {incarnation_id(1), true}, at_ms(0));
    on_answer(state, one, {incarnation_id(1), false}, at_ms(1));
    on_list(state, list_of(platform::listed_state::live), at_ms(2));
    EXPECT_EQ(state_in(state), member_state::leaving);
    auto const changes =
        on_answer(state, one, {incarnation_id(2), false}, at_ms(3));
    EXPECT_EQ(state_in(state), member_state::live);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].is_restarted);
}

TEST(members, a_silent_one_that_returns_in_the_same_life_is_told_apart)
{
    auto state = listed_members();
    on_answer(state, one, {incarnation_id(1), false}, at_ms(0));
    EXPECT_TRUE(on_answer(state, one, {incarnation_id(1), false}, at_ms(4'000))
                    .empty());
    auto const changes =
        on_answer(state, one, {incarnation_id(1), false}, at_ms(60'000));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].may_have_paused);
    EXPECT_FALSE(changes[0].is_restarted);
}

TEST(members, an_unlisted_one_takes_no_work_and_is_forgotten_when_silent)
{
    auto state = listed_members();
    on_list(state, {}, at_ms(1));
    EXPECT_EQ(state_in(state), member_state::leaving);
    EXPECT_TRUE(on_tick(state, at_ms(9'999)).empty());
    auto const changes = on_tick(state, at_ms(10'000));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(to_note(changes[0]).number, event_number::member_gone);
    EXPECT_EQ(find_upstream(state, upstream_id("engine-1")), nullptr);
}

TEST(members, of_two_instances_the_one_that_takes_work_serves)
{
    auto list = list_of(platform::listed_state::leaving);
    auto other = list.instances[0];
    other.instance = instance_id("s2");
    other.state = platform::listed_state::live;
    list.instances.push_back(other);
    members state;
    on_list(state, list, at_ms(0));
    auto const* found = find_upstream(state, upstream_id("engine-1"));
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->row.instance, other.instance);
}

} // namespace jujubestand::membership
