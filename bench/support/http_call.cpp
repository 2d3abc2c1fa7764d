#include <bench/support/http_call.hpp>

#include <event2/event.h>
#include <jujubestand/http/client.hpp>

namespace jujubestand::bench
{

http_answer call(event_base* base, address const& where,
                 std::string const& method, std::string const& path,
                 std::string const& body)
{
    http_answer answer;
    bool is_over = false;
    http::client client(base, http::client_options{});
    client.head.connect(
        [&](http::exchange_id, http::response_head const& head)
        {
            answer.status = head.status;
        });
    client.data.connect(
        [&](http::exchange_id, std::string const& bytes)
        {
            answer.body += bytes;
        });
    client.ended.connect(
        [&](http::exchange_id, http::exchange_end const& end)
        {
            is_over = true;
            if (!end.is_complete)
                answer.status = 0;
        });
    http::request asked;
    asked.method = method;
    asked.path = path;
    asked.body = body;
    auto const id = client.start(where, asked);
    static_cast<void>(id);
    while (!is_over)
        event_base_loop(base, EVLOOP_ONCE);
    return answer;
}

} // namespace jujubestand::bench
