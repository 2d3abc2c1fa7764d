#include <standins/support/http_client.hpp>

#include <event2/buffer.h>
#include <memory>

namespace jujubestand::standins
{

namespace
{

struct pending_fetch
{
    std::function<void(fetch_result)> done;
};

void finish_fetch(evhttp_request* request, void* context)
{
    std::unique_ptr<pending_fetch> const pending(
        static_cast<pending_fetch*>(context));
    fetch_result result;
    if (request != nullptr)
    {
        result.status = evhttp_request_get_response_code(request);
        evbuffer* const input = evhttp_request_get_input_buffer(request);
        result.body.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, result.body.data(), result.body.size());
    }
    pending->done(std::move(result));
}

} // namespace

void fetch(event_base* base, fetch_request const& request,
           std::function<void(fetch_result)> done)
{
    auto* const connection = evhttp_connection_base_new(
        base, nullptr, request.where.host.c_str(), request.where.port);
    evhttp_connection_set_retries(connection, 0);
    timeval const limit{request.timeout.count() / 1'000,
                        request.timeout.count() % 1'000 * 1'000};
    evhttp_connection_set_timeout_tv(connection, &limit);
    evhttp_connection_free_on_completion(connection);
    auto pending = std::make_unique<pending_fetch>();
    pending->done = std::move(done);
    auto* const outgoing = evhttp_request_new(finish_fetch, pending.release());
    auto* const headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", to_text(request.where).c_str());
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(outgoing),
                 request.body.data(), request.body.size());
    evhttp_make_request(connection, outgoing, request.method,
                        request.path.c_str());
}

} // namespace jujubestand::standins
