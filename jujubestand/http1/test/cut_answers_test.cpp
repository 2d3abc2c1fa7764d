#include <gtest/gtest.h>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/test/cut_answers.hpp>
#include <jujubestand/http1/test/sockets.hpp>
#include <optional>
#include <string>

// Upstreams that stop within the head of their answer and close.
namespace jujubestand::http1
{

namespace
{

struct received_answer
{
    bool has_head = false;
    std::string body;
    std::optional<call_end> end;
};

received_answer ask(address const& where)
{
    loop_base const base{event_base_new()};
    client caller(base.get());
    received_answer result;
    client_request request;
    request.server = where;
    request.method = "POST";
    request.target = "/";
    request.fields = {{"Host", "a"}};
    call_events events;
    events.on_head = [&](message_head const&)
    {
        result.has_head = true;
    };
    events.on_body = [&](std::string_view bytes)
    {
        result.body += bytes;
    };
    events.on_end = [&](call_end const& end)
    {
        result.end = end;
        event_base_loopbreak(base.get());
    };
    caller.start(std::move(request), std::move(events));
    event_base_dispatch(base.get());
    return result;
}

} // namespace

// Callers of another operator's system got a 200 with an empty body, framed as
// whole (MIXED, ORDER).
TEST(cut_answers, an_answer_that_ends_within_its_head_is_no_answer)
{
    for (auto const& whole : whole_answers())
    {
        for (std::size_t size = 1; size < head_size(whole); ++size)
        {
            for (bool const is_reset : {false, true})
            {
                fixed_peer const peer(whole.substr(0, size), is_reset);
                auto const answer = ask(peer.where);
                ASSERT_TRUE(answer.end);
                EXPECT_FALSE(answer.has_head) << whole.substr(0, size);
                EXPECT_FALSE(answer.end->is_complete) << whole.substr(0, size);
                EXPECT_TRUE(answer.end->may_have_sent);
                EXPECT_EQ(answer.body, "");
            }
        }
    }
}

TEST(cut_answers, an_answer_with_a_framed_body_is_complete_only_at_its_end)
{
    auto const answers = whole_answers();
    for (std::size_t at = 0; at < 2; ++at)
    {
        auto const& whole = answers[at];
        for (std::size_t size = head_size(whole); size <= whole.size(); ++size)
        {
            fixed_peer const peer(whole.substr(0, size), false);
            auto const answer = ask(peer.where);
            ASSERT_TRUE(answer.end);
            EXPECT_EQ(answer.end->is_complete, size == whole.size()) << size;
        }
    }
}

} // namespace jujubestand::http1
