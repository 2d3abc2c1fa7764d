#include <jujubestand/loop/signals.hpp>

#include <event2/event.h>
#include <utility>

namespace jujubestand::loop
{

namespace
{

void on_signal(evutil_socket_t /*number*/, short /*what*/, void* argument)
{
    static_cast<signal_action const*>(argument)->received();
}

struct event_deleter
{
    void operator()(event* owned) const noexcept
    {
        event_free(owned);
    }
};

} // namespace

// `actions` never changes, since libevent keeps the addresses of its rows.
struct signals::state
{
    std::vector<signal_action> actions;
    std::vector<std::unique_ptr<event, event_deleter>> handles;
};

signals::signals(event_base* base, std::vector<signal_action> actions)
    : self(std::make_unique<state>())
{
    this->self->actions = std::move(actions);
    for (auto& action : this->self->actions)
    {
        auto* const handle =
            evsignal_new(base, action.number, on_signal, &action);
        event_add(handle, nullptr);
        this->self->handles.emplace_back(handle);
    }
}

signals::~signals() = default;

} // namespace jujubestand::loop
