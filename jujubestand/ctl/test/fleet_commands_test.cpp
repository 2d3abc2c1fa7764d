#include <atomic>
#include <gtest/gtest.h>
#include <jujubestand/ctl/command.hpp>
#include <jujubestand/platform/test/fake_server.hpp>
#include <jujubestand/timeline/json.hpp>
#include <sstream>
#include <thread>

namespace jujubestand::ctl
{

namespace
{

using platform::test::fake_server;

constexpr char const* request_text = "0000000000000001000000000000002a";

timeline::stamped_event event_at(std::int64_t wall_ms, char const* instance,
                                 event_number number,
                                 std::vector<event_field> fields)
{
    timeline::stamped_event event;
    event.stamp.wall_ms = wall_ms;
    event.instance = instance_id(instance);
    event.what.number = number;
    event.what.request = request_id{1, 42};
    event.what.fields = std::move(fields);
    return event;
}

// One server that plays the list, an entry, and a sidecar whose clock is
// ahead but whose events follow the entry's.
class fleet : public testing::Test
{
protected:
    fake_server server;
    std::atomic<bool> is_stopped = false;
    std::atomic<int> pages = 0;
    std::atomic<bool> is_ready = true;
    std::thread thread;
    std::string out;
    std::string err;

    void SetUp() override
    {
        this->server.handle = [this](evhttp_request* asked)
        {
            this->answer(asked);
        };
        this->thread = std::thread(
            [this]
            {
                while (!this->is_stopped)
                    (void)this->server.run_until(
                        [this]
                        {
                            return this->is_stopped.load();
                        });
            });
    }

    void TearDown() override
    {
        this->is_stopped = true;
        this->thread.join();
    }

    exit_code tool(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(),
                         {"--instances", to_text(this->server.where),
                          "--timeout-ms", "2000"});
        std::ostringstream printed;
        std::ostringstream told;
        auto const code = run(arguments, printed, told);
        this->out = printed.str();
        this->err = told.str();
        return code;
    }

private:
    void answer(evhttp_request* asked)
    {
        std::string const uri = evhttp_request_get_uri(asked);
        if (uri == "/v1/instances")
            return fake_server::reply(asked, 200, this->list());
        if (uri == "/readyz")
            return fake_server::reply(asked, this->is_ready ? 200 : 503,
                                      this->is_ready ? "ready\n"
                                                     : "no tables\n");
        timeline::page page;
        if (this->pages++ % 2 == 0)
            page.events = {
                event_at(10, "e1", event_number::request_accepted,
                         {{"route", "chat"}, {"tokens", "9"}}),
                event_at(30, "e1", event_number::request_finished,
                         {{"upstream", "engine-1"}, {"status", "200"}})};
        else
            page.events = {event_at(20, "s1", event_number::call_started, {})};
        fake_server::reply(asked, 200, timeline::to_json(page));
    }

    std::string list() const
    {
        std::string const where = to_text(this->server.where);
        auto const row =
            [&where](std::string const& name, std::string const& role)
        {
            return R"({"instance":")" + name + R"(","role":")" + role +
                   R"(","data_centre":"almaty-a","link":")" + where +
                   R"(","http":")" + where +
                   R"(","upstream":"engine-1","state":"live"})";
        };
        return R"({"version":1,"instances":[)" + row("e1", "entry") + ',' +
               row("s1", "sidecar") + "]}";
    }
};

} // namespace

TEST_F(fleet, the_time_line_is_one_order_over_all_processes)
{
    ASSERT_EQ(this->tool({"timeline"}), exit_code::done) << this->err;
    auto const accepted = this->out.find("request_accepted");
    auto const started = this->out.find("call_started");
    auto const finished = this->out.find("request_finished");
    EXPECT_LT(accepted, started);
    EXPECT_LT(started, finished);
    EXPECT_NE(finished, std::string::npos);
}

TEST_F(fleet, an_unknown_event_is_refused_before_anyone_is_asked)
{
    EXPECT_EQ(this->tool({"timeline", "event=nothing"}), exit_code::usage);
    EXPECT_EQ(this->pages, 0);
}

TEST_F(fleet, a_request_is_explained_in_plain_words)
{
    ASSERT_EQ(this->tool({"explain", request_text}), exit_code::done);
    EXPECT_NE(this->out.find("+0 ms  e1 took it in on route chat"),
              std::string::npos)
        << this->out;
    EXPECT_NE(this->out.find("gave the caller the whole answer of engine-1"),
              std::string::npos);
}

TEST_F(fleet, status_tells_who_is_not_ready_by_its_exit_code)
{
    EXPECT_EQ(this->tool({"status"}), exit_code::done);
    this->is_ready = false;
    EXPECT_EQ(this->tool({"status"}), exit_code::refused);
    EXPECT_NE(this->out.find("no tables"), std::string::npos);
}

TEST(fleet_commands, without_a_list_the_tool_says_so)
{
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(run({"timeline"}, out, err), exit_code::unreachable);
    EXPECT_NE(err.str().find("--instances is needed"), std::string::npos);
}

} // namespace jujubestand::ctl
