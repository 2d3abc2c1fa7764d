#include <csignal>
#include <fstream>
#include <programs/test/gateways_fixture.hpp>

// SIGHUP and changed settings files, over whole processes: nothing is
// interrupted, and nothing starts again.
namespace jujubestand::programs::test
{

namespace
{

constexpr auto whole = standins::stream_engine::stream_events;

class hangups : public gateways_test
{
protected:
    /// \brief Starts a gateway before an engine with an agent process and
    /// another one.
    void start()
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        this->add_engine("v1", near, "spare");
        this->start_agent(0);
        this->wait_ready();
        this->wait_logged(0, "member_live", 0);
    }

    /// \brief Begins a stream and stops it in its middle.
    answer_ptr begin_stream(std::string const& id)
    {
        this->engines[0].engine->pause_after(3);
        auto answer = this->ask_until_accepted(0, {id, "", ""});
        EXPECT_TRUE(this->run_to_events(answer, 3));
        return answer;
    }

    /// \brief Changes the settings files of both processes and sends both
    /// SIGHUP, twice.
    void hang_up(std::string const& added)
    {
        for (auto const* const name : {"front-0", "side-engine-0"})
            std::ofstream((this->folder / name).string() + ".toml",
                          std::ios::app)
                << added;
        for (int time = 0; time < 2; ++time)
        {
            this->gateways[0].process->signal(SIGHUP);
            this->engines[0].agent_process->signal(SIGHUP);
        }
        this->wait_logged(0, "settings_reloaded", std::string());
    }

    void expect_unchanged(pid_t gateway, pid_t agent)
    {
        EXPECT_TRUE(this->gateways[0].process->is_running());
        EXPECT_TRUE(this->engines[0].agent_process->is_running());
        EXPECT_EQ(this->gateways[0].process->pid(), gateway);
        EXPECT_EQ(this->engines[0].agent_process->pid(), agent);
        this->pause_no_more();
        auto const next = this->ask_until_accepted(0, {"next", "", ""});
        ASSERT_TRUE(this->run_to_end(next));
        EXPECT_EQ(next->events(), events_of("v1", 1, whole));
        EXPECT_EQ(this->engines[0].engine->open_streams(), 1U);
    }
};

} // namespace

// Guards streams under way, and the processes themselves, against a reload.
TEST_F(hangups, changed_settings_interrupt_nothing)
{
    this->start();
    auto const gateway = this->gateways[0].process->pid();
    auto const agent = this->engines[0].agent_process->pid();
    auto const answer = this->begin_stream("changed");
    this->hang_up("[limits]\nmemory-mb = 64\n");
    this->expect_unchanged(gateway, agent);
    EXPECT_FALSE(answer->end);
}

// The same for a file that no process would start with.
TEST_F(hangups, invalid_settings_interrupt_nothing)
{
    this->start();
    auto const gateway = this->gateways[0].process->pid();
    auto const agent = this->engines[0].agent_process->pid();
    auto const answer = this->begin_stream("invalid");
    this->hang_up("[[[ no settings\n");
    this->expect_unchanged(gateway, agent);
    EXPECT_FALSE(answer->end);
}

} // namespace jujubestand::programs::test
