#include <csignal>
#include <gtest/gtest.h>
#include <jujubestand/http/client.hpp>
#include <jujubestand/http1/test/early_peer.hpp>
#include <optional>
#include <string>

// Upstreams that respond before the request is whole, and upstreams with
// statuses that HTTP doesn't have, for the client of sidecars.
namespace jujubestand::http
{

namespace
{

struct received_answer
{
    int status = 0;
    std::string body;
    std::optional<exchange_end> end;
};

received_answer upload(http1::early_peer& peer, std::size_t bytes)
{
    // As the programs do: a peer that leaves is told by the write.
    std::signal(SIGPIPE, SIG_IGN);
    http1::loop_base const base{event_base_new()};
    client_options options;
    options.read_timeout = std::chrono::milliseconds{2'000};
    client caller(base.get(), options);
    received_answer result;
    caller.head.connect(
        [&](exchange_id, response_head const& head)
        {
            result.status = head.status;
        });
    caller.data.connect(
        [&](exchange_id, std::string const& part)
        {
            result.body += part;
            peer.end();
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
    sent.body = std::string(bytes, 'u');
    (void)caller.start(peer.where, sent);
    event_base_dispatch(base.get());
    return result;
}

} // namespace

// Guards against a part of a response that is taken for a whole one, as a
// client of another system did.
TEST(early_responses, a_part_of_a_response_during_an_upload_is_not_complete)
{
    constexpr int rounds = 5;
    for (auto const how : http1::early_ends)
    {
        for (auto const bytes : http1::upload_sizes)
        {
            for (int round = 0; round < rounds; ++round)
            {
                http1::early_peer peer(http1::early_part, how, 1);
                // evhttp reads nothing before its request is written.
                if (bytes > http1::upload_sizes[0])
                    peer.end();
                auto const answer = upload(peer, bytes);
                ASSERT_TRUE(answer.end);
                EXPECT_FALSE(answer.end->is_complete)
                    << static_cast<int>(how) << ' ' << bytes;
            }
        }
    }
}

// Guards the above against refusing sound responses.
TEST(early_responses, a_response_without_a_length_to_a_whole_upload_is_complete)
{
    for (auto const bytes : http1::upload_sizes)
    {
        http1::early_peer peer(http1::early_part, http1::early_end::fin, bytes);
        auto const answer = upload(peer, bytes);
        ASSERT_TRUE(answer.end);
        EXPECT_TRUE(answer.end->is_complete) << bytes;
        EXPECT_EQ(answer.body, "part");
    }
}

// Status 000 reached callers of another system as a response.
TEST(early_responses, a_status_that_is_none_is_no_response)
{
    for (auto const& status : http1::invalid_statuses())
    {
        http1::early_peer peer(http1::response_with_status(status),
                               http1::early_end::fin, 1);
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
        http1::early_peer peer(
            http1::response_with_status(std::to_string(status)),
            http1::early_end::fin, 1);
        auto const answer = upload(peer, 1);
        ASSERT_TRUE(answer.end);
        EXPECT_TRUE(answer.end->is_complete) << status;
        EXPECT_EQ(answer.status, status);
    }
}

} // namespace jujubestand::http
