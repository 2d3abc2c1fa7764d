#include <algorithm>
#include <charconv>
#include <event2/event.h>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/platform/libevent.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace jujubestand::platform
{

namespace
{

// What the service may add to a held read before it counts as lost.
constexpr std::chrono::milliseconds poll_grace{3'000};
constexpr int status_ok = 200;
constexpr int status_gone = 410;

using wire_record = std::tuple<std::uint64_t, std::int64_t, std::string>;

std::optional<log_offset> offset_in_header(http_result const& result,
                                           std::string_view name)
{
    auto const text = find_header(result, name);
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return log_offset(value);
}

// The answer is `{"offset":N}`, perhaps with spaces.
std::optional<log_offset> offset_in_body(std::string_view body)
{
    auto const colon = body.find(':');
    if (body.find("\"offset\"") == std::string_view::npos ||
        colon == std::string_view::npos)
        return std::nullopt;
    auto const digits = body.find_first_not_of(" \t", colon + 1);
    if (digits == std::string_view::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    auto const parsed =
        std::from_chars(body.data() + digits, body.data() + body.size(), value);
    if (parsed.ec != std::errc{} || value == 0)
        return std::nullopt;
    return log_offset(value);
}

// The service says 4xx only before it takes a record in; what stands behind
// a 5xx or a lost answer cannot be known.
append_result result_of(http_result const& answer)
{
    if (answer.status == status_ok)
    {
        if (auto const offset = offset_in_body(answer.body))
            return {append_outcome::done, *offset, {}};
    }
    auto const status = "status " + std::to_string(answer.status);
    reason const why{reason_code::log_unavailable,
                     answer.status == 0 ? answer.why.text : status,
                     {}};
    bool const is_refusal = answer.status >= 400 && answer.status < 500;
    bool const is_unsent = answer.status == 0 && !answer.may_have_sent;
    return {is_refusal || is_unsent ? append_outcome::refused
                                    : append_outcome::unknown,
            log_offset{}, why};
}

} // namespace

std::optional<std::vector<log_record>> unpack_records(std::string const& body,
                                                      reason& why)
{
    std::vector<log_record> records;
    try
    {
        auto const handle = bounded_unpack(body);
        for (auto& [offset, appended, bytes] :
             handle.get().as<std::vector<wire_record>>())
        {
            if (!records.empty() && offset <= records.back().offset.value)
            {
                why = {reason_code::log_unavailable, "offsets do not rise", {}};
                return std::nullopt;
            }
            records.push_back(
                log_record{log_offset(offset),
                           wall_time(std::chrono::milliseconds(appended)),
                           std::move(bytes)});
        }
    }
    catch (std::exception const& error)
    {
        why = {reason_code::log_unavailable, error.what(), {}};
        return std::nullopt;
    }
    return records;
}

struct log_client::state
{
    struct context
    {
        log_client* owner = nullptr;
        tail_id id;
    };

    struct reader
    {
        std::string stream;
        log_offset next;
        /// The first answer is wanted at once: it tells the stream's end.
        bool was_answered = false;
        backoff failures;
        http_call_id call;
        event_ptr timer;
        std::unique_ptr<context> held;
    };

    event_base* base = nullptr;
    http_client* http = nullptr;
    log_client_options options;
    log_budget budget;
    slot_map<reader, tail_tag> readers;
    bool reachable = true;
    std::uint64_t seed = 0;

    static void on_timer(evutil_socket_t socket, short what, void* argument);
    static void poll(log_client& client, tail_id id);
    static void answered(log_client& client, tail_id id,
                         http_result const& answer);
    static void failed(log_client& client, tail_id id, reason const& why);
    static void advance(log_client& client, tail_id id, log_batch const& batch);
    static void set_reachable(log_client& client, bool now,
                              std::string const& why);
};

void log_client::state::set_reachable(log_client& client, bool now,
                                      std::string const& why)
{
    if (client.self->reachable == now)
        return;
    client.self->reachable = now;
    event_note note;
    note.number =
        now ? event_number::log_reachable : event_number::log_unreachable;
    if (!why.empty())
        note.fields.push_back(event_field{"why", why});
    client.noted.emit(note);
}

void log_client::state::on_timer(evutil_socket_t /*socket*/, short /*what*/,
                                 void* argument)
{
    auto const* held = static_cast<context*>(argument);
    poll(*held->owner, held->id);
}

void log_client::state::poll(log_client& client, tail_id id)
{
    state& self = *client.self;
    reader* found = self.readers.find(id);
    if (found == nullptr)
        return;
    auto const wait = found->was_answered ? self.options.poll_wait
                                          : std::chrono::milliseconds{0};
    http_request request;
    request.server = self.options.service;
    request.target = "/v1/streams/" + found->stream +
                     "/records?from=" + std::to_string(found->next.value) +
                     "&max=" + std::to_string(self.options.batch_records) +
                     "&wait_ms=" + std::to_string(wait.count());
    request.timeout = wait + poll_grace;
    request.answer_limit_bytes = 64U << 20U;
    found->call = self.http->start(request,
                                   [&client, id](http_result const& answer)
                                   {
                                       answered(client, id, answer);
                                   });
}

void log_client::state::failed(log_client& client, tail_id id,
                               reason const& why)
{
    state& self = *client.self;
    reader* found = self.readers.find(id);
    auto const wait = next_delay(found->failures, self.options.backoff);
    timeval const delay = to_timeval(wait);
    evtimer_add(found->timer.get(), &delay);
    set_reachable(client, false, to_text(why));
}

// A receiver may end or move the tail, so it is looked up again after each
// signal.
void log_client::state::advance(log_client& client, tail_id id,
                                log_batch const& batch)
{
    reader* found = client.self->readers.find(id);
    reset(found->failures);
    found->was_answered = true;
    if (!batch.records.empty())
        found->next = log_offset(batch.records.back().offset.value + 1);
    client.received.emit(id, batch);
    // Not from within the answer's callback: a stream of ready answers must
    // leave the loop room for others.
    found = client.self->readers.find(id);
    timeval const at_once{0, 0};
    if (found != nullptr)
        evtimer_add(found->timer.get(), &at_once);
}

void log_client::state::answered(log_client& client, tail_id id,
                                 http_result const& answer)
{
    reader* found = client.self->readers.find(id);
    if (found == nullptr)
        return;
    auto const first = offset_in_header(answer, "X-First-Offset");
    auto const next = offset_in_header(answer, "X-Next-Offset");
    bool const is_read =
        answer.status == status_ok || answer.status == status_gone;
    if (!is_read || !first || !next)
    {
        reason why = answer.why;
        if (answer.status != 0)
            why = {reason_code::log_unavailable,
                   "status " + std::to_string(answer.status),
                   {}};
        return failed(client, id, why);
    }
    if (answer.status == status_gone)
    {
        found->next = *first;
        set_reachable(client, true, {});
        client.gap.emit(id, *first);
        return advance(client, id, log_batch{{}, *first, *next});
    }
    reason why;
    auto records = unpack_records(answer.body, why);
    if (!records)
        return failed(client, id, why);
    set_reachable(client, true, {});
    advance(client, id, log_batch{std::move(*records), *first, *next});
}

log_client::log_client(event_base* base, http_client& http,
                       log_client_options options)
    : self(std::make_unique<state>())
{
    this->self->base = base;
    this->self->http = &http;
    this->self->budget = make_log_budget(options.budget, mono_now());
    this->self->seed = options.seed;
    this->self->options = std::move(options);
}

log_client::~log_client()
{
    for (auto const id : this->self->readers.ids())
        this->stop(id);
}

bool log_client::append(std::string const& stream, append_kind kind,
                        std::string const& record, append_callback done,
                        reason& why)
{
    auto const start = mono_now();
    if (!take(this->self->budget, kind, record.size(), start))
    {
        why = {reason_code::log_budget_spent, "appends over the budget",
               std::string(to_name(append_kind_names, kind))};
        event_note note;
        note.number = event_number::log_budget_exceeded;
        note.fields.push_back(event_field{"kind", why.place});
        this->noted.emit(note);
        return false;
    }
    http_request request;
    request.server = this->self->options.service;
    request.method = http_method::post;
    request.target = "/v1/streams/" + stream + "/records";
    request.headers.push_back({"Content-Type", "application/octet-stream"});
    request.body = record;
    request.timeout = this->self->options.append_timeout;
    this->self->http->start(
        request,
        [this, start, done = std::move(done)](http_result const& answer)
        {
            auto const result = result_of(answer);
            auto const taken =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    mono_now() - start);
            bool const is_done = result.outcome == append_outcome::done;
            observe(this->self->budget,
                    is_done ? taken : this->self->options.append_timeout);
            done(result);
        });
    return true;
}

tail_id log_client::tail(std::string const& stream, log_offset from)
{
    auto held = std::make_unique<state::context>();
    held->owner = this;
    state::context* const argument = held.get();
    event_ptr timer(evtimer_new(this->self->base, state::on_timer, argument));
    timeval const at_once{0, 0};
    evtimer_add(timer.get(), &at_once);
    backoff failures;
    failures.seed = next_random(this->self->seed);
    // Offsets start at 1.
    log_offset const next(std::max<std::uint64_t>(from.value, 1));
    auto const id = this->self->readers.insert(state::reader{
        stream, next, false, failures, {}, std::move(timer), std::move(held)});
    argument->id = id;
    return id;
}

void log_client::stop(tail_id tail)
{
    state::reader const* found = this->self->readers.find(tail);
    if (found == nullptr)
        return;
    this->self->http->cancel(found->call);
    this->self->readers.erase(tail);
}

void log_client::skip_to(tail_id tail, log_offset from)
{
    state::reader* found = this->self->readers.find(tail);
    if (found != nullptr && found->next < from)
        found->next = from;
}

bool log_client::is_reachable() const noexcept
{
    return this->self->reachable;
}

log_budget const& log_client::budget() const noexcept
{
    return this->self->budget;
}

} // namespace jujubestand::platform
