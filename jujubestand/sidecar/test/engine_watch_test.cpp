#include <csignal>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <jujubestand/http/server.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/sidecar/engine_watch.hpp>
#include <optional>
#include <string>
#include <vector>

// An engine's load reports and its feed of cache events, over loopback.
namespace jujubestand::sidecar
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{500};

class engine_watch_test : public testing::Test
{
protected:
    // As the programs do: a peer that leaves is told by the write.
    void SetUp() override
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    ~engine_watch_test() override
    {
        this->filler.reset();
        this->watch.reset();
        this->engine.reset();
        event_base_free(this->base);
    }

    /// \brief Starts an engine that answers one path with bytes without end.
    void start(std::string const& path, std::string const& bytes)
    {
        reason why;
        auto const bound = this->engine->listen(address{"127.0.0.1", 0}, why);
        ASSERT_TRUE(bound) << to_text(why);
        this->endless_path = path;
        this->engine->requested.connect(
            [this](http::caller_id caller, http::request const& asked)
            {
                this->answer(caller, asked);
            });
        this->filler.emplace(this->base,
                             [this, bytes]
                             {
                                 this->fill(bytes);
                             });
        this->filler->start_every(milliseconds{1});
        this->watch.emplace(this->base, *bound, poll_interval);
        this->watch->lost.connect(
            [this](reason const& loss)
            {
                this->losses.push_back(loss);
            });
        this->watch->start();
    }

    template <class Condition>
    bool run_until(Condition is_met)
    {
        constexpr int turn_limit = 10'000;
        for (int turn = 0; turn < turn_limit && !is_met(); ++turn)
        {
            timeval const pause{0, 1'000};
            event_base_loopexit(this->base, &pause);
            event_base_dispatch(this->base);
        }
        return is_met();
    }

    event_base* base = event_base_new();
    std::optional<http::server> engine{std::in_place, this->base,
                                       http::server_options{}};
    std::optional<engine_watch> watch;
    std::optional<loop::timer> filler;
    std::optional<http::caller_id> filled;
    std::string endless_path;
    std::vector<reason> losses;
    std::size_t sent = 0;
    std::size_t feeds = 0;

private:
    void answer(http::caller_id caller, http::request const& asked)
    {
        this->feeds += asked.path == "/kv_events" ? 1 : 0;
        if (asked.path != this->endless_path)
        {
            this->engine->reply(caller, 404, {}, "");
            return;
        }
        this->engine->start(caller, 200, {});
        this->filled = caller;
    }

    // Ahead of what is read by no more than this.
    void fill(std::string const& bytes)
    {
        constexpr std::size_t ahead_bytes = 256U << 10U;
        if (!this->filled ||
            this->engine->buffered_bytes(*this->filled) > ahead_bytes)
            return;
        this->sent += bytes.size();
        this->engine->write(*this->filled, bytes);
    }
};

constexpr std::size_t kilobyte = 1'000;
constexpr std::size_t megabyte = 1'000'000;

} // namespace

// A limit that overflowed ended the feed after 512 KiB, again and again, and
// the events in between were lost.
TEST_F(engine_watch_test, a_long_feed_is_one_answer)
{
    this->start("/kv_events", std::string(64 * kilobyte, 'x') + "\n");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->sent > 4 * megabyte;
        }));
    EXPECT_EQ(this->feeds, 1U);
}

// A report without end is given up long before its time is over.
TEST_F(engine_watch_test, a_report_without_end_is_given_up)
{
    this->start("/load", std::string(64 * kilobyte, ' '));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return !this->losses.empty();
        }));
    EXPECT_EQ(this->losses.front().code, reason_code::answer_too_large);
    EXPECT_LT(this->sent, 20 * megabyte);
}

} // namespace jujubestand::sidecar
