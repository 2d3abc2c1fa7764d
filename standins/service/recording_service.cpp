#include <standins/service/recording_service.hpp>

#include <algorithm>
#include <standins/support/stray_answers.hpp>
#include <utility>

namespace jujubestand::standins
{

namespace
{

constexpr std::chrono::milliseconds longest_work{40};

constexpr std::string_view stray_refusal_bytes =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

} // namespace

recording_service::recording_service(event_base* loop, address const& where,
                                     std::uint64_t seed, service_faults chosen,
                                     service_events callbacks)
    : faults(chosen)
    , events(std::move(callbacks))
    , random(seed)
    , server(loop, where)
    , held(loop)
    , later(loop)
{
    this->server.on(EVHTTP_REQ_POST, "/",
                    [this](http_call const& call)
                    {
                        this->answer(call);
                    });
}

void recording_service::name_limit(std::string text)
{
    this->words.limit = std::move(text);
}

void recording_service::state_leaving()
{
    this->words.is_leaving = true;
}

void recording_service::ask_for_pause(std::string retry_after)
{
    this->words.pause = std::move(retry_after);
}

void recording_service::sign(evhttp_request* request,
                             std::string const& id) const
{
    auto* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "X-Request-Id", id.c_str());
    evhttp_add_header(headers, "X-Response-Stamp", "books");
    add_words(request, this->words);
}

std::string recording_service::scope_of(evhttp_request* request) const
{
    if (this->faults.copies == copy_scope::any_connection)
        return {};
    char* host = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &host,
                               &port);
    return to_text({host, port});
}

address recording_service::bound() const
{
    return this->server.bound();
}

void recording_service::answer(http_call const& call)
{
    auto const id = call.header("X-Request-Id");
    this->events.arrived(id);
    if (!this->words.pause.empty())
    {
        this->sign(call.request, id);
        refuse_for_pause(call.request, this->words.pause);
        return;
    }
    double luck = std::uniform_real_distribution<double>()(this->random);
    luck -= this->faults.refused;
    if (luck < 0)
    {
        this->sign(call.request, id);
        this->refused_ids[this->scope_of(call.request)].push_back(id);
        evhttp_add_header(evhttp_request_get_output_headers(call.request),
                          "X-Not-Executed", "1");
        reply(call.request, HTTP_SERVUNAVAIL, "");
        return;
    }
    luck -= this->faults.cut_unrun;
    if (luck < 0)
    {
        this->held.cut_off(call.request);
        return;
    }
    if (this->faults.stray_refusal > 0 &&
        std::uniform_real_distribution<double>()(this->random) <
            this->faults.stray_refusal)
        write_raw(call.request, stray_refusal_bytes);
    this->copy_refusal(call, id);
    std::uniform_int_distribution<std::int64_t> work_ms(0,
                                                        longest_work.count());
    auto const held_call = this->held.hold(call.request, longest_hold, cut);
    this->later.run(std::chrono::milliseconds{work_ms(this->random)},
                    [this, held_call, id, luck]
                    {
                        this->run(held_call, id, luck);
                    });
}

void recording_service::copy_refusal(http_call const& call,
                                     std::string const& id)
{
    auto const refused = this->refused_ids.find(this->scope_of(call.request));
    if (this->faults.repeated_refusal <= 0 ||
        refused == this->refused_ids.end() ||
        std::uniform_real_distribution<double>()(this->random) >=
            this->faults.repeated_refusal)
        return;
    auto const& ids = refused->second;
    bool const is_own = std::find(ids.begin(), ids.end(), id) != ids.end();
    write_raw(call.request, refusal_of(is_own ? id : ids.back()));
}

// A call runs even if its caller has left, as a booking does.
void recording_service::run(std::uint64_t held_call, std::string const& id,
                            double luck)
{
    this->events.run(id);
    auto* const request = this->held.take(held_call);
    if (request == nullptr)
        return;
    luck -= this->faults.cut_run;
    if (luck < 0)
    {
        this->held.cut_off(request);
        return;
    }
    this->sign(request, id);
    bool const is_failed = luck < this->faults.failed;
    reply(request, is_failed ? HTTP_INTERNAL : HTTP_OK, "done");
}

} // namespace jujubestand::standins
