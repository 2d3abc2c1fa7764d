#ifndef JUJUBESTAND_LOOP_SIGNALS_HPP
#define JUJUBESTAND_LOOP_SIGNALS_HPP

#include <functional>
#include <memory>
#include <vector>

struct event_base;

namespace jujubestand::loop
{

/// \brief A signal and what it does.
struct signal_action
{
    int number = 0;
    std::function<void()> received;
};

/// \brief Takes signals on libevent's loop until its end.
class signals
{
public:
    /// \param base the process's loop; must outlive this
    signals(event_base* base, std::vector<signal_action> actions);
    ~signals();
    signals(signals const&) = delete;
    signals& operator=(signals const&) = delete;
    signals(signals&&) = delete;
    signals& operator=(signals&&) = delete;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::loop

#endif
