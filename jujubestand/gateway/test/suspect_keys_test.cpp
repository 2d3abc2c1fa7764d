#include <gtest/gtest.h>
#include <jujubestand/gateway/crashes.hpp>
#include <platform/calls.hpp>

// Which calls count as the same one, when some of them crash upstreams.
namespace jujubestand::gateway
{

namespace
{

digest fingerprint_with(std::string const& parts)
{
    http1::server_request request;
    request.head.method = "POST";
    request.head.target = "/reply/2f";
    request.head.fields = {{"X-Model", "m1"}, {"X-Prompt-Prefix", parts}};
    request.body = "text";
    active_call call;
    call.caller_request = platform::read_call(std::move(request));
    EXPECT_FALSE(call.caller_request.asked);
    return suspect_keys_of(call).back().fingerprint;
}

} // namespace

// Calls that differ in prompts which can't be read counted as one: all of them
// were refused once one had crashed upstreams (LOST).
TEST(suspect_keys, calls_with_unreadable_prompts_are_told_apart)
{
    EXPECT_EQ(fingerprint_with("5c:800,?"), fingerprint_with("5c:800,?"));
    EXPECT_NE(fingerprint_with("5c:800,?"), fingerprint_with("5d:800,?"));
}

} // namespace jujubestand::gateway
