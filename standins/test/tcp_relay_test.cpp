#include <gtest/gtest.h>
#include <standins/relay/tcp_relay.hpp>
#include <standins/support/http_client.hpp>
#include <standins/support/program.hpp>

namespace jujubestand::standins
{

// The server's end comes close behind its last bytes; a relay that closes
// before it has written them cuts the answer short.
TEST(tcp_relay, carries_what_was_sent_before_the_end)
{
    constexpr std::size_t count = 50;
    std::string const body(1'000, 'x');
    auto const base = make_base();
    address const any{"127.0.0.1", 0};
    http_server server(base.get(), any);
    server.on(EVHTTP_REQ_GET, "/",
              [&body](http_call const& call)
              {
                  evhttp_add_header(
                      evhttp_request_get_output_headers(call.request),
                      "Connection", "close");
                  reply(call.request, HTTP_OK, body);
              });
    relay_switches switches;
    switches.back_us = 5'000;
    tcp_relay const relay(base.get(), any, server.bound(), any, switches);
    std::size_t whole = 0;
    std::size_t ended = 0;
    for (std::size_t each = 0; each < count; ++each)
        fetch(base.get(), {relay.bound(), EVHTTP_REQ_GET, "/", {}},
              [&](fetch_result const& result)
              {
                  whole += result.body.size() == body.size() ? 1 : 0;
                  if (++ended == count)
                      event_base_loopbreak(base.get());
              });
    event_base_dispatch(base.get());
    EXPECT_EQ(whole, count);
}

} // namespace jujubestand::standins
