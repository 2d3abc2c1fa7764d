#include <csignal>
#include <gtest/gtest.h>
#include <jujubestand/http1/test/early_peer.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <string>

// Servers that respond before the request is whole, and servers with statuses
// that HTTP doesn't have, for the client of the platform's services.
namespace jujubestand::platform
{

namespace
{

http_result upload(http1::early_peer const& peer, std::size_t bytes)
{
    // As the programs do: a peer that leaves is told by the write.
    std::signal(SIGPIPE, SIG_IGN);
    http1::loop_base const base{event_base_new()};
    http_client caller(base.get());
    http_request request;
    request.server = peer.where;
    request.method = http_method::post;
    request.target = "/";
    request.body = std::string(bytes, 'u');
    request.timeout = std::chrono::milliseconds{2'000};
    http_result result;
    (void)caller.start(request,
                       [&](http_result const& told)
                       {
                           result = told;
                           event_base_loopbreak(base.get());
                       });
    event_base_dispatch(base.get());
    return result;
}

} // namespace

// Guards against a part of a response that is taken for a whole one, as a
// client of another system did.
TEST(early_responses, a_part_of_a_response_during_an_upload_is_no_result)
{
    constexpr int rounds = 5;
    for (auto const how : http1::early_ends)
    {
        for (auto const bytes : http1::upload_sizes)
        {
            for (int round = 0; round < rounds; ++round)
            {
                http1::early_peer peer(http1::early_part, how, 1);
                peer.end();
                auto const result = upload(peer, bytes);
                EXPECT_EQ(result.status, 0)
                    << static_cast<int>(how) << ' ' << bytes;
                EXPECT_NE(result.why.code, reason_code::none);
            }
        }
    }
}

// Guards the above against refusing sound responses.
TEST(early_responses, a_response_without_a_length_to_a_whole_upload_is_a_result)
{
    for (auto const bytes : http1::upload_sizes)
    {
        http1::early_peer peer(http1::early_part, http1::early_end::fin, bytes);
        peer.end();
        auto const result = upload(peer, bytes);
        EXPECT_EQ(result.status, 200) << bytes;
        EXPECT_EQ(result.body, "part");
    }
}

// Status 000 reached callers of another system as a response.
TEST(early_responses, a_status_that_is_none_is_no_result)
{
    for (auto const& status : http1::invalid_statuses())
    {
        http1::early_peer peer(http1::response_with_status(status),
                               http1::early_end::fin, 1);
        auto const result = upload(peer, 1);
        EXPECT_EQ(result.status, 0) << status;
        EXPECT_NE(result.why.code, reason_code::none) << status;
    }
}

TEST(early_responses, the_first_and_the_last_status_are_results)
{
    for (int const status : {200, 299, 599})
    {
        http1::early_peer peer(
            http1::response_with_status(std::to_string(status)),
            http1::early_end::fin, 1);
        EXPECT_EQ(upload(peer, 1).status, status);
    }
}

} // namespace jujubestand::platform
