#include <standins/support/delays.hpp>

#include <utility>

namespace jujubestand::standins
{

namespace
{

constexpr std::int64_t microseconds_per_second = 1'000'000;

timeval to_timeval(std::chrono::microseconds delay)
{
    return {delay.count() / microseconds_per_second,
            delay.count() % microseconds_per_second};
}

} // namespace

delays::delays(event_base* loop)
    : base(loop)
{
}

std::uint64_t delays::run(std::chrono::microseconds delay,
                          std::function<void()> action)
{
    std::uint64_t const id = this->next_id++;
    entry& added = this->entries[id];
    added.owner = this;
    added.id = id;
    added.action = std::move(action);
    added.timer.reset(evtimer_new(this->base, fire, &added));
    timeval const wait = to_timeval(delay);
    evtimer_add(added.timer.get(), &wait);
    return id;
}

void delays::drop(std::uint64_t id)
{
    this->entries.erase(id);
}

void delays::fire(evutil_socket_t, short, void* context)
{
    auto* due = static_cast<entry*>(context);
    delays* const owner = due->owner;
    auto const action = std::move(due->action);
    owner->entries.erase(due->id);
    action();
}

held_requests::held_requests(event_base* loop)
    : timers(loop)
{
}

held_requests::~held_requests()
{
    for (auto const& [id, held] : this->entries)
        unwatch_close(held.request);
}

std::uint64_t held_requests::hold(evhttp_request* request,
                                  std::chrono::microseconds delay,
                                  std::function<void(evhttp_request*)> due)
{
    std::uint64_t const id = this->next_id++;
    entry& held = this->entries[id];
    held.request = request;
    held.gone = [this, id]
    {
        auto* const left = this->take(id);
        if (left != nullptr)
            evhttp_send_reply_end(left);
    };
    held.delay = this->timers.run(delay,
                                  [this, id, due = std::move(due)]
                                  {
                                      auto* const waiting = this->take(id);
                                      if (waiting != nullptr)
                                          due(waiting);
                                  });
    watch_close(request, &held.gone);
    return id;
}

evhttp_request* held_requests::take(std::uint64_t id)
{
    auto const found = this->entries.find(id);
    if (found == this->entries.end())
        return nullptr;
    evhttp_request* const request = found->second.request;
    unwatch_close(request);
    this->timers.drop(found->second.delay);
    this->entries.erase(found);
    return request;
}

// Held until the connection's end has come round the loop, which frees it.
void held_requests::cut_off(evhttp_request* request)
{
    this->hold(request, longest_hold, cut);
    cut(request);
}

void held_requests::reply_after(evhttp_request* request,
                                std::chrono::microseconds delay, int status,
                                std::string body, char const* content_type)
{
    if (delay.count() <= 0)
        return reply(request, status, body, content_type);
    this->hold(
        request, delay,
        [status, body = std::move(body), content_type](evhttp_request* waiting)
        {
            reply(waiting, status, body, content_type);
        });
}

} // namespace jujubestand::standins
