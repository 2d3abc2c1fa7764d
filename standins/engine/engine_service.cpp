#include <standins/engine/engine_service.hpp>

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <standins/support/program.hpp>
#include <unistd.h>

namespace jujubestand::standins
{

namespace
{

constexpr int crash_exit_code = 134;
constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::size_t longest_name = 64;
constexpr std::int64_t microseconds_per_second = 1'000'000;

bool is_plain_name(std::string_view name)
{
    return !name.empty() && name.size() <= longest_name &&
           std::all_of(name.begin(), name.end(),
                       [](char letter)
                       {
                           return (letter >= '0' && letter <= '9') ||
                                  (letter >= 'a' && letter <= 'z') ||
                                  (letter >= 'A' && letter <= 'Z') ||
                                  letter == '-';
                       });
}

std::int64_t number_of(std::string const& text, std::int64_t otherwise)
{
    std::int64_t value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void reply_error(evhttp_request* request, int status, std::string const& text)
{
    nlohmann::json const body{{"error", {{"message", text}}}};
    reply(request, status, body.dump());
}

} // namespace

engine_service::engine_service(event_base* loop, address const& where,
                               engine_options chosen,
                               engine_switches const& initial)
    : base(loop)
    , options(std::move(chosen))
    , switches(initial)
    , server(loop, where)
    , held(loop)
    , later(loop)
    , feed(loop, this->options.incarnation, this->options.seed)
    , step_timer(evtimer_new(
          loop,
          [](evutil_socket_t, short, void* context)
          {
              static_cast<engine_service*>(context)->take_step();
          },
          this))
{
    this->model.costs = this->options.costs;
    this->model.cache.limit = this->options.costs.cache_blocks;
    this->install_handlers();
    this->sample_load();
}

engine_service::~engine_service()
{
    for (auto const& [id, target] : this->answers)
    {
        if (target.request != nullptr)
            unwatch_close(target.request);
    }
}

address engine_service::bound() const
{
    return this->server.bound();
}

void engine_service::install_handlers()
{
    this->server.on(EVHTTP_REQ_POST, "/v1/chat/completions",
                    [this](http_call const& call)
                    {
                        this->handle_completion(call, true);
                    });
    this->server.on(EVHTTP_REQ_POST, "/v1/completions",
                    [this](http_call const& call)
                    {
                        this->handle_completion(call, false);
                    });
    this->server.on(EVHTTP_REQ_GET, std::string(streams_prefix),
                    [this](http_call const& call)
                    {
                        this->handle_resume(call);
                    });
    this->server.on(EVHTTP_REQ_DELETE, std::string(streams_prefix),
                    [this](http_call const& call)
                    {
                        this->handle_cancel(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/load",
                    [this](http_call const& call)
                    {
                        reply(call.request, HTTP_OK, this->published_load);
                    });
    this->server.on(EVHTTP_REQ_GET, "/_stats",
                    [this](http_call const& call)
                    {
                        reply(call.request, HTTP_OK, this->stats_report());
                    });
    this->server.on(EVHTTP_REQ_GET, "/_orders",
                    [this](http_call const& call)
                    {
                        reply(call.request, HTTP_OK, this->orders.dump());
                    });
    this->server.on(EVHTTP_REQ_GET, "/kv_events",
                    [this](http_call const& call)
                    {
                        this->feed.subscribe(
                            call.request,
                            call.number("from", this->feed.newest() + 1),
                            call.number("exact", 0) != 0);
                    });
    this->server.on(EVHTTP_REQ_POST, "/orders",
                    [this](http_call const& call)
                    {
                        this->handle_order(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/kv/export",
                    [this](http_call const& call)
                    {
                        this->handle_export(call);
                    });
    this->server.on(EVHTTP_REQ_POST, "/kv/import",
                    [this](http_call const& call)
                    {
                        this->handle_import(call);
                    });
    serve_switches(this->server, this->switches,
                   [this]
                   {
                       this->switches_changed();
                   });
}

void engine_service::handle_completion(http_call const& call, bool is_chat)
{
    if (this->switches.refuse)
        return reply_error(call.request, HTTP_SERVUNAVAIL, "refused");
    std::string error;
    auto const body = read_completion(call.body(), is_chat, error);
    if (!body)
        return reply_error(call.request, HTTP_BADREQUEST, error);
    auto const& adapters = this->options.adapters;
    if (!body->model.empty() && body->model != this->options.model &&
        std::find(adapters.begin(), adapters.end(), body->model) ==
            adapters.end())
        return reply_error(call.request, HTTP_NOTFOUND,
                           "no model " + body->model);
    this->start_answer(call, *body);
}

void engine_service::start_answer(http_call const& call,
                                  completion_body const& body)
{
    std::uint64_t const id = this->next_answer++;
    std::string name = call.header("X-Request-Id");
    if (!is_plain_name(name))
        name = std::to_string(this->options.incarnation) + "-" +
               std::to_string(id);
    answer& added = this->answers[id];
    added.frame = answer_frame{
        name, body.model.empty() ? this->options.model : body.model,
        this->options.weights_version, body.is_chat};
    added.is_stream = body.is_stream;
    added.keep_seconds = number_of(call.header("X-Keep-On-Close"), 0);
    auto const priority = number_of(call.header("X-Priority"), 1);
    added.sequence = submit(
        this->model,
        sequence_request{name, body.prompt, body.cache_salt, body.max_tokens,
                         static_cast<std::uint8_t>(priority)});
    if (!this->switches.crash_text.empty() &&
        body.prompt.find(this->switches.crash_text) != std::string::npos)
        this->crashing.insert(added.sequence);
    if (added.is_stream && this->switches.cut_count > 0)
    {
        --this->switches.cut_count;
        added.cut_after = this->switches.cut_after_pieces;
    }
    this->answer_names[name] = id;
    this->answer_sequences[added.sequence] = id;
    this->attach(id, call.request);
    this->wake();
}

void engine_service::attach(std::uint64_t id, evhttp_request* request)
{
    answer& target = this->answers.at(id);
    target.request = request;
    target.is_cut = false;
    target.gone = [this, id]
    {
        this->caller_gone(id);
    };
    watch_close(request, &target.gone);
    if (!target.is_stream)
        return;
    auto* const headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_add_header(headers, "Cache-Control", "no-cache");
    evhttp_send_reply_start(request, HTTP_OK, "OK");
}

void engine_service::caller_gone(std::uint64_t id)
{
    answer& target = this->answers.at(id);
    evhttp_request* const left = target.request;
    target.request = nullptr;
    evhttp_send_reply_end(left);
    if (target.keep_seconds > 0)
        return this->keep_for_resume(id);
    cancel(this->model, target.sequence);
    this->drop_answer(id);
}

void engine_service::keep_for_resume(std::uint64_t id)
{
    auto const keep = std::chrono::seconds(this->answers.at(id).keep_seconds);
    this->later.run(keep,
                    [this, id]
                    {
                        auto const found = this->answers.find(id);
                        if (found == this->answers.end() ||
                            found->second.request != nullptr)
                            return;
                        cancel(this->model, found->second.sequence);
                        this->drop_answer(id);
                    });
}

void engine_service::drop_answer(std::uint64_t id)
{
    answer const& target = this->answers.at(id);
    auto const named = this->answer_names.find(target.frame.name);
    if (named != this->answer_names.end() && named->second == id)
        this->answer_names.erase(named);
    this->answer_sequences.erase(target.sequence);
    this->crashing.erase(target.sequence);
    this->answers.erase(id);
}

void engine_service::handle_resume(http_call const& call)
{
    auto const name = call.path.substr(streams_prefix.size());
    auto const named = this->answer_names.find(name);
    if (named == this->answer_names.end())
        return reply_error(call.request, HTTP_NOTFOUND, "no stream " + name);
    std::uint64_t const id = named->second;
    answer& target = this->answers.at(id);
    if (target.request != nullptr)
    {
        unwatch_close(target.request);
        this->held.cut_off(target.request);
    }
    target.next_event = static_cast<std::size_t>(
        number_of(call.header("Last-Event-ID"), -1) + 1);
    target.cut_after = 0;
    this->attach(id, call.request);
    this->deliver(id);
}

void engine_service::handle_cancel(http_call const& call)
{
    auto const name = call.path.substr(streams_prefix.size());
    auto const named = this->answer_names.find(name);
    if (named == this->answer_names.end())
        return reply_error(call.request, HTTP_NOTFOUND, "no stream " + name);
    std::uint64_t const id = named->second;
    answer& target = this->answers.at(id);
    cancel(this->model, target.sequence);
    if (target.request != nullptr)
    {
        unwatch_close(target.request);
        this->held.cut_off(target.request);
    }
    this->drop_answer(id);
    reply(call.request, HTTP_OK, R"({"cancelled":true})");
}

void engine_service::wake()
{
    if (this->is_stepping || this->switches.stall)
        return;
    auto const cost = begin_step(this->model) * this->switches.slow_factor;
    if (cost <= 0)
        return;
    for (sequence_id const id : this->crashing)
    {
        sequence const* const item = this->model.sequences.find(id);
        if (item != nullptr && item->is_running)
            ::_exit(crash_exit_code);
    }
    this->is_stepping = true;
    auto const micros = static_cast<std::int64_t>(cost);
    timeval const wait{micros / microseconds_per_second,
                       micros % microseconds_per_second};
    evtimer_add(this->step_timer.get(), &wait);
}

void engine_service::take_step()
{
    step_result const result = end_step(this->model);
    this->is_stepping = false;
    for (stored_blocks const& blocks : result.stored)
        this->feed.stored(blocks, this->faults());
    if (!result.evicted.empty())
        this->feed.removed(result.evicted, this->faults());
    for (produced_token const& token : result.tokens)
    {
        std::uint64_t const id = this->answer_sequences.at(token.id);
        answer& target = this->answers.at(id);
        sequence const& item = *this->model.sequences.find(token.id);
        target.text.append(item.text, target.text.size());
        target.usage =
            answer_usage{item.prompt_tokens, item.text.size() / token_bytes,
                         item.cached_tokens};
        target.is_finished = token.is_last;
        if (token.is_last)
            finish(this->model, token.id);
        this->deliver(id);
    }
    this->wake();
}

void engine_service::switches_changed()
{
    if (this->switches.crash)
        ::_exit(crash_exit_code);
    if (this->switches.freeze_ms > 0)
    {
        auto const pause = std::chrono::milliseconds(
            std::exchange(this->switches.freeze_ms, 0));
        this->later.run(std::chrono::milliseconds(1),
                        [pause]
                        {
                            ::usleep(static_cast<useconds_t>(
                                std::chrono::microseconds(pause).count()));
                        });
    }
    this->wake();
}

} // namespace jujubestand::standins
