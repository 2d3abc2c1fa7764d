#include <standins/support/program.hpp>

#include <csignal>
#include <iostream>
#include <stdexcept>

namespace jujubestand::standins
{

namespace
{

void stop_loop(evutil_socket_t, short, void* context)
{
    event_base_loopbreak(static_cast<event_base*>(context));
}

} // namespace

// Without the flag, timers come in steps of whole milliseconds. A write to a
// cut connection must be an error, not the process's end.
base_ptr make_base()
{
    std::signal(SIGPIPE, SIG_IGN);
    event_config* const config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base_ptr base(event_base_new_with_config(config));
    event_config_free(config);
    if (!base)
        throw std::runtime_error("no event loop");
    return base;
}

address address_argument(std::string const& text)
{
    reason why;
    auto const where = parse_address(text, why);
    if (!where)
        throw std::runtime_error(why.text);
    return *where;
}

int serve(event_base* base, address const& bound)
{
    std::cout << "listening " << to_text(bound) << std::endl;
    return run_loop(base);
}

int run_loop(event_base* base)
{
    event_ptr const on_term(evsignal_new(base, SIGTERM, stop_loop, base));
    event_ptr const on_interrupt(evsignal_new(base, SIGINT, stop_loop, base));
    event_add(on_term.get(), nullptr);
    event_add(on_interrupt.get(), nullptr);
    return event_base_dispatch(base) < 0 ? 1 : 0;
}

int guarded_main(int argc, char** argv, int (*run)(int, char**))
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

bool overlay(nlohmann::json& current, nlohmann::json const& change,
             std::string& unknown)
{
    for (auto const& member : change.items())
    {
        if (!current.contains(member.key()))
        {
            unknown = member.key();
            return false;
        }
        current[member.key()] = member.value();
    }
    return true;
}

} // namespace jujubestand::standins
