#include <gtest/gtest.h>
#include <jujubestand/retries/circuit.hpp>

namespace jujubestand::retries
{

namespace
{

using namespace std::chrono_literals;

mono_time const start{1s};
circuit_options const options;

circuit opened()
{
    circuit state;
    for (std::uint32_t count = 0; count < options.failures_to_open; ++count)
        record_failure(state, options, start, 0);
    return state;
}

} // namespace

TEST(circuit, opens_after_failures_in_a_row)
{
    circuit state;
    EXPECT_FALSE(record_failure(state, options, start, 0));
    EXPECT_FALSE(record_failure(state, options, start, 0));
    record_success(state);
    EXPECT_FALSE(record_failure(state, options, start, 0));
    EXPECT_FALSE(record_failure(state, options, start, 0));
    EXPECT_TRUE(record_failure(state, options, start, 0));
    EXPECT_TRUE(is_open(state, start));
    EXPECT_FALSE(try_admit(state, options, start));
}

TEST(circuit, admits_one_trial_request_after_the_pause)
{
    circuit state = opened();
    mono_time const later = start + options.open_base;
    EXPECT_TRUE(try_admit(state, options, later));
    EXPECT_FALSE(try_admit(state, options, later));
    EXPECT_TRUE(record_success(state));
    EXPECT_TRUE(try_admit(state, options, later));
}

TEST(circuit, failed_trial_request_doubles_the_pause)
{
    circuit state = opened();
    mono_time const later = start + options.open_base;
    ASSERT_TRUE(try_admit(state, options, later));
    EXPECT_TRUE(record_failure(state, options, later, 0));
    EXPECT_EQ(state.until, later + options.open_base);
    EXPECT_EQ(state.mode, circuit_mode::open);
}

TEST(circuit, lost_trial_request_does_not_block_forever)
{
    circuit state = opened();
    mono_time const later = start + options.open_base;
    ASSERT_TRUE(try_admit(state, options, later));
    EXPECT_TRUE(try_admit(state, options, later + options.trial_limit));
}

TEST(circuit, mode_names_round_trip)
{
    for (auto const& row : circuit_mode_names)
        EXPECT_EQ(from_name(circuit_mode_names, row.name), row.value);
}

} // namespace jujubestand::retries
