#include <gtest/gtest.h>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Limits on what a client and a server keep of their peers' bytes, over all
// connections.
namespace jujubestand::http1
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t kilobyte = 1'000;

class memory : public testing::Test
{
protected:
    template <class Condition>
    bool run_until(Condition is_met)
    {
        auto const end = mono_now() + milliseconds{5'000};
        while (!is_met() && mono_now() < end)
        {
            event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
            std::this_thread::yield();
        }
        return is_met();
    }

    loop_base base{event_base_new()};
};

std::string unfinished(std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" +
           std::string(bytes, 'x');
}

/// A client of peers that never end their answers.
class bounded_client : public memory
{
protected:
    bounded_client()
    {
        this->under_test->set_kept_limit(100 * kilobyte);
    }

    // A connection closes in the loop, and a peer waits for that.
    ~bounded_client() override
    {
        this->under_test.reset();
        constexpr int turns = 4;
        for (int turn = 0; turn < turns; ++turn)
            event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
    }

    /// \brief Starts a call whose answer stops after so many bytes.
    void start(std::string const& name, std::size_t bytes)
    {
        this->peers.push_back(
            std::make_unique<fixed_peer>(unfinished(bytes), false, true));
        call_events events;
        events.on_head = [](message_head const&) {};
        events.on_body = [this, name](std::string_view piece)
        {
            this->received[name] += piece.size();
            if (this->keeps_nothing)
                this->under_test->set_kept(this->calls[name], 0);
        };
        events.on_end = [this, name](call_end const& end)
        {
            this->ends[name] = end;
        };
        client_request request;
        request.server = this->peers.back()->where;
        this->calls[name] =
            this->under_test->start(std::move(request), std::move(events));
    }

    bool run_until_received(std::string const& name, std::size_t bytes)
    {
        return this->run_until(
            [&]
            {
                return this->received[name] >= bytes;
            });
    }

    std::vector<std::unique_ptr<fixed_peer>> peers;
    std::map<std::string, call_id> calls;
    std::map<std::string, std::size_t> received;
    std::map<std::string, call_end> ends;
    bool keeps_nothing = false;
    std::optional<client> under_test{std::in_place, this->base.get()};
};

std::string upload(std::size_t announced, std::size_t sent)
{
    return "POST /up HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
}

/// A server that keeps each request open and refuses those without room.
class bounded_server : public memory
{
protected:
    void SetUp() override
    {
        reason why;
        ASSERT_TRUE(this->under_test.listen(this->where, why)) << to_text(why);
    }

    server_events events()
    {
        server_events result;
        result.on_request = [this](exchange_id id, server_request const&)
        {
            this->open.push_back(id);
        };
        result.on_gone = [this](exchange_id id)
        {
            this->gone.push_back(id);
        };
        result.on_no_room = [this](exchange_id id, message_head const& head)
        {
            this->refused.push_back(head.target);
            this->under_test.respond(id, 503, {}, "");
        };
        return result;
    }

    std::unique_ptr<raw_caller> call(std::string const& bytes)
    {
        auto result = std::make_unique<raw_caller>(this->where);
        result->send(bytes);
        return result;
    }

    bool run_until_open(std::size_t count)
    {
        return this->run_until(
            [&]
            {
                return this->open.size() == count;
            });
    }

    address where = free_address();
    std::vector<exchange_id> open;
    std::vector<exchange_id> gone;
    std::vector<std::string> refused;
    server under_test{base.get(), events()};
};

} // namespace

// Each answer was within the limit of one answer, and all together took more
// memory than there is.
TEST_F(bounded_client, the_largest_answers_are_ended_past_the_limit)
{
    this->start("small", kilobyte);
    this->start("large", 60 * kilobyte);
    ASSERT_TRUE(this->run_until_received("small", kilobyte));
    ASSERT_TRUE(this->run_until_received("large", 60 * kilobyte));
    EXPECT_TRUE(this->ends.empty());
    this->start("larger", 70 * kilobyte);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return !this->ends.empty();
        }));
    EXPECT_FALSE(this->ends.contains("small"));
    for (auto const& [name, end] : this->ends)
    {
        EXPECT_EQ(end.why.code, reason_code::answer_too_large) << name;
        EXPECT_FALSE(end.is_complete) << name;
        EXPECT_TRUE(end.may_have_sent) << name;
    }
}

// An owner that passes bytes on at once may be given any number of them.
TEST_F(bounded_client, what_the_owner_does_not_keep_does_not_count)
{
    this->keeps_nothing = true;
    for (int number = 0; number < 4; ++number)
    {
        auto const name = std::to_string(number);
        this->start(name, 80 * kilobyte);
        EXPECT_TRUE(this->run_until_received(name, 80 * kilobyte));
    }
    EXPECT_TRUE(this->ends.empty());
}

// What was kept of a call is free again after it.
TEST_F(bounded_client, answers_one_after_the_other_each_have_the_whole_room)
{
    for (int number = 0; number < 4; ++number)
    {
        auto const name = std::to_string(number);
        this->start(name, 80 * kilobyte);
        EXPECT_TRUE(this->run_until_received(name, 80 * kilobyte));
        this->under_test->cancel(this->calls[name]);
    }
    EXPECT_TRUE(this->ends.empty());
}

// Callers that do not read took memory without a limit.
TEST_F(bounded_server, unread_answers_are_dropped_past_the_limit)
{
    constexpr std::size_t limit = 8'000 * kilobyte;
    this->under_test.set_unread_limit(limit);
    auto const slow = this->call(upload(0, 0));
    ASSERT_TRUE(this->run_until_open(1));
    auto const sound = this->call(upload(0, 0));
    ASSERT_TRUE(this->run_until_open(2));
    std::string const piece(100 * kilobyte, 'x');
    for (auto const id : this->open)
        this->under_test.begin(id, 200, {});
    this->under_test.send(this->open[1], "x");
    for (std::size_t sent = 0; sent <= limit + piece.size();
         sent += piece.size())
        this->under_test.send(this->open[0], piece);
    EXPECT_TRUE(this->gone.empty()) << "the owner is told from the loop";
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return !this->gone.empty();
        }));
    EXPECT_EQ(this->gone, std::vector{this->open[0]});
    EXPECT_EQ(this->under_test.connections(), 1U);
    // Room is free again.
    this->under_test.send(this->open[1], piece);
    event_base_loop(this->base.get(), EVLOOP_NONBLOCK);
    EXPECT_EQ(this->gone.size(), 1U);
}

// Bodies of requests that wait for a silent upstream took memory without a
// limit, until the process was killed (LOST).
TEST_F(bounded_server, a_body_without_room_is_refused)
{
    this->under_test.set_request_limit(100 * kilobyte);
    auto const kept = this->call(upload(60 * kilobyte, 60 * kilobyte));
    ASSERT_TRUE(this->run_until_open(1));
    auto const late = this->call(upload(80 * kilobyte, 60 * kilobyte));
    auto const answer = late->read_with(this->base.get());
    EXPECT_NE(answer.find("503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_EQ(this->refused, std::vector<std::string>{"/up"});
    // A small one still has room, and a large one has once the first is over.
    auto const small = this->call(upload(kilobyte, kilobyte));
    ASSERT_TRUE(this->run_until_open(2));
    this->under_test.respond(this->open[0], 200, {}, "ok");
    auto const next = this->call(upload(60 * kilobyte, 60 * kilobyte));
    EXPECT_TRUE(this->run_until_open(3));
}

} // namespace jujubestand::http1
