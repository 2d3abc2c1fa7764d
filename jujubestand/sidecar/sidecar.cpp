#include <jujubestand/sidecar/sidecar.hpp>

#include <jujubestand/process/caller_limits.hpp>
#include <jujubestand/sidecar/sidecar_state.hpp>

namespace jujubestand::sidecar
{

namespace
{

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

http::client_options client_options_of(settings::settings const& read)
{
    http::client_options options;
    options.body_limit_bytes =
        static_cast<std::size_t>(read.answer_limit_bytes);
    options.kept_limit_bytes = static_cast<std::size_t>(read.held_limit_bytes);
    options.connect_timeout =
        std::chrono::milliseconds(read.connect_timeout_ms);
    options.read_timeout = std::chrono::milliseconds(read.upstream_timeout_ms);
    return options;
}

admission::queue_options queue_options_of(settings::settings const& read)
{
    admission::queue_options options;
    options.ahead_tokens = static_cast<std::uint64_t>(read.ahead_tokens);
    options.waiting_limit = static_cast<std::size_t>(read.queue_requests);
    options.waiting_tokens_limit =
        static_cast<std::uint64_t>(read.queue_tokens);
    options.slots = static_cast<std::uint32_t>(read.slots);
    return options;
}

streams::replay_limits replay_limits_of(settings::settings const& read)
{
    streams::replay_limits limits;
    limits.handed_bytes = static_cast<std::size_t>(read.replay_window_bytes);
    limits.kept_for = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::milliseconds(read.replay_keep_ms));
    return limits;
}

} // namespace

sidecar::state::state(process::context& context)
    : shared(&context)
    , links(context.base, process::node_options_of(context), context.clock)
    , answers(context.base, this->links, replay_limits_of(context.settings))
    , front(context.base, process::server_options_of(context.settings))
    , upstream(context.base, client_options_of(context.settings))
    , platform_http(context.base)
    , log(context.base, this->platform_http, process::log_options_of(context))
    , tables(context, this->log, this->links)
    , claims(context, this->log, claim_options_of(context))
    , list(context.base, this->platform_http, process::list_options_of(context))
    , queue(queue_options_of(context.settings))
    , expiry_timer(context.base,
                   [this]
                   {
                       this->pump();
                   })
{
    this->connect_signals();
}

void sidecar::state::connect_signals()
{
    this->connect_claims();
    this->front.requested.connect(sigc::mem_fun(*this, &state::on_http));
    this->front.refused.connect(
        [this](http::caller_id caller)
        {
            this->front.reply(caller, status_unavailable, {},
                              "no room for the request\n");
        });
    this->front.limited.connect(
        [this](http1::limited_clients const& limited)
        {
            process::note_limited(*this->shared, limited);
        });
    this->links.received.connect(sigc::mem_fun(*this, &state::on_frame));
    this->links.drained.connect(
        [this](link::stream_id stream)
        {
            this->answers.go_on(stream);
        });
    this->links.closed.connect(sigc::mem_fun(*this, &state::on_link_closed));
    this->answers.has_room.connect(sigc::mem_fun(*this, &state::on_room));
    this->answers.abandoned.connect(sigc::mem_fun(*this, &state::on_abandoned));
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
    this->list.received.connect(
        sigc::mem_fun(this->tables, &process::table_reader::on_list));
    this->list.received.connect(
        [this](platform::instance_list const& read)
        {
            process::take_list(this->news_targets, read,
                               this->shared->settings.instance);
        });
    this->upstream.head.connect(sigc::mem_fun(*this, &state::on_head));
    this->upstream.data.connect(sigc::mem_fun(*this, &state::on_data));
    this->upstream.ended.connect(sigc::mem_fun(*this, &state::on_ended));
}

admin::readiness sidecar::state::readiness() const
{
    if (this->is_draining)
        return {false, "draining"};
    if (this->tables.in_force().version == log_offset{})
        return {false, "no tables: neither the log nor a peer has answered"};
    return {true, {}};
}

void sidecar::state::on_http(http::caller_id caller, http::request const& asked)
{
    auto const own =
        admin::answer_common(*this->shared, asked, this->readiness());
    if (own)
        this->front.reply(caller, own->status,
                          {{"Content-Type", own->content_type}}, own->body);
    else
        this->front.reply(caller, status_not_found, {}, "not found\n");
}

sidecar::sidecar(process::context& shared)
    : self(std::make_unique<state>(shared))
{
}

sidecar::~sidecar() = default;

std::optional<process::listening> sidecar::start(reason& why)
{
    auto where = process::listen(this->self->shared->settings,
                                 this->self->front, this->self->links, why);
    if (!where)
        return std::nullopt;
    this->self->list.start();
    this->self->tables.start();
    this->self->watch_engine();
    return where;
}

void sidecar::drain()
{
    this->self->is_draining = true;
}

bool sidecar::is_drained() const
{
    return this->self->is_draining && this->self->calls.size() == 0 &&
           this->self->answers.open_answers() == 0 &&
           !this->self->claims.has_unwritten();
}

std::size_t sidecar::open_calls() const
{
    return this->self->calls.size();
}

} // namespace jujubestand::sidecar
