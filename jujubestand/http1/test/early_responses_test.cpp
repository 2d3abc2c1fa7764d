#include <csignal>
#include <gtest/gtest.h>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/test/early_peer.hpp>
#include <optional>
#include <string>

// Upstreams that respond before the request is whole, and upstreams with
// statuses that HTTP doesn't have.
namespace jujubestand::http1
{

namespace
{

struct received_answer
{
    int status = 0;
    std::string body;
    std::optional<call_end> end;
};

received_answer upload(early_peer& peer, std::size_t bytes)
{
    // As the programs do: a peer that leaves is told by the write.
    std::signal(SIGPIPE, SIG_IGN);
    loop_base const base{event_base_new()};
    client caller(base.get());
    received_answer result;
    client_request request;
    request.server = peer.where;
    request.method = "POST";
    request.target = "/";
    request.fields = {{"Host", "a"}};
    request.body = std::string(bytes, 'u');
    request.timeout = std::chrono::milliseconds{10'000};
    call_events events;
    events.on_head = [&](message_head const& head)
    {
        result.status = head.status;
    };
    events.on_body = [&](std::string_view part)
    {
        result.body += part;
        peer.end();
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

// A client of another system took the first part of a response for a whole one:
// the upstream had reset the connection during the upload.
TEST(early_responses, a_part_of_a_response_during_an_upload_is_not_complete)
{
    constexpr int rounds = 20;
    for (auto const how : early_ends)
    {
        for (auto const bytes : upload_sizes)
        {
            for (int round = 0; round < rounds; ++round)
            {
                early_peer peer(early_part, how, 1);
                auto const answer = upload(peer, bytes);
                ASSERT_TRUE(answer.end);
                EXPECT_FALSE(answer.end->is_complete)
                    << static_cast<int>(how) << ' ' << bytes;
                EXPECT_TRUE(answer.end->may_have_sent);
                EXPECT_EQ(answer.body, "part");
                EXPECT_EQ(answer.end->why.code, reason_code::upstream_read_cut)
                    << answer.end->why.text;
            }
        }
    }
}

// Guards the above against refusing sound responses.
TEST(early_responses, a_response_without_a_length_to_a_whole_upload_is_complete)
{
    for (auto const bytes : upload_sizes)
    {
        early_peer peer(early_part, early_end::fin, bytes);
        auto const answer = upload(peer, bytes);
        ASSERT_TRUE(answer.end);
        EXPECT_TRUE(answer.end->is_complete) << bytes;
        EXPECT_EQ(answer.body, "part");
    }
}

// A response with a length says itself that it is whole: upstreams refuse
// uploads by it.
TEST(early_responses, a_framed_response_during_an_upload_is_complete)
{
    for (auto const bytes : upload_sizes)
    {
        early_peer peer(response_with_status("413"), early_end::fin, 1);
        auto const answer = upload(peer, bytes);
        ASSERT_TRUE(answer.end);
        EXPECT_TRUE(answer.end->is_complete) << bytes;
        EXPECT_EQ(answer.status, 413);
        EXPECT_EQ(answer.body, "ok");
    }
}

// Status 000 reached callers of another system as a response.
TEST(early_responses, a_status_that_is_none_is_no_response)
{
    for (auto const& status : invalid_statuses())
    {
        early_peer peer(response_with_status(status), early_end::fin, 1);
        auto const answer = upload(peer, 1);
        ASSERT_TRUE(answer.end);
        EXPECT_FALSE(answer.end->is_complete) << status;
        EXPECT_EQ(answer.status, 0) << status;
        EXPECT_EQ(answer.body, "") << status;
    }
}

TEST(early_responses, the_first_and_the_last_status_are_responses)
{
    for (int const status : {200, 299, 599})
    {
        early_peer peer(response_with_status(std::to_string(status)),
                        early_end::fin, 1);
        auto const answer = upload(peer, 1);
        ASSERT_TRUE(answer.end);
        EXPECT_TRUE(answer.end->is_complete) << status;
        EXPECT_EQ(answer.status, status);
    }
}

} // namespace jujubestand::http1
