#include <jujubestand/process/daemon.hpp>

#include <csignal>
#include <event2/event.h>
#include <iostream>
#include <jujubestand/entry/entry.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/process/context.hpp>
#include <jujubestand/process/log_sink.hpp>
#include <jujubestand/sidecar/sidecar.hpp>
#include <memory>

namespace jujubestand::process
{

namespace
{

constexpr std::chrono::milliseconds drain_check_period{20};

// What the two roles have in common, as far as the daemon is concerned.
struct duty
{
    std::unique_ptr<entry::entry> entry;
    std::unique_ptr<sidecar::sidecar> sidecar;
};

struct running
{
    context shared;
    duty work;
    event* terminate = nullptr;
    event* interrupt = nullptr;
    event* hangup = nullptr;
    std::unique_ptr<loop::timer> drain_check;
    mono_time drain_began{};
    bool is_draining = false;
    exit_code result = exit_code::stopped;
};

bool is_drained(duty const& work)
{
    return work.entry ? work.entry->is_drained() : work.sidecar->is_drained();
}

std::size_t open_calls(duty const& work)
{
    return work.entry ? work.entry->open_calls() : work.sidecar->open_calls();
}

void cut(running& process, std::string const& why)
{
    note(process.shared, event_number::drain_cut, {}, {},
         {{"why", why},
          {"open_calls", std::to_string(open_calls(process.work))}});
    process.result = open_calls(process.work) == 0 ? exit_code::stopped
                                                   : exit_code::drain_cut;
    event_base_loopbreak(process.shared.base);
}

void check_drain(running& process)
{
    auto const limit =
        std::chrono::milliseconds(process.shared.settings.drain_limit_ms);
    if (is_drained(process.work))
    {
        note(process.shared, event_number::drain_finished, {}, {}, {});
        event_base_loopbreak(process.shared.base);
    }
    else if (mono_now() - process.drain_began > limit)
        cut(process, "the limit of the drain has passed");
}

void on_signal(evutil_socket_t, short, void* argument)
{
    auto& process = *static_cast<running*>(argument);
    if (process.is_draining)
    {
        cut(process, "a second signal");
        return;
    }
    process.is_draining = true;
    process.drain_began = mono_now();
    note(process.shared, event_number::drain_started, {}, {},
         {{"open_calls", std::to_string(open_calls(process.work))}});
    if (process.work.entry)
        process.work.entry->drain();
    else
        process.work.sidecar->drain();
    process.drain_check->start_every(drain_check_period);
}

// Settings are read at the start only; without a handler the signal would end
// the process.
void on_hangup(evutil_socket_t, short, void* argument)
{
    auto& process = *static_cast<running*>(argument);
    note(process.shared, event_number::settings_reloaded, {}, {}, {});
}

void say_ready(running& process, listening const& where)
{
    auto const& read = process.shared.settings;
    note(process.shared, event_number::process_ready, {}, {},
         {{"instance", read.instance.text},
          {"http", to_text(where.http)},
          {"link", to_text(where.link)}});
    std::cout << "ready http=" << to_text(where.http)
              << " link=" << to_text(where.link) << std::endl;
}

std::optional<listening> start_role(running& process, settings::role role,
                                    reason& why)
{
    if (role == settings::role::entry)
    {
        process.work.entry = std::make_unique<entry::entry>(process.shared);
        return process.work.entry->start(why);
    }
    process.work.sidecar = std::make_unique<sidecar::sidecar>(process.shared);
    return process.work.sidecar->start(why);
}

bool start_duty(running& process, settings::role role)
{
    reason why;
    auto const where = start_role(process, role, why);
    if (where)
        say_ready(process, *where);
    else
        std::cerr << to_text(why) << '\n';
    return where.has_value();
}

} // namespace

exit_code run_daemon(settings::settings read, settings::role role)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto process = std::make_unique<running>();
    event_base* base = event_base_new();
    begin(process->shared, base, std::move(read), role);
    process->shared.noted.connect(sigc::ptr_fun(log_event));
    note(process->shared, event_number::process_started, {}, {},
         {{"role", std::string(to_name(settings::role_names, role))}});
    process->drain_check =
        std::make_unique<loop::timer>(base,
                                      [state = process.get()]
                                      {
                                          check_drain(*state);
                                      });
    process->terminate = evsignal_new(base, SIGTERM, on_signal, process.get());
    process->interrupt = evsignal_new(base, SIGINT, on_signal, process.get());
    process->hangup = evsignal_new(base, SIGHUP, on_hangup, process.get());
    event_add(process->hangup, nullptr);
    event_add(process->terminate, nullptr);
    event_add(process->interrupt, nullptr);
    if (start_duty(*process, role))
        event_base_dispatch(base);
    else
        process->result = exit_code::failed;
    exit_code const result = process->result;
    event_free(process->terminate);
    event_free(process->interrupt);
    event_free(process->hangup);
    process.reset();
    event_base_free(base);
    return result;
}

} // namespace jujubestand::process
