#include <programs/test/crashing_engines.hpp>

namespace jujubestand::programs::test
{

namespace
{

class crashing_parts : public crashing_engines
{
protected:
    /// \brief Whether the store holds the crashing part as a culprit; crashes
    /// stand in the same topic.
    [[nodiscard]] bool is_part_stored() const
    {
        constexpr std::string_view key = "706172740000000000000000bad0bad0";
        auto const keys = this->store.keys("keyed.quarantine");
        return std::find(keys.begin(), keys.end(), key) != keys.end();
    }
};

/// One way for a part to crash engines.
struct crash_kind
{
    char const* name;
    crash_play rules;
};

// For the names of failed tests.
std::ostream& operator<<(std::ostream& out, crash_kind const& kind)
{
    return out << kind.name;
}

class crash_kinds : public crashing_engines,
                    public testing::WithParamInterface<crash_kind>
{
};

standins::crash_script after_events(std::uint64_t events, milliseconds delay)
{
    standins::crash_script script{std::string(crashing_part)};
    script.events = events;
    script.bytes = 0;
    script.delay = delay;
    return script;
}

constexpr milliseconds short_delay{20};

// Sound streams last 160 ms, so that some are cut at each crash.
constexpr milliseconds event_interval{20};

crash_play play_of(standins::crash_script const& script)
{
    crash_play rules;
    rules.script = script;
    rules.event_interval = event_interval;
    return rules;
}

crash_play after_one_event()
{
    return play_of(after_events(1, short_delay));
}

std::vector<crash_kind> kinds()
{
    std::vector<crash_kind> result;
    auto const add = [&](char const* name, crash_play const& rules)
    {
        result.push_back({name, rules});
    };
    auto script = after_events(0, short_delay);
    script.has_head = false;
    add("without_a_head", play_of(script));
    add("after_the_head", play_of(after_events(0, short_delay)));
    add("after_one_event", after_one_event());
    add("after_five_events", play_of(after_events(5, short_delay)));
    script = after_events(1, short_delay);
    script.bytes = 4;
    add("inside_the_second_event", play_of(script));
    add("at_once", play_of(after_events(1, milliseconds{0})));
    add("after_50_ms", play_of(after_events(1, milliseconds{50})));
    add("after_500_ms", play_of(after_events(1, milliseconds{500})));
    auto rules = after_one_event();
    rules.target = "/ask/new";
    add("inside_a_body_with_a_length", rules);
    rules = after_one_event();
    rules.is_unframed = true;
    add("in_unframed_answers", rules);
    rules = after_one_event();
    rules.last_event = "3";
    add("in_resumed_streams", rules);
    rules = after_one_event();
    rules.has_second_part = true;
    add("by_two_parts", rules);
    rules = after_one_event();
    rules.lack_agents = true;
    add("where_engines_lack_agents", rules);
    rules = after_one_event();
    rules.killed_at_crash = 2;
    add("while_a_gateway_is_killed", rules);
    rules = after_one_event();
    rules.spontaneous_interval = milliseconds{1'000};
    add("beside_engines_that_crash_by_themselves", rules);
    return result;
}

std::string name_of(testing::TestParamInfo<crash_kind> const& info)
{
    return info.param.name;
}

} // namespace

// Calls with a crashing part ended one engine after the other (BUDGET), and the
// sound calls beside them (LOST).
TEST_F(crashing_parts, a_part_that_crashes_engines_is_refused_and_no_other)
{
    this->rules.script.bytes = 1;
    this->start(2, 8);
    this->play(milliseconds{8'000});
    this->expect_bounds();
}

// A part that lets engines answer for a moment before they crash ended one
// engine after the other, since each of its calls spoke for it (BUDGET).
TEST_P(crash_kinds, the_part_is_refused_and_no_other)
{
    this->rules = this->GetParam().rules;
    this->start(2, 8);
    this->play(milliseconds{7'000});
    this->expect_bounds();
}

INSTANTIATE_TEST_SUITE_P(engines_crash, crash_kinds, testing::ValuesIn(kinds()),
                         name_of);

// The store lost the culprits when it returned from an older copy; gateways
// that started after that sent the part to engine after engine again (BUDGET).
TEST_F(crashing_parts, a_crashing_part_is_stored_again_after_the_store_returns)
{
    this->start(2, 8);
    this->store.keep_copy();
    this->play(milliseconds{5'000});
    ASSERT_TRUE(this->is_part_stored());
    this->store.return_from_copy();
    ASSERT_TRUE(this->store.keys("keyed.quarantine").empty());
    this->play(milliseconds{4'000});
    EXPECT_TRUE(this->is_part_stored());
}

// Gateways that were all restarted together had forgotten the part (BUDGET).
TEST_F(crashing_parts, a_crashing_part_is_known_after_all_gateways_restart)
{
    this->start(2, 8);
    this->play(milliseconds{5'000});
    ASSERT_GE(this->crashes.size(), 3U);
    this->restart_gateways();
    this->wait_ready();
    auto const restarted_at = mono_now();
    this->play(milliseconds{2'000});
    EXPECT_LE(this->sends_after(crashing_part, restarted_at), late_calls_limit);
    EXPECT_GE(this->served_after(restarted_at), served_min);
}

} // namespace jujubestand::programs::test
