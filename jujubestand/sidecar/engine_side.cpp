// What the sidecar learns of its engine, and what it tells of it.

#include <jujubestand/admission/start_limit.hpp>
#include <jujubestand/sidecar/sidecar_state.hpp>
#include <jujubestand/traffic/stated_limit.hpp>

namespace jujubestand::sidecar
{

void sidecar::state::watch_engine()
{
    auto const& read = this->shared->settings;
    if (read.kind != settings::upstream_kind::engine)
        return;
    this->watch.emplace(this->shared->base, *read.upstream_address,
                        std::chrono::milliseconds(read.load_poll_ms));
    this->watch->reported.connect(sigc::mem_fun(*this, &state::on_report));
    this->watch->headed.connect(
        [this](http::response_head const& head)
        {
            this->note_limit(head, true);
        });
    this->watch->changed.connect(sigc::mem_fun(*this, &state::on_cache_event));
    this->watch->lost.connect(
        [this](reason const& why)
        {
            take_loss(this->engine);
            if (why.code == reason_code::upstream_unreachable)
                this->record_engine_lost();
        });
    this->watch->start();
}

// Reports may state the limit and answers not, or the reverse: only the kind
// that named it can end it.
void sidecar::state::note_limit(http::response_head const& head, bool is_report)
{
    using traffic::limit_statement;
    auto const stated =
        traffic::read_limit(head.headers, this->shared->settings.limit_header);
    bool const is_named = stated.statement == limit_statement::named;
    bool const is_end = stated.statement == limit_statement::none &&
                        this->is_limit_of_reports == is_report;
    if (!is_named && !is_end)
        return;
    limits::statement own;
    own.stated_at = wall_now();
    if (is_named)
    {
        own.calls_per_second = stated.calls_per_second;
        this->is_limit_of_reports = is_report;
    }
    auto const change = admission::apply_limit(this->queue, own, mono_now());
    if (change == limits::limit_change::none)
        return;
    process::note(
        *this->shared, event_number::limit_changed, {}, {},
        {{"upstream", this->shared->settings.upstream.text},
         {"change", std::string(to_name(limits::limit_change_names, change))},
         {"per_second", to_text(stated)},
         {"source", "answer"}});
    this->wait_for_expiry();
}

void sidecar::state::on_report(engine_report const& report)
{
    bool const is_new = take_report(this->engine, report, mono_now());
    prefix::set_engine(this->belief, report.incarnation,
                       report.weights_version);
    admission::apply_report(this->queue,
                            {report.slots, report.prefill_us_per_token});
    if (is_new)
    {
        this->queue.limit.reset();
        this->record_engine_lost();
    }
    this->record_engine_alive(true);
    if (is_new)
        process::note(
            *this->shared, event_number::engine_restarted, {}, {},
            {{"upstream", this->shared->settings.upstream.text},
             {"incarnation", std::to_string(report.incarnation.value)}});
}

void sidecar::state::on_cache_event(cache_event const& event)
{
    bool const is_gap = std::visit(
        [this](auto const& each)
        {
            return prefix::take_event(this->belief, each);
        },
        event);
    if (is_gap)
        process::note(
            *this->shared, event_number::cache_events_gap, {}, {},
            {{"upstream", this->shared->settings.upstream.text},
             {"lost_so_far", std::to_string(this->belief.events_lost)}});
}

void sidecar::state::on_probe(link::stream_id stream, link::frame const& frame)
{
    reason why;
    auto const asked = link::from_frame<link::probe>(frame, why);
    if (!asked)
    {
        this->links.reset(stream);
        return;
    }
    this->links.send(stream, link::to_frame(this->reply_to(*asked)));
    this->links.finish(stream);
}

link::probe_reply sidecar::state::reply_to(link::probe const& asked) const
{
    mono_time const now = mono_now();
    bool const is_engine = this->watch.has_value();
    link::probe_reply reply;
    describe(this->engine, reply, now);
    reply.upstream = this->shared->settings.upstream;
    reply.incarnation = this->shared->incarnation;
    reply.leaving = this->is_draining;
    reply.ready = !this->is_draining && (!is_engine || is_usable(this->engine));
    reply.cached_tokens =
        prefix::cached_tokens(this->belief, chain_of(asked), now);
    reply.queued_tokens =
        static_cast<std::uint32_t>(this->queue.waiting_tokens);
    reply.queued_requests =
        static_cast<std::uint32_t>(this->queue.waiting.size());
    reply.running_requests =
        static_cast<std::uint32_t>(this->queue.running.size());
    reply.slots = this->queue.slots;
    reply.queue_wait_us = static_cast<std::uint64_t>(
        admission::expected_wait(this->queue, asked.priority, now).count());
    reply.prefill_us_per_token = this->queue.prefill_us_per_token;
    reply.tables = this->tables.in_force().version;
    return reply;
}

} // namespace jujubestand::sidecar
