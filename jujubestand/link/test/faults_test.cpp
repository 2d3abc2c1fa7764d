#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <jujubestand/link/test/pair.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubestand::link
{

namespace
{

/// A listening socket that no program serves: the kernel accepts, and what
/// is written to it is never answered.
class silent_server
{
public:
    silent_server()
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof bound;
        auto* const any = reinterpret_cast<sockaddr*>(&bound);
        EXPECT_EQ(bind(this->socket_fd, any, length), 0);
        EXPECT_EQ(::listen(this->socket_fd, 8), 0);
        EXPECT_EQ(getsockname(this->socket_fd, any, &length), 0);
        this->where = {"127.0.0.1", ntohs(bound.sin_port)};
    }

    ~silent_server()
    {
        ::close(this->socket_fd);
    }

    silent_server(silent_server const&) = delete;
    silent_server& operator=(silent_server const&) = delete;
    silent_server(silent_server&&) = delete;
    silent_server& operator=(silent_server&&) = delete;

    address where;

private:
    int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
};

/// Two loops, so that one side can stand still while the other goes on.
class frozen_test : public testing::Test
{
protected:
    void SetUp() override
    {
        reason why;
        auto const bound = sidecar.subject.listen({"127.0.0.1", 0}, why);
        ASSERT_TRUE(bound) << to_text(why);
        this->where = *bound;
    }

    /// Opens a stream, and brings its first frame to the sidecar.
    stream_id talk()
    {
        auto const stream = entry.subject.open(where);
        entry.subject.send(stream, piece_of("ask"));
        EXPECT_TRUE(entry_loop.run_until(
            [&]
            {
                event_base_loop(sidecar_loop.base.get(), EVLOOP_NONBLOCK);
                return !sidecar.received.empty();
            }));
        return stream;
    }

    test_loop entry_loop;
    test_loop sidecar_loop;
    recorder entry{entry_loop, quick_options("entry")};
    recorder sidecar{sidecar_loop, quick_options("sidecar")};
    address where;
};

} // namespace

TEST_F(pair_test, a_wrong_key_is_refused_on_both_sides)
{
    auto options = quick_options("entry");
    options.key = "another key";
    start(options, quick_options("sidecar"));
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of("ask"));
    ASSERT_TRUE(this->run_until_closed());
    EXPECT_FALSE(entry->closed[stream].may_have_sent);
    EXPECT_EQ(sidecar->count(event_number::link_refused), 1U);
    EXPECT_EQ(sidecar->count(event_number::link_up), 0U);
    EXPECT_TRUE(sidecar->opened.empty());
    EXPECT_TRUE(sidecar->received.empty());
}

TEST_F(pair_test, an_empty_key_proves_nothing)
{
    auto options = quick_options("entry");
    options.key = "";
    auto other = quick_options("sidecar");
    other.key = "";
    start(options, other);
    auto const stream = entry->subject.open(where);
    ASSERT_TRUE(this->run_until_closed());
    EXPECT_FALSE(entry->closed[stream].may_have_sent);
    EXPECT_TRUE(sidecar->opened.empty());
}

TEST_F(pair_test, an_oversized_frame_cuts_the_link)
{
    auto options = quick_options("sidecar");
    options.frame_limit_bytes = 1'000;
    start(quick_options("entry"), options);
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of(std::string(2'000, 'x')));
    ASSERT_TRUE(this->run_until_closed());
    EXPECT_TRUE(sidecar->received.empty());
    EXPECT_TRUE(entry->closed[stream].may_have_sent);
    EXPECT_EQ(sidecar->count(event_number::link_down), 1U);
}

TEST_F(pair_test, a_peer_that_is_not_ours_is_cut)
{
    int const stranger = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(where.port);
    ASSERT_EQ(connect(stranger, reinterpret_cast<sockaddr*>(&to), sizeof to),
              0);
    std::string const text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    ASSERT_EQ(::send(stranger, text.data(), text.size(), 0),
              static_cast<ssize_t>(text.size()));
    loop.run_for(std::chrono::milliseconds(50));
    std::string rest(4'096, ' ');
    ssize_t got = 1;
    while (got > 0)
        got = ::recv(stranger, rest.data(), rest.size(), MSG_DONTWAIT);
    EXPECT_EQ(got, 0);
    ::close(stranger);
    EXPECT_TRUE(sidecar->opened.empty());
}

TEST_F(pair_test, a_peer_that_never_answers_is_given_up_as_unsent)
{
    silent_server const silent;
    auto const stream = entry->subject.open(silent.where);
    entry->subject.send(stream, piece_of("ask"));
    ASSERT_TRUE(this->run_until_closed());
    EXPECT_FALSE(entry->closed[stream].may_have_sent);
    EXPECT_EQ(entry->closed[stream].why.code, reason_code::link_unreachable);
}

TEST_F(pair_test, a_peer_that_vanishes_after_a_send_may_have_run_it)
{
    auto const stream = entry->subject.open(where);
    entry->subject.send(stream, piece_of("ask"));
    ASSERT_TRUE(this->run_until_received());
    sidecar.reset();
    ASSERT_TRUE(this->run_until_closed());
    EXPECT_FALSE(entry->closed[stream].clean);
    EXPECT_FALSE(entry->closed[stream].is_reset);
    EXPECT_TRUE(entry->closed[stream].may_have_sent);
    EXPECT_EQ(entry->closed[stream].why.code, reason_code::link_cut_after_send);
    EXPECT_EQ(entry->count(event_number::link_down), 1U);
}

TEST_F(pair_test, a_stream_without_frames_was_not_sent)
{
    auto const stream = entry->subject.open(where);
    auto const other = entry->subject.open(where);
    entry->subject.send(other, piece_of("ask"));
    ASSERT_TRUE(this->run_until_received());
    sidecar.reset();
    ASSERT_TRUE(loop.run_until(
        [&]
        {
            return entry->closed.size() == 2;
        }));
    EXPECT_FALSE(entry->closed[stream].may_have_sent);
    EXPECT_TRUE(entry->closed[other].may_have_sent);
}

TEST_F(frozen_test, a_frozen_peer_is_found_by_ping)
{
    auto const stream = this->talk();
    auto const late = entry.subject.open(where);
    entry.subject.send(late, piece_of("late"));
    ASSERT_TRUE(entry_loop.run_until(
        [&]
        {
            return entry.closed.size() == 2;
        }));
    EXPECT_TRUE(entry.closed[stream].may_have_sent);
    // The kernel took it: the peer may read it when it wakes.
    EXPECT_TRUE(entry.closed[late].may_have_sent);
    sidecar_loop.run_for(std::chrono::milliseconds(50));
    EXPECT_EQ(sidecar.opened.size(), 2U);
}

TEST_F(frozen_test, what_never_left_the_buffer_is_reported_as_unsent)
{
    auto const big = this->talk();
    constexpr std::size_t frame_bytes = 200'000;
    std::vector<stream_id> streams;
    for (int number = 0; number < 200; ++number)
    {
        streams.push_back(entry.subject.open(where));
        entry.subject.send(streams.back(),
                           piece_of(std::string(frame_bytes, 'x')));
    }
    ASSERT_TRUE(entry_loop.run_until(
        [&]
        {
            return entry.closed.size() == streams.size() + 1;
        }));
    EXPECT_TRUE(entry.closed[big].may_have_sent);
    sidecar_loop.run_for(std::chrono::milliseconds(200));
    std::size_t unsent = 0;
    for (auto const stream : streams)
        unsent += entry.closed[stream].may_have_sent ? 0 : 1;
    EXPECT_GT(unsent, 0U);
    // Every stream that the peer ever sees was reported as perhaps sent.
    EXPECT_LE(sidecar.received.size(), 1 + streams.size() - unsent);
}

TEST_F(frozen_test, a_quiet_peer_that_answers_pings_is_kept)
{
    this->talk();
    auto const until = mono_now() + std::chrono::milliseconds(1'200);
    entry_loop.run_until(
        [&]
        {
            event_base_loop(sidecar_loop.base.get(), EVLOOP_NONBLOCK);
            return mono_now() >= until;
        });
    EXPECT_TRUE(entry.closed.empty());
}

} // namespace jujubestand::link
