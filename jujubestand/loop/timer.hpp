#ifndef JUJUBESTAND_LOOP_TIMER_HPP
#define JUJUBESTAND_LOOP_TIMER_HPP

#include <chrono>
#include <functional>
#include <memory>

struct event_base;

namespace jujubestand::loop
{

/// \brief One timer on libevent's loop; its end stops it.
class timer
{
public:
    /// \param base the process's loop; must outlive the timer
    /// \param fired called from the loop each time the timer fires
    timer(event_base* base, std::function<void()> fired);
    ~timer();
    timer(timer&&) noexcept;
    timer& operator=(timer&&) noexcept;
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    /// \brief Fires once after `delay`; replaces an earlier start.
    void start(std::chrono::microseconds delay);

    /// \brief Fires every `period`; replaces an earlier start.
    void start_every(std::chrono::microseconds period);

    /// \brief Fires no more until started again.
    void stop();

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::loop

#endif
