#include <algorithm>
#include <cstdint>
#include <fstream>
#include <programs/test/played_calls.hpp>
#include <standins/service/early_service.hpp>

// Gateways whose wall clock differs from that of the others, or is set while
// they run, over whole processes.
namespace jujubestand::programs::test
{

namespace
{

class clock_steps : public played_calls
{
protected:
    clock_steps()
    {
        this->step_file = (this->folder / "step").string();
        this->step_clock(milliseconds{0});
        this->command_prefixes["front-0"] = {
            "/usr/bin/env", "LD_PRELOAD=" JUJUBESTAND_CLOCK_STEP,
            "CLOCK_STEP_FILE=" + this->step_file,
            // The sanitizer's library need not be the first one.
            "ASAN_OPTIONS=verify_asan_link_order=0"};
    }

    /// \brief Sets the clock of the first gateway to this much ahead.
    void step_clock(milliseconds ahead) const
    {
        std::int64_t const ms = ahead.count();
        std::fstream file(this->step_file,
                          std::ios::in | std::ios::out | std::ios::binary);
        if (!file)
            file.open(this->step_file, std::ios::out | std::ios::binary);
        file.write(reinterpret_cast<char const*>(&ms), sizeof ms);
    }

    static std::uint64_t wall_ms()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count());
    }

    void write_service(std::uint64_t born_ms)
    {
        nlohmann::json const record{
            {"service", "books"},
            {"address", to_text(this->service->bound())},
            {"zone", near},
            {"version", "v1"},
            {"slots", 6},
            {"state", "ready"},
            {"sequence", ++this->written},
            {"born", born_ms}};
        this->store.put("keyed.servers", "pausing", record.dump());
    }

    /// \brief Starts a gateway before a service that asks for a pause, and
    /// sends it a call.
    void pause_service()
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        this->service = std::make_unique<standins::early_service>(
            this->base.get(), address{host(service_number), 0},
            "HTTP/1.1 503 Pause\r\nX-Not-Executed: 1\r\nX-Request-Id: %ID%\r\n"
            "X-Response-Stamp: books\r\nRetry-After: 4\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
        this->write_service(wall_ms() - 60'000);
        this->wait_ready();
        this->wait_logged(0, "member_live", std::string("upstream=pausing"));
    }

    void ask_service(int number)
    {
        this->ask(0, {"pause-" + std::to_string(number), "", "", "/book/new"});
    }

    /// \brief The service's process has started a second ago: the pause was
    /// its own. Calls are sent for two seconds more.
    void expect_pause_kept()
    {
        this->ask_service(0);
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return this->service->requests() == 1;
            }));
        this->wait_for(milliseconds{100});
        this->write_service(wall_ms() - 1'000);
        for (int number = 1; number <= 20; ++number)
        {
            this->wait_for(milliseconds{100});
            this->ask_service(number);
        }
        EXPECT_EQ(this->service->requests(), 1U);
    }

    void wait_for(milliseconds time)
    {
        this->run_until(
            []
            {
                return false;
            },
            time);
    }

    static constexpr std::size_t service_number = 220;
    std::string step_file;
    std::unique_ptr<standins::early_service> service;
    std::uint64_t written = 0;
};

} // namespace

// Guards calls, streams and the exchange between gateways.
TEST_F(clock_steps, calls_are_served_while_a_clock_is_set_and_set_back)
{
    this->start(2, 2, 2);
    for (int const seconds : {5, 0, -5, 0, 2, -2, 0})
    {
        this->step_clock(std::chrono::seconds{seconds});
        this->play(milliseconds{300}, "/chat/new", usual_interval);
        this->play(milliseconds{300}, "/book/new", usual_interval);
    }
    this->settle();
    EXPECT_EQ(this->served_after(this->started_at), 1);
    for (auto const& gateway : this->gateways)
        EXPECT_TRUE(gateway.process->is_running());
}

// The pause that a service had asked for ended with the record of its process.
TEST_F(clock_steps, a_clock_that_is_behind_ends_no_pause)
{
    this->step_clock(std::chrono::seconds{-5});
    this->pause_service();
    this->expect_pause_kept();
}

TEST_F(clock_steps, a_clock_that_is_set_back_ends_no_pause)
{
    this->pause_service();
    this->step_clock(std::chrono::seconds{-5});
    this->expect_pause_kept();
}

TEST_F(clock_steps, a_clock_that_is_ahead_ends_no_pause)
{
    this->step_clock(std::chrono::seconds{5});
    this->pause_service();
    this->expect_pause_kept();
}

} // namespace jujubestand::programs::test
