#include <arpa/inet.h>
#include <csignal>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <jujubestand/http/client.hpp>
#include <jujubestand/http/server.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace jujubestand::http
{

namespace
{

constexpr int turn_limit = 5'000;

class exchange_test : public testing::Test
{
protected:
    event_base* base = event_base_new();
    std::unique_ptr<server> front =
        std::make_unique<server>(this->base, server_options{});
    std::unique_ptr<client> back =
        std::make_unique<client>(this->base, client_options{});
    address where;
    std::optional<exchange_end> end;
    std::string received;
    int status = 0;

    void SetUp() override
    {
        // As the programs do: a peer that leaves is told by the write.
        std::signal(SIGPIPE, SIG_IGN);
        reason why;
        auto const bound = this->front->listen(address{"127.0.0.1", 0}, why);
        ASSERT_TRUE(bound) << to_text(why);
        this->where = *bound;
        this->back->head.connect(
            [this](exchange_id, response_head const& head)
            {
                this->status = head.status;
            });
        this->back->data.connect(
            [this](exchange_id, std::string const& bytes)
            {
                this->received += bytes;
            });
        this->back->ended.connect(
            [this](exchange_id, exchange_end const& how)
            {
                this->end = how;
            });
    }

    void TearDown() override
    {
        this->back.reset();
        this->front.reset();
        event_base_free(this->base);
    }

    template <class Condition>
    bool run_until(Condition is_met)
    {
        for (int turn = 0; turn < turn_limit && !is_met(); ++turn)
        {
            timeval const pause{0, 1'000};
            event_base_loopexit(this->base, &pause);
            event_base_dispatch(this->base);
        }
        return is_met();
    }

    bool run_until_ended()
    {
        return this->run_until(
            [this]
            {
                return this->end.has_value();
            });
    }

    // Replies to every request; `is_answered` is set by the first.
    void reply_with(std::string const& body, bool& is_answered)
    {
        this->front->requested.connect(
            [this, body, &is_answered](caller_id caller, request const&)
            {
                this->front->reply(caller, 200, {}, body);
                is_answered = true;
            });
    }

    int raw_socket()
    {
        int const handle = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(this->where.port);
        ::inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        EXPECT_EQ(::connect(handle, reinterpret_cast<sockaddr*>(&target),
                            sizeof(target)),
                  0);
        return handle;
    }
};

request post(std::string body)
{
    request sent;
    sent.method = "POST";
    sent.path = "/echo";
    sent.body = std::move(body);
    return sent;
}

} // namespace

TEST_F(exchange_test, a_streamed_answer_arrives_whole)
{
    this->front->requested.connect(
        [this](caller_id caller, request const& asked)
        {
            this->front->start(caller, 200, {});
            this->front->write(caller, asked.body);
            this->front->write(caller, "|end");
            this->front->finish(caller);
        });
    (void)this->back->start(this->where, post("hello"));
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_TRUE(this->end->is_complete);
    EXPECT_EQ(this->status, 200);
    EXPECT_EQ(this->received, "hello|end");
}

TEST_F(exchange_test, an_aborted_answer_is_never_complete)
{
    this->front->requested.connect(
        [this](caller_id caller, request const&)
        {
            this->front->start(caller, 200, {});
            this->front->write(caller, "half");
            this->front->abort(caller);
        });
    (void)this->back->start(this->where, post("x"));
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_FALSE(this->end->is_complete);
    EXPECT_TRUE(this->end->may_have_sent);
    EXPECT_EQ(this->received, "half");
}

TEST_F(exchange_test, an_answer_aborted_before_its_first_bytes_is_cut)
{
    this->front->requested.connect(
        [this](caller_id caller, request const&)
        {
            this->front->start(caller, 200, {});
            this->front->abort(caller);
        });
    (void)this->back->start(this->where, post("x"));
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_FALSE(this->end->is_complete);
    EXPECT_EQ(this->status, 200);
}

TEST_F(exchange_test, a_caller_counts_until_its_last_bytes_are_out)
{
    std::string const large(32U << 20U, 'z');
    bool is_answered = false;
    this->reply_with(large, is_answered);
    auto const exchange = this->back->start(this->where, post("x"));
    this->back->pause(exchange);
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return is_answered;
        }));
    this->back->pause(exchange);
    EXPECT_EQ(this->front->open_callers(), 1U);
    this->back->unpause(exchange);
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_EQ(this->received.size(), large.size());
    EXPECT_EQ(this->front->open_callers(), 0U);
}

TEST_F(exchange_test, a_caller_that_leaves_before_its_last_bytes_is_forgotten)
{
    std::string const large(32U << 20U, 'z');
    bool is_answered = false;
    this->reply_with(large, is_answered);
    auto const exchange = this->back->start(this->where, post("x"));
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return is_answered;
        }));
    this->back->cancel(exchange);
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return this->front->open_callers() == 0;
        }));
}

TEST_F(exchange_test, a_refused_connection_has_sent_nothing)
{
    this->front.reset();
    this->front = std::make_unique<server>(this->base, server_options{});
    (void)this->back->start(this->where, post("x"));
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_FALSE(this->end->is_complete);
    EXPECT_FALSE(this->end->may_have_sent);
}

TEST_F(exchange_test, a_caller_that_leaves_is_noticed_while_it_waits)
{
    bool is_closed = false;
    bool has_come = false;
    this->front->requested.connect(
        [&](caller_id, request const&)
        {
            has_come = true;
        });
    this->front->closed.connect(
        [&](caller_id)
        {
            is_closed = true;
        });
    auto const exchange = this->back->start(this->where, post("x"));
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return has_come;
        }));
    this->back->cancel(exchange);
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return is_closed;
        }));
    EXPECT_EQ(this->front->open_callers(), 0U);
}

TEST_F(exchange_test, bytes_sent_ahead_do_no_harm)
{
    std::vector<caller_id> callers;
    this->front->requested.connect(
        [&](caller_id caller, request const&)
        {
            callers.push_back(caller);
        });
    int const handle = this->raw_socket();
    std::string const first = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(::send(handle, first.data(), first.size(), 0),
              static_cast<ssize_t>(first.size()));
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return callers.size() == 1;
        }));
    std::string const ahead = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(::send(handle, ahead.data(), ahead.size(), 0),
              static_cast<ssize_t>(ahead.size()));
    int turns = 0;
    this->run_until(
        [&]
        {
            return ++turns > 50;
        });
    ASSERT_EQ(callers.size(), 1U);
    this->front->reply(callers.at(0), 200, {}, "first");
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return callers.size() == 2;
        }));
    ::close(handle);
}

TEST_F(exchange_test, a_large_request_follows_on_the_same_connection)
{
    std::string last_body;
    this->front->requested.connect(
        [&](caller_id caller, request const& asked)
        {
            last_body = asked.body;
            this->front->reply(caller, 200, {}, "ok");
        });
    int const handle = this->raw_socket();
    std::string const body(200'000, 'p');
    std::string const bytes =
        "GET /a HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: "
        "a\r\nContent-Length: 200000\r\n\r\n" +
        body;
    ASSERT_EQ(::send(handle, bytes.data(), bytes.size(), 0),
              static_cast<ssize_t>(bytes.size()));
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return last_body == body;
        }));
    ::close(handle);
}

// evhttp reads the size of a chunk without a limit: it took all memory.
TEST_F(exchange_test, the_size_of_a_chunk_without_end_is_given_up)
{
    http1::flooding_peer const peer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;");
    client_options limits;
    limits.body_limit_bytes = 64U << 10U;
    this->back = std::make_unique<client>(this->base, limits);
    this->back->ended.connect(
        [this](exchange_id, exchange_end const& how)
        {
            this->end = how;
        });
    request asked;
    asked.path = "/";
    std::ignore = this->back->start(peer.where, asked);
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_FALSE(this->end->is_complete);
    EXPECT_EQ(this->end->why.code, reason_code::answer_too_large);
}

// An owner holds what it is given of an answer, and the limit of one answer is
// far above what there is for all.
TEST_F(exchange_test, answers_that_their_owner_keeps_end_at_the_limit_of_all)
{
    http1::flooding_peer const peer("HTTP/1.1 200 OK\r\n\r\n");
    client_options limits;
    limits.kept_limit_bytes = 1U << 20U;
    this->back = std::make_unique<client>(this->base, limits);
    this->back->data.connect(
        [this](exchange_id, std::string const& bytes)
        {
            this->received += bytes;
        });
    this->back->ended.connect(
        [this](exchange_id, exchange_end const& how)
        {
            this->end = how;
        });
    std::ignore = this->back->start(peer.where, request{});
    ASSERT_TRUE(this->run_until_ended());
    EXPECT_FALSE(this->end->is_complete);
    EXPECT_EQ(this->end->why.code, reason_code::answer_too_large);
    EXPECT_LE(this->received.size(), limits.kept_limit_bytes);
}

// The same answer goes on while its owner passes it on.
TEST_F(exchange_test, answers_that_are_passed_on_do_not_count)
{
    http1::flooding_peer const peer("HTTP/1.1 200 OK\r\n\r\n");
    client_options limits;
    limits.kept_limit_bytes = 1U << 20U;
    this->back = std::make_unique<client>(this->base, limits);
    std::size_t passed_on = 0;
    this->back->data.connect(
        [&](exchange_id exchange, std::string const& bytes)
        {
            passed_on += bytes.size();
            this->back->set_kept(exchange, 0);
        });
    this->back->ended.connect(
        [this](exchange_id, exchange_end const& how)
        {
            this->end = how;
        });
    auto const open = this->back->start(peer.where, request{});
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return passed_on > 8 * limits.kept_limit_bytes;
        }));
    EXPECT_FALSE(this->end);
    this->back->cancel(open);
    this->back.reset();
    event_base_loop(this->base, EVLOOP_NONBLOCK);
}

} // namespace jujubestand::http
