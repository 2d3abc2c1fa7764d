#include <gtest/gtest.h>
#include <jujubestand/gateway/software_history.hpp>

// Software versions that have left, as gateways that have just started learn of
// them.
namespace jujubestand::gateway
{

namespace
{

constexpr std::int64_t wall_ms = 1'000'000;

wall_time wall()
{
    return wall_time{std::chrono::milliseconds{wall_ms}};
}

mono_time now()
{
    return mono_time{std::chrono::milliseconds{500'000}};
}

stream_origins started()
{
    stream_origins origins;
    origins.lacks_history = true;
    return origins;
}

resume_step step_of(stream_origins& origins)
{
    resumed_stream const stream{
        {"engines"}, "first", now(), true, look_up_state::read};
    return decide_resume(origins, stream, now(), now()).step;
}

} // namespace

// A gateway that had just started took the only version that it saw for that of
// all streams (ORDER).
TEST(software_history, nothing_is_inferred_before_the_history_is_known)
{
    auto origins = started();
    record_software(origins, "engines", "new", now());
    EXPECT_EQ(step_of(origins), resume_step::refuse);
    origins.lacks_history = false;
    EXPECT_EQ(step_of(origins), resume_step::proceed);
}

TEST(software_history, a_version_that_left_lately_counts_as_in_use)
{
    for (std::int64_t const left_for : {0, 1'000, 59'000})
    {
        auto origins = started();
        origins.lacks_history = false;
        record_software(origins, "engines", "new", now());
        apply_stored(origins, {"engines", "old", wall_ms - left_for}, wall(),
                     now());
        EXPECT_EQ(step_of(origins), resume_step::refuse) << left_for;
    }
}

TEST(software_history, a_version_that_left_long_ago_does_not_count)
{
    auto origins = started();
    origins.lacks_history = false;
    record_software(origins, "engines", "new", now());
    apply_stored(origins, {"engines", "old", wall_ms - 61'000}, wall(), now());
    EXPECT_EQ(step_of(origins), resume_step::proceed);
}

// All gateways were killed before one of them could write that a version left.
TEST(software_history, a_version_stored_as_in_use_may_have_just_left)
{
    auto origins = started();
    origins.lacks_history = false;
    record_software(origins, "engines", "new", now());
    apply_stored(origins, {"engines", "old", 0}, wall(), now());
    EXPECT_EQ(step_of(origins), resume_step::refuse);
}

TEST(software_history, only_changes_are_written)
{
    software_history state;
    auto const first = unstored(state, {{"engines", "old"}}, wall());
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0], (software_record{"engines", "old", 0}));
    state.stored[key_of(first[0])] = first[0];
    EXPECT_TRUE(unstored(state, {{"engines", "old"}}, wall()).empty());
    auto const second = unstored(state, {{"engines", "new"}}, wall());
    ASSERT_EQ(second.size(), 2U);
    EXPECT_EQ(second[0], (software_record{"engines", "new", 0}));
    EXPECT_EQ(second[1], (software_record{"engines", "old", wall_ms}));
    state.stored[key_of(second[1])] = second[1];
    EXPECT_EQ(unstored(state, {{"engines", "old"}}, wall()).size(), 1U);
}

} // namespace jujubestand::gateway
