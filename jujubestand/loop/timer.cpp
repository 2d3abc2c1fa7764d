#include <jujubestand/loop/timer.hpp>

#include <event2/event.h>
#include <utility>

namespace jujubestand::loop
{

namespace
{

timeval to_timeval(std::chrono::microseconds span)
{
    auto const seconds = std::chrono::floor<std::chrono::seconds>(span);
    auto const rest = span - seconds;
    return timeval{static_cast<time_t>(seconds.count()),
                   static_cast<suseconds_t>(rest.count())};
}

} // namespace

// On the heap, since libevent keeps its address.
struct timer::state
{
    std::function<void()> fired;
    event* handle = nullptr;
    std::chrono::microseconds period{0};

    static void on_fire(evutil_socket_t, short, void* argument)
    {
        auto* self = static_cast<state*>(argument);
        if (self->period.count() > 0)
        {
            timeval const next = to_timeval(self->period);
            event_add(self->handle, &next);
        }
        // A copy: the call may end this timer.
        auto const call = self->fired;
        call();
    }
};

timer::timer(event_base* base, std::function<void()> fired)
    : self(std::make_unique<state>())
{
    this->self->fired = std::move(fired);
    this->self->handle =
        event_new(base, -1, 0, state::on_fire, this->self.get());
}

timer::~timer()
{
    if (this->self)
        event_free(this->self->handle);
}

timer::timer(timer&&) noexcept = default;

timer& timer::operator=(timer&& other) noexcept
{
    std::swap(this->self, other.self);
    return *this;
}

void timer::start(std::chrono::microseconds delay)
{
    this->self->period = std::chrono::microseconds{0};
    timeval const span = to_timeval(delay);
    event_add(this->self->handle, &span);
}

void timer::start_every(std::chrono::microseconds period)
{
    this->self->period = period;
    timeval const span = to_timeval(period);
    event_add(this->self->handle, &span);
}

void timer::stop()
{
    event_del(this->self->handle);
}

} // namespace jujubestand::loop
