#include <event2/event.h>
#include <jujubestand/ctl/log_session.hpp>
#include <jujubestand/platform/libevent.hpp>
#include <random>

namespace jujubestand::ctl
{

namespace
{

struct base_deleter
{
    void operator()(event_base* owned) const noexcept
    {
        event_base_free(owned);
    }
};

platform::log_client_options options_for(address const& service,
                                         std::chrono::milliseconds timeout)
{
    platform::log_client_options options;
    options.service = service;
    options.append_timeout = timeout;
    options.poll_wait = std::chrono::milliseconds(1'000);
    options.backoff.limit = std::chrono::milliseconds(500);
    options.seed = std::random_device{}();
    return options;
}

} // namespace

struct log_session::state
{
    state(address const& service, std::chrono::milliseconds time)
        : base(event_base_new())
        , http(this->base.get())
        , log(this->base.get(), this->http, options_for(service, time))
        , timeout(time)
    {
    }

    std::unique_ptr<event_base, base_deleter> base;
    platform::http_client http;
    platform::log_client log;
    std::chrono::milliseconds timeout;
    config::fold known;
    std::vector<decided_edit> edits;
    bool at_end = false;
    std::string trouble;

    void on_batch(platform::log_batch const& batch);
    bool run_until(std::function<bool()> const& done) const;
    decided_edit const* find(request_id nonce) const;
};

void log_session::state::on_batch(platform::log_batch const& batch)
{
    for (auto const& read : batch.records)
    {
        for (auto& result : config::take(this->known, read))
            this->edits.push_back(
                {std::move(result), read.appended, this->known.content});
    }
    this->at_end = this->known.next >= batch.next;
}

bool log_session::state::run_until(std::function<bool()> const& done) const
{
    auto const limit = mono_now() + this->timeout;
    while (!done() && mono_now() < limit)
    {
        timeval const tick = platform::to_timeval(std::chrono::milliseconds(5));
        event_base_loopexit(this->base.get(), &tick);
        event_base_loop(this->base.get(), EVLOOP_ONCE);
    }
    return done();
}

decided_edit const* log_session::state::find(request_id nonce) const
{
    for (auto const& one : this->edits)
    {
        if (one.result.nonce == nonce)
            return &one;
    }
    return nullptr;
}

log_session::log_session(address const& service,
                         std::chrono::milliseconds timeout)
    : self(std::make_unique<state>(service, timeout))
{
    auto* const held = this->self.get();
    held->log.received.connect(
        [held](platform::tail_id, platform::log_batch const& batch)
        {
            held->on_batch(batch);
        });
    held->log.gap.connect(
        [held](platform::tail_id, log_offset first)
        {
            config::skip_lost(held->known, first);
        });
    held->log.noted.connect(
        [held](event_note const& note)
        {
            held->trouble = to_line(note);
        });
    held->log.tail(config::stream_name, log_offset{});
}

log_session::~log_session() = default;

exit_code log_session::read_to_end(reason& why)
{
    auto* const held = this->self.get();
    bool const read = held->run_until(
        [held]
        {
            return held->at_end;
        });
    if (!read)
    {
        why = {reason_code::log_unavailable,
               "no answer in time; " + held->trouble,
               {}};
        return exit_code::unreachable;
    }
    if (!config::is_decided(held->known))
    {
        why = {reason_code::log_truncated,
               "the log lost records that no snapshot covers; wait for a "
               "snapshot, or see log-outage.md",
               {}};
        return exit_code::refused;
    }
    return exit_code::done;
}

config::fold const& log_session::known() const noexcept
{
    return this->self->known;
}

std::vector<decided_edit> const& log_session::history() const noexcept
{
    return this->self->edits;
}

exit_code log_session::publish(std::string const& record, request_id nonce,
                               reason& why)
{
    auto* const held = this->self.get();
    std::optional<platform::append_result> end;
    auto const took = [&end](platform::append_result const& result)
    {
        end = result;
    };
    if (!held->log.append(config::stream_name,
                          platform::append_kind::configuration, record, took,
                          why))
        return exit_code::unreachable;
    // The answer may be lost and the record still be there: it is looked for
    // either way.
    held->run_until(
        [held, nonce, &end]
        {
            bool const is_refused =
                end && end->outcome == platform::append_outcome::refused;
            return is_refused || held->find(nonce) != nullptr;
        });
    auto const* found = held->find(nonce);
    if (found == nullptr)
    {
        bool const is_refused =
            end && end->outcome == platform::append_outcome::refused;
        why = end && !end->why.text.empty()
                  ? end->why
                  : reason{reason_code::log_unavailable, "not read back", {}};
        return is_refused ? exit_code::unreachable : exit_code::unknown;
    }
    why = found->result.why;
    if (found->result.outcome == config::edit_outcome::accepted)
        return exit_code::done;
    return found->result.outcome == config::edit_outcome::conflict
               ? exit_code::conflict
               : exit_code::refused;
}

} // namespace jujubestand::ctl
