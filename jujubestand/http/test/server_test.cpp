#include <array>
#include <cerrno>
#include <csignal>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <jujubestand/http/server.hpp>
#include <jujubestand/link/socket_address.hpp>
#include <sys/socket.h>
#include <unistd.h>

// What callers receive that are no usual HTTP/1.1 clients: old ones, those that
// ask for a head only, and those over IPv6.
namespace jujubestand::http
{

namespace
{

class server_test : public testing::Test
{
protected:
    void SetUp() override
    {
        std::signal(SIGPIPE, SIG_IGN);
        this->front.requested.connect(
            [this](caller_id caller, request const& asked)
            {
                this->last = asked;
                this->answer(caller);
            });
    }

    void TearDown() override
    {
        ::close(this->socket);
    }

    void answer(caller_id caller)
    {
        if (this->last.path == "/whole")
        {
            this->front.reply(caller, 200, {}, "text");
            return;
        }
        this->front.start(caller, 200, {});
        this->front.write(caller, "te");
        this->front.write(caller, "xt");
        if (this->last.path == "/cut")
            this->front.abort(caller);
        else
            this->front.finish(caller);
    }

    /// \brief What a caller receives until its connection ends or stays quiet.
    std::string ask(std::string const& bytes, std::string const& host)
    {
        reason why;
        auto const where = this->front.listen({host, 0}, why);
        EXPECT_TRUE(where) << to_text(why);
        auto peer = *link::to_socket_address(*where);
        this->socket = ::socket(peer.get()->sa_family, SOCK_STREAM, 0);
        EXPECT_EQ(::connect(this->socket, peer.get(), peer.length), 0);
        ::send(this->socket, bytes.data(), bytes.size(), 0);
        std::string received;
        constexpr int turns = 200;
        for (int turn = 0; turn < turns; ++turn)
        {
            timeval const pause{0, 1'000};
            event_base_loopexit(this->base, &pause);
            event_base_dispatch(this->base);
            this->receive(received);
        }
        return received;
    }

    void receive(std::string& into)
    {
        std::array<char, 4'096> bytes{};
        auto const got =
            ::recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (got > 0)
            into.append(bytes.data(), static_cast<std::size_t>(got));
        this->is_reset = this->is_reset || (got < 0 && errno == ECONNRESET);
        this->is_closed = this->is_closed || (got == 0 && !this->is_reset);
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> owned{
        event_base_new(), event_base_free};
    event_base* base = this->owned.get();
    server front{this->base, server_options{}};
    request last;
    int socket = -1;
    bool is_closed = false;
    bool is_reset = false;
};

} // namespace

// An old caller would take the sizes of chunks for bytes of the body.
TEST_F(server_test, a_stream_to_an_old_caller_has_no_chunks)
{
    auto const received =
        this->ask("GET /stream HTTP/1.0\r\n\r\n", "127.0.0.1");
    EXPECT_TRUE(received.ends_with("\r\n\r\ntext")) << received;
    EXPECT_TRUE(this->is_closed);
}

// It would wait for the end of the connection.
TEST_F(server_test, an_old_caller_is_told_that_its_connection_stays_open)
{
    auto const received = this->ask(
        "GET /whole HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "127.0.0.1");
    EXPECT_NE(received.find("Connection: keep-alive"), std::string::npos)
        << received;
    EXPECT_FALSE(this->is_closed);
}

// Its orderly end would make the part look complete.
TEST_F(server_test, a_stream_to_an_old_caller_is_cut_by_a_reset)
{
    std::ignore = this->ask("GET /cut HTTP/1.0\r\n\r\n", "127.0.0.1");
    EXPECT_TRUE(this->is_reset);
    EXPECT_FALSE(this->is_closed);
}

// A body would be read as the beginning of the next answer.
TEST_F(server_test, an_answer_to_head_has_no_body)
{
    for (char const* path : {"/whole", "/stream"})
    {
        auto const received = this->ask("HEAD " + std::string(path) +
                                            " HTTP/1.1\r\nHost: a\r\n\r\n",
                                        "127.0.0.1");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
        EXPECT_TRUE(received.ends_with("\r\n\r\n")) << received;
        ::close(this->socket);
    }
}

TEST_F(server_test, a_caller_over_ipv6_is_served_and_named)
{
    auto const received =
        this->ask("GET http://a/whole?b=c HTTP/1.1\r\nHost: a\r\n\r\n", "::1");
    EXPECT_TRUE(received.ends_with("text")) << received;
    EXPECT_EQ(this->last.path, "/whole");
    EXPECT_EQ(this->last.query, "b=c");
    EXPECT_EQ(this->last.remote_host, "::1");
}

} // namespace jujubestand::http
