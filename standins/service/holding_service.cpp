#include <standins/service/holding_service.hpp>

#include <utility>

namespace jujubestand::standins
{

holding_service::holding_service(event_base* loop, address const& where,
                                 holding_events callbacks)
    : events(std::move(callbacks))
    , server(loop, where)
{
    this->server.on(EVHTTP_REQ_POST, "/",
                    [this](http_call const& call)
                    {
                        this->hold(call);
                    });
}

holding_service::~holding_service()
{
    for (auto& [id, call] : this->held)
        unwatch_close(call.request);
}

void holding_service::copy_refusals(copy_scope scope)
{
    this->copies = refusal_copies{scope};
}

address holding_service::bound() const
{
    return this->server.bound();
}

void holding_service::hold(http_call const& call)
{
    auto const id = call.header("X-Request-Id");
    this->events.arrived(id);
    if (this->copies && !this->copies->calls.contains(id))
    {
        refuse(*this->copies, call.request, id);
        return;
    }
    if (this->copies && may_copy(*this->copies, call.request, id))
        write_copy(call.request, id);
    auto& added = this->held[id];
    added.request = call.request;
    added.gone = [this, id]
    {
        this->end(id);
    };
    watch_close(call.request, &added.gone);
}

void holding_service::end(std::string const& id)
{
    auto const found = this->held.find(id);
    if (found == this->held.end())
        return;
    auto* const request = found->second.request;
    this->held.erase(found);
    evhttp_send_reply_end(request);
    this->events.left(id);
}

void holding_service::answer_all()
{
    for (auto const& [id, call] : std::exchange(this->held, {}))
    {
        unwatch_close(call.request);
        auto* const headers = evhttp_request_get_output_headers(call.request);
        evhttp_add_header(headers, "X-Request-Id", id.c_str());
        evhttp_add_header(headers, "X-Response-Stamp", "books");
        reply(call.request, HTTP_OK, "done");
    }
}

} // namespace jujubestand::standins
