#include <jujubestand/entry/entry.hpp>

#include <algorithm>
#include <jujubestand/entry/entry_state.hpp>
#include <jujubestand/process/caller_limits.hpp>
#include <jujubestand/quarantine/call_keys.hpp>
#include <prometheus/counter.h>

namespace jujubestand::entry
{

namespace
{

http::server_options server_options_of(process::context& shared)
{
    auto options = process::server_options_of(shared.settings);
    options.refusal_of = [&shared](reason const& why)
    {
        problem refused;
        refused.request = process::next_request_id(shared);
        refused.why = why;
        auto told = to_answer(refused);
        return http1::server_refusal{told.status, std::move(told.headers),
                                     std::move(told.body)};
    };
    return options;
}

} // namespace

entry::state::state(process::context& context)
    : shared(&context)
    , counts(context.metrics)
    , links(context.base, process::node_options_of(context), context.clock)
    , front(context.base, server_options_of(context))
    , platform_http(context.base)
    , list(context.base, this->platform_http, process::list_options_of(context))
    , log(context.base, this->platform_http, process::log_options_of(context))
    , tables(context, this->log, this->links)
    , reader(static_cast<std::size_t>(context.settings.json_depth_limit))
{
    this->intake.teams = make_team_table(context.settings.teams);
    this->intake.body_limit_bytes =
        static_cast<std::size_t>(context.settings.body_limit_bytes);
    this->intake.has_pins = context.settings.pin_header != 0;
    this->connect_signals();
}

void entry::state::connect_signals()
{
    this->front.requested.connect(sigc::mem_fun(*this, &state::on_request));
    this->front.refused.connect(sigc::mem_fun(*this, &state::on_no_room));
    this->front.limited.connect(
        [this](http1::limited_clients const& limited)
        {
            process::note_limited(*this->shared, limited);
        });
    this->front.closed.connect(sigc::mem_fun(*this, &state::on_caller_closed));
    this->front.drained.connect(
        sigc::mem_fun(*this, &state::on_caller_drained));
    this->links.received.connect(sigc::mem_fun(*this, &state::on_frame));
    this->links.closed.connect(sigc::mem_fun(*this, &state::on_stream_closed));
    this->links.noted.connect(
        [this](event_note const& what)
        {
            this->shared->noted.emit(what);
        });
    this->log.noted.connect(
        [this](event_note const& what)
        {
            this->shared->noted.emit(what);
        });
    this->list.received.connect(sigc::mem_fun(*this, &state::on_list));
    this->list.received.connect(
        sigc::mem_fun(this->tables, &process::table_reader::on_list));
}

admin::readiness entry::state::readiness() const
{
    if (this->is_draining)
        return {false, "draining"};
    if (this->tables.in_force().version == log_offset{})
        return {false, "no tables: neither the log nor a peer has answered"};
    if (this->upstreams.empty())
        return {false, "no upstream is known"};
    return {true, {}};
}

void entry::state::on_request(http::caller_id caller,
                              http::request const& asked)
{
    this->counts.open(this->calls.size());
    auto const own =
        admin::answer_common(*this->shared, asked, this->readiness());
    if (own)
    {
        this->front.reply(caller, own->status,
                          {{"Content-Type", own->content_type}}, own->body);
        return;
    }
    this->accept(caller, asked);
}

void entry::state::on_no_room(http::caller_id caller)
{
    constexpr std::uint64_t retry_after_us = 1'000'000;
    problem refused;
    refused.request = process::next_request_id(*this->shared);
    refused.why = {reason_code::entry_full, "no room for the request", {}};
    refused.retry_after_us = retry_after_us;
    this->counts.refused(refused.why.code);
    auto const told = to_answer(refused);
    this->front.reply(caller, told.status, told.headers, told.body);
}

void entry::state::accept(http::caller_id caller, http::request const& asked)
{
    request_id const id = process::next_request_id(*this->shared);
    problem refused;
    refused.request = id;
    std::optional<accepted> taken;
    auto const limit =
        static_cast<std::size_t>(this->shared->settings.calls_limit);
    if (this->refuses_new)
        refused.why = {reason_code::draining, "this entry is stopping", {}};
    else if (this->calls.size() >= limit)
        refused.why = {reason_code::entry_full, "too many open requests", {}};
    else
        taken = take_in(this->intake, this->tables.store(), this->reader, asked,
                        id, refused.why);
    if (!taken)
    {
        process::note(*this->shared, event_number::request_refused, id, {},
                      {{"reason", to_text(refused.why)}});
        this->counts.refused(refused.why.code);
        auto const told = to_answer(refused);
        this->front.reply(caller, told.status, told.headers, told.body);
        return;
    }
    call next;
    next.caller = caller;
    next.request = std::move(*taken);
    next.body = asked.body;
    auto const& message = next.request.message;
    next.suspects = quarantine::keys_of_call(
        message.team, message.route, message.body_digest, message.parts);
    next.arrived = mono_now();
    next.deadline = next.arrived +
                    std::chrono::milliseconds(next.request.route.deadline_ms);
    process::note(
        *this->shared, event_number::request_accepted, id,
        next.request.message.team,
        {{"route", next.request.route.id.text},
         {"tokens", std::to_string(next.request.message.prompt_tokens)}});
    call_id const added = this->calls.insert(std::move(next));
    this->by_caller[key_of(caller)] = added;
    call& placed = *this->calls.find(added);
    this->begin_relay(placed);
    placed.deadline_timer.emplace(this->shared->base,
                                  [this, added]
                                  {
                                      this->on_deadline(added);
                                  });
    placed.deadline_timer->start(placed.deadline - placed.arrived);
    retries::record_request(this->budget, this->retry_options, placed.arrived);
    this->try_next(added);
}

void entry::state::on_caller_closed(http::caller_id caller)
{
    auto const found = this->by_caller.find(key_of(caller));
    if (found == this->by_caller.end())
        return;
    call_id const id = found->second;
    call& gone = *this->calls.find(id);
    process::note(*this->shared, event_number::caller_closed,
                  gone.request.message.request, gone.request.message.team, {});
    this->end_probes(gone);
    this->end_attempt(gone);
    this->drop(id);
}

void entry::state::drop(call_id id)
{
    call* found = this->calls.find(id);
    if (found == nullptr)
        return;
    this->by_caller.erase(key_of(found->caller));
    if (found->current)
        this->by_stream.erase(key_of(found->current->stream));
    this->calls.erase(id);
}

void entry::state::on_list(platform::instance_list const& read)
{
    process::take_list(this->crashes.targets, read,
                       this->shared->settings.instance);
    this->upstreams.clear();
    ++this->list_version;
    for (auto const& row : read.instances)
    {
        if (row.role != platform::listed_role::sidecar)
            continue;
        bool const is_leaving = row.state == platform::listed_state::leaving;
        this->upstreams[row.upstream] =
            upstream_place{row.upstream, row.data_centre, row.link, is_leaving};
    }
}

entry::entry(process::context& shared)
    : self(std::make_unique<state>(shared))
{
}

entry::~entry() = default;

std::optional<process::listening> entry::start(reason& why)
{
    auto where = process::listen(this->self->shared->settings,
                                 this->self->front, this->self->links, why);
    if (!where)
        return std::nullopt;
    this->self->list.start();
    this->self->tables.start();
    this->self->start_reviews();
    return where;
}

void entry::drain()
{
    if (this->self->is_draining)
        return;
    this->self->is_draining = true;
    auto* own = this->self.get();
    own->notice_timer.emplace(own->shared->base,
                              [own]
                              {
                                  own->refuses_new = true;
                              });
    own->notice_timer->start(
        std::chrono::milliseconds(own->shared->settings.drain_notice_ms));
}

bool entry::is_drained() const
{
    return this->self->refuses_new && this->self->calls.size() == 0 &&
           this->self->front.open_callers() == 0;
}

std::size_t entry::open_calls() const
{
    return this->self->calls.size();
}

} // namespace jujubestand::entry
