#include <gtest/gtest.h>
#include <jujubestand/http/client.hpp>
#include <jujubestand/http1/test/cut_answers.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <optional>
#include <string>

// Upstreams that stop within the head of their answer and close, for the client
// of entries and sidecars.
namespace jujubestand::http
{

namespace
{

struct received_answer
{
    bool has_head = false;
    std::string body;
    std::optional<exchange_end> end;
};

received_answer ask(address const& where)
{
    http1::loop_base const base{event_base_new()};
    client caller(base.get(), client_options{});
    received_answer result;
    caller.head.connect(
        [&](exchange_id, response_head const&)
        {
            result.has_head = true;
        });
    caller.data.connect(
        [&](exchange_id, std::string const& bytes)
        {
            result.body += bytes;
        });
    caller.ended.connect(
        [&](exchange_id, exchange_end const& end)
        {
            result.end = end;
            event_base_loopbreak(base.get());
        });
    request sent;
    sent.method = "POST";
    sent.path = "/";
    (void)caller.start(where, sent);
    event_base_dispatch(base.get());
    return result;
}

} // namespace

// Callers of another operator's system got a 200 with an empty body, framed as
// whole (MIXED, ORDER).
TEST(cut_answers, an_answer_that_ends_within_its_head_is_no_answer)
{
    for (auto const& whole : http1::whole_answers())
    {
        for (std::size_t size = 1; size < http1::head_size(whole); ++size)
        {
            for (bool const is_reset : {false, true})
            {
                http1::fixed_peer const peer(whole.substr(0, size), is_reset);
                auto const answer = ask(peer.where);
                ASSERT_TRUE(answer.end);
                EXPECT_FALSE(answer.end->is_complete) << whole.substr(0, size);
                EXPECT_EQ(answer.body, "");
            }
        }
    }
}

TEST(cut_answers, an_answer_with_a_framed_body_is_complete_only_at_its_end)
{
    auto const answers = http1::whole_answers();
    for (std::size_t at = 0; at < 2; ++at)
    {
        auto const& whole = answers[at];
        for (std::size_t size = http1::head_size(whole); size <= whole.size();
             ++size)
        {
            http1::fixed_peer const peer(whole.substr(0, size), false);
            auto const answer = ask(peer.where);
            ASSERT_TRUE(answer.end);
            EXPECT_EQ(answer.end->is_complete, size == whole.size()) << size;
        }
    }
}

} // namespace jujubestand::http
