#include <standins/stream/stream_engine.hpp>

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <nlohmann/json.hpp>
#include <standins/support/stray_answers.hpp>
#include <string_view>
#include <utility>

namespace jujubestand::standins
{

namespace
{

constexpr std::string_view whole_body = R"({"text":"sound"})";

std::uint64_t number_of(std::string const& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

// evhttp frames no answer to a request of HTTP/1.0.
void leave_unframed(evhttp_request* request)
{
    request->minor = 0;
}

bool is_whole_body(http_call const& call)
{
    return call.path.starts_with("/ask/");
}

void send(evhttp_request* request, std::string const& bytes)
{
    evbuffer* const chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request, chunk);
    evbuffer_free(chunk);
}

} // namespace

stream_engine::stream_engine(event_base* loop, address const& where,
                             std::string software_version)
    : version(std::move(software_version))
    , server(loop, where)
    , later(loop)
{
    this->server.on(EVHTTP_REQ_POST, "/",
                    [this](http_call const& call)
                    {
                        this->answer(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/report",
                    [this](http_call const& call)
                    {
                        this->report(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/kv-events",
                    [this](http_call const& call)
                    {
                        this->list_changes(call);
                    });
    this->server.on(EVHTTP_REQ_POST, "/order",
                    [this](http_call const& call)
                    {
                        this->take_order(call);
                    });
}

stream_engine::~stream_engine()
{
    for (auto const& [id, stream] : this->paused)
        unwatch_close(stream.request);
}

void stream_engine::refuse_resumed(int status)
{
    this->resumed_status = status;
}

void stream_engine::pause_after(std::uint64_t event, std::size_t bytes)
{
    this->last_event = event;
    this->partial_bytes = bytes;
}

void stream_engine::end_by_close()
{
    this->is_framed = false;
}

void stream_engine::pause_no_more()
{
    this->last_event = stream_events;
}

void stream_engine::pace(std::chrono::milliseconds interval)
{
    this->event_interval = interval;
}

void stream_engine::copy_refusals(copy_scope scope, double share,
                                  std::uint64_t seed)
{
    this->copies = refusal_copies{scope};
    this->copied_share = share;
    this->random.seed(seed);
}

void stream_engine::crash_on(std::vector<crash_script> scripts,
                             std::function<void(std::string const&)> action)
{
    this->crash_scripts = std::move(scripts);
    this->crashed = std::move(action);
}

void stream_engine::name_limit(std::string text)
{
    this->words.limit = std::move(text);
}

void stream_engine::state_leaving()
{
    this->words.is_leaving = true;
}

void stream_engine::ask_for_pause(std::string retry_after)
{
    this->words.pause = std::move(retry_after);
}

void stream_engine::refuse_reports(std::string retry_after)
{
    this->report_pause = std::move(retry_after);
}

void stream_engine::copy_refusal_of(std::string call)
{
    this->copied_call = std::move(call);
}

void stream_engine::on_stream(std::function<void(stream_request const&)> action)
{
    this->sent = std::move(action);
}

crash_script const* stream_engine::script_of(http_call const& call) const
{
    auto const parts = call.header("X-Prompt-Prefix");
    for (auto const& script : this->crash_scripts)
    {
        if (parts.find(script.part) != std::string::npos)
            return &script;
    }
    return nullptr;
}

void stream_engine::cut_streams()
{
    for (auto const& [id, stream] : this->paused)
        cut(stream.request);
}

void stream_engine::truncate_streams()
{
    for (auto const& [id, stream] : std::exchange(this->paused, {}))
    {
        unwatch_close(stream.request);
        evhttp_send_reply_end(stream.request);
    }
}

std::string stream_engine::event(std::uint64_t number) const
{
    auto const text = std::to_string(number);
    return "id: " + text + "\ndata: " + this->version + ' ' + text + "\n\n";
}

std::string stream_engine::events(std::uint64_t first, std::uint64_t last) const
{
    std::string result;
    for (auto number = first; number <= last; ++number)
        result += this->event(number);
    return result;
}

bool stream_engine::refuse_question(http_call const& call)
{
    this->question_times.push_back(mono_now());
    if (this->report_pause.empty())
        return false;
    refuse_for_pause(call.request, this->report_pause);
    return true;
}

void stream_engine::write_stray_refusal(http_call const& call) const
{
    if (!this->copied_call.empty())
        write_raw(call.request, refusal_of(this->copied_call));
}

void stream_engine::list_changes(http_call const& call)
{
    if (this->refuse_question(call))
        return;
    reply(call.request, HTTP_OK,
          R"({"boot-epoch":1,"next":0,"lost":false,"events":[]})");
}

void stream_engine::report(http_call const& call)
{
    if (this->refuse_question(call))
        return;
    nlohmann::json const model{{"name", "m1"}, {"version", this->weights}};
    nlohmann::json const body{
        {"stage", "both"}, {"models", nlohmann::json::array({model})},
        {"busy", false},   {"sequence", this->order_times.size()},
        {"queued", 0},     {"active", 0},
        {"kv-used", 0},    {"kv-total", 90'000}};
    add_words(call.request, this->words);
    this->write_stray_refusal(call);
    reply(call.request, HTTP_OK, body.dump());
}

void stream_engine::take_order(http_call const& call)
{
    constexpr int accepted = 202;
    auto const order = nlohmann::json::parse(call.body());
    this->order_times.push_back(mono_now());
    this->order_fences.push_back(order.at("fencing-token"));
    this->order_holders.push_back(order.at("holder"));
    if (!this->words.pause.empty())
    {
        add_words(call.request, this->words);
        refuse_for_pause(call.request, this->words.pause);
        return;
    }
    this->weights = order.at("version");
    add_words(call.request, this->words);
    this->write_stray_refusal(call);
    reply(call.request, accepted, "");
}

std::vector<mono_time> const& stream_engine::questions() const noexcept
{
    return this->question_times;
}

std::vector<mono_time> const& stream_engine::orders() const noexcept
{
    return this->order_times;
}

std::vector<std::string> const& stream_engine::holders() const noexcept
{
    return this->order_holders;
}

std::uint64_t stream_engine::loaded_weights() const noexcept
{
    return this->weights;
}

std::vector<std::uint64_t> const& stream_engine::fences() const noexcept
{
    return this->order_fences;
}

address stream_engine::bound() const
{
    return this->server.bound();
}

void stream_engine::sign(http_call const& call) const
{
    auto* const headers = evhttp_request_get_output_headers(call.request);
    auto const id = call.header("X-Request-Id");
    evhttp_add_header(headers, "X-Request-Id", id.c_str());
    evhttp_add_header(headers, "X-Response-Stamp", this->version.c_str());
    add_words(call.request, this->words);
}

void stream_engine::begin_answer(http_call const& call) const
{
    auto* const headers = evhttp_request_get_output_headers(call.request);
    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    this->sign(call);
    evhttp_send_reply_start(call.request, HTTP_OK, "OK");
}

void stream_engine::answer(http_call const& call)
{
    auto const from = call.header("Last-Event-Id");
    this->requests.push_back({call.header("X-Request-Id"), from,
                              call.header("X-Prompt-Prefix"),
                              call.header("X-Cache-Salt")});
    if (this->sent)
        this->sent(this->requests.back());
    if (!this->words.pause.empty())
    {
        this->sign(call);
        refuse_for_pause(call.request, this->words.pause);
        return;
    }
    if (this->refuse_or_copy(call))
        return;
    if (this->resumed_status != 0 && !from.empty())
    {
        this->sign(call);
        reply(call.request, this->resumed_status, "data: boom\n\n",
              "text/event-stream");
        return;
    }
    if (auto const* const script = this->script_of(call))
    {
        this->answer_until_crash(call, *script);
        return;
    }
    if (is_whole_body(call))
    {
        if (this->copies)
            this->answer_whole_body_later(call);
        else
            this->answer_whole_body(call);
        return;
    }
    auto const first = number_of(from) + 1;
    bool const is_whole = this->last_event >= stream_events;
    if (!this->is_framed)
        leave_unframed(call.request);
    if (is_whole && this->event_interval.count() > 0)
    {
        this->answer_at_pace(call, first);
        return;
    }
    if (!is_whole)
        this->watch(call);
    this->begin_answer(call);
    auto sent_events = this->events(first, this->last_event);
    if (!is_whole)
        sent_events +=
            this->event(this->last_event + 1).substr(0, this->partial_bytes);
    send(call.request, sent_events);
    if (is_whole)
        evhttp_send_reply_end(call.request);
}

void stream_engine::answer_until_crash(http_call const& call,
                                       crash_script const& script)
{
    this->watch(call);
    if (script.has_head && is_whole_body(call))
    {
        auto* const headers = evhttp_request_get_output_headers(call.request);
        evhttp_add_header(headers, "Content-Length",
                          std::to_string(whole_body.size()).c_str());
        this->begin_answer(call);
        send(call.request,
             std::string(whole_body.substr(0, whole_body.size() / 2)));
    }
    else if (script.has_head)
    {
        if (!this->is_framed)
            leave_unframed(call.request);
        auto const first = number_of(call.header("Last-Event-Id")) + 1;
        auto const next = first + script.events;
        this->begin_answer(call);
        send(call.request, this->events(first, next - 1) +
                               this->event(next).substr(0, script.bytes));
    }
    // The engine is gone once it has crashed.
    this->later.run(script.delay,
                    [crash = this->crashed, part = script.part]
                    {
                        crash(part);
                    });
}

void stream_engine::answer_whole_body(http_call const& call) const
{
    this->sign(call);
    reply(call.request, HTTP_OK, whole_body);
}

void stream_engine::answer_whole_body_later(http_call const& call)
{
    auto const id = this->watch(call);
    this->later.run(this->event_interval * stream_events,
                    [this, id, call]
                    {
                        auto const found = this->paused.find(id);
                        if (found == this->paused.end())
                            return;
                        this->end_run(found->second, true);
                        this->paused.erase(found);
                        unwatch_close(call.request);
                        this->answer_whole_body(call);
                    });
}

// \returns whether the call was refused
bool stream_engine::refuse_or_copy(http_call const& call)
{
    if (!this->copies)
        return false;
    auto const id = call.header("X-Request-Id");
    if (!this->copies->calls.contains(id))
    {
        refuse(*this->copies, call.request, id);
        return true;
    }
    std::bernoulli_distribution is_copied(this->copied_share);
    if (may_copy(*this->copies, call.request, id) && is_copied(this->random))
        write_copy(call.request, id);
    return false;
}

void stream_engine::answer_at_pace(http_call const& call, std::uint64_t first)
{
    auto const id = this->watch(call);
    this->begin_answer(call);
    this->send_at_pace(id, first);
}

void stream_engine::send_at_pace(std::uint64_t id, std::uint64_t number)
{
    auto const found = this->paused.find(id);
    if (found == this->paused.end())
        return;
    auto* const request = found->second.request;
    send(request, this->event(number));
    if (number < stream_events)
    {
        this->later.run(this->event_interval,
                        [this, id, number]
                        {
                            this->send_at_pace(id, number + 1);
                        });
        return;
    }
    unwatch_close(request);
    this->end_run(found->second, true);
    this->paused.erase(found);
    evhttp_send_reply_end(request);
}

void stream_engine::end_run(paused_stream const& stream, bool is_whole)
{
    auto& run = this->run_records[stream.run];
    run.ended_at = mono_now();
    run.is_whole = is_whole;
}

// The connection's end, whoever causes it, ends the answer.
std::uint64_t stream_engine::watch(http_call const& call)
{
    auto const id = this->next_id++;
    auto& stream = this->paused[id];
    stream.request = call.request;
    stream.run = this->run_records.size();
    this->run_records.push_back({call.header("X-Request-Id"), mono_now()});
    stream.gone = [this, id]
    {
        auto const& gone = this->paused.at(id);
        auto* const left = gone.request;
        unwatch_close(left);
        this->end_run(gone, false);
        this->paused.erase(id);
        evhttp_send_reply_end(left);
    };
    watch_close(call.request, &stream.gone);
    return id;
}

} // namespace jujubestand::standins
