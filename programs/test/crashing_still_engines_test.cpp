#include <programs/test/crashing_engines.hpp>

// A call makes one engine after the other stand still, and then ends it.
namespace jujubestand::programs::test
{

namespace
{

constexpr milliseconds still_time{1'500};

class crashing_still_engines : public crashing_engines
{
protected:
    static constexpr std::size_t ends_allowed = 3;

    /// \brief Plays one call that is sent again and again; each engine that
    /// gets it stands still, and ends later.
    void play_same_call(std::string const& target, milliseconds interval,
                        milliseconds patience)
    {
        this->rules.script.has_head = false;
        this->rules.script.delay = still_time;
        this->rules.event_interval = milliseconds{20};
        this->rules.crashing_interval = interval;
        this->rules.is_still_before_crash = true;
        this->rules.is_same_call = true;
        this->rules.target = target;
        this->rules.patience = patience;
        this->start(2, 8);
        this->play(milliseconds{12'000});
    }

    /// \brief Checks that no engine is sent the call any more once it has ended
    /// as many as the rule allows.
    void expect_call_refused()
    {
        ASSERT_GE(this->crashes.size(), ends_allowed);
        std::cout << "crashes " << this->crashes.size() << '\n';
        auto const counted = this->crashes[ends_allowed - 1].at + contact;
        EXPECT_EQ(this->sends_after(crashing_part, counted), 0U);
        EXPECT_GE(this->served_after(counted), served_min);
        EXPECT_EQ(this->sound_refused_as_crashing(), 0U);
    }
};

} // namespace

// The call was moved away from each engine before that ended, so that nothing
// spoke against it (BUDGET).
TEST_F(crashing_still_engines, a_call_that_is_moved_before_the_end_is_refused)
{
    constexpr milliseconds until_third_end{3'500};
    this->play_same_call("/chat/same", until_third_end, milliseconds{0});
    this->expect_call_refused();
}

// The callers had left before each engine ended, so that nothing spoke against
// the call (BUDGET).
TEST_F(crashing_still_engines, a_call_whose_caller_left_before_is_refused)
{
    this->play_same_call("/once/same", milliseconds{800}, milliseconds{1'000});
    this->expect_call_refused();
}

} // namespace jujubestand::programs::test
