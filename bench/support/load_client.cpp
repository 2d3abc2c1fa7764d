#include <bench/support/load_client.hpp>

#include <algorithm>
#include <bench/support/idempotency_key.hpp>
#include <charconv>
#include <jujubestand/http/message.hpp>
#include <standins/support/program.hpp>

namespace jujubestand::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t longest_retry_after_s = 2;
constexpr int first_error_status = 400;
constexpr int status_too_many = 429;
constexpr int status_conflict = 409;
constexpr std::int64_t microseconds_per_second = 1'000'000;

http::client_options client_limits(load_options const& options)
{
    http::client_options limits;
    limits.read_timeout = options.silence_limit;
    return limits;
}

std::string header_text(http::response_head const& head, char const* name)
{
    return std::string(http::find_header(head.headers, name).value_or(""));
}

std::uint32_t micros_between(mono_time begin, mono_time end)
{
    return static_cast<std::uint32_t>((end - begin).count());
}

} // namespace

load_client::load_client(event_base* base, load_options chosen)
    : options(std::move(chosen))
    , book(this->options.shape)
    , client(base, client_limits(this->options))
    , delays(base)
    , random(this->options.shape.seed ^ 0x6a75)
{
    this->client.head.connect(sigc::mem_fun(*this, &load_client::on_head));
    this->client.data.connect(sigc::mem_fun(*this, &load_client::on_data));
    this->client.ended.connect(sigc::mem_fun(*this, &load_client::on_ended));
    for (planned_call const& call : plan(this->options.shape))
    {
        call_result planned;
        planned.call = call;
        this->totals.calls.push_back(std::move(planned));
    }
}

void load_client::start()
{
    this->began = mono_now();
    for (auto const& [at, action] : this->options.actions)
        this->delays.run(at, action);
    this->delays.run(milliseconds(0),
                     [this]
                     {
                         this->send_due();
                     });
}

std::size_t load_client::open_calls() const noexcept
{
    return this->open.size();
}

load_result const& load_client::result() const noexcept
{
    return this->totals;
}

void load_client::send_due()
{
    auto const passed_us =
        static_cast<std::uint64_t>((mono_now() - this->began).count());
    auto const& calls = this->totals.calls;
    while (this->next_call < calls.size() &&
           calls[this->next_call].call.at_us <= passed_us)
        this->send(this->next_call++);
    if (this->next_call == calls.size())
        return;
    microseconds const wait(calls[this->next_call].call.at_us - passed_us);
    this->delays.run(wait,
                     [this]
                     {
                         this->send_due();
                     });
}

http::request load_client::request_of(call_result const& target) const
{
    http::request sent;
    sent.method = "POST";
    sent.path =
        target.call.is_chat ? "/v1/chat/completions" : "/v1/completions";
    if (target.call.is_plain)
        sent.path = this->options.shape.plain_path;
    sent.headers.push_back({"Content-Type", "application/json"});
    sent.headers.push_back(
        {"Authorization", "Bearer " + team_key(target.call.team)});
    if (!target.idempotency_key.empty())
        sent.headers.push_back({"Idempotency-Key", target.idempotency_key});
    sent.body = this->book.body(target.call);
    return sent;
}

void load_client::send(std::size_t index)
{
    call_result& target = this->totals.calls[index];
    if (target.call.is_plain && target.idempotency_key.empty())
        target.idempotency_key = make_idempotency_key(this->random, wall_now());
    ++target.attempts;
    auto const& entries = this->options.entries;
    address const& where = entries[this->next_entry++ % entries.size()];
    auto const id = this->client.start(where, this->request_of(target));
    open_call& added = this->open[id];
    added.index = index;
    added.reader.is_stream = target.call.is_stream;
}

void load_client::on_head(http::exchange_id id, http::response_head const& head)
{
    auto const found = this->open.find(id);
    if (found == this->open.end())
        return;
    open_call& opened = found->second;
    opened.status = head.status;
    opened.verdict = header_text(head, "X-Jujubestand-Verdict");
    opened.reason = header_text(head, "X-Jujubestand-Reason");
    std::string const advice = header_text(head, "Retry-After");
    std::from_chars(advice.data(), advice.data() + advice.size(),
                    opened.retry_after_s);
    if (head.status >= first_error_status)
        opened.reader.is_stream = false;
}

void load_client::on_data(http::exchange_id id, std::string const& bytes)
{
    auto const found = this->open.find(id);
    if (found == this->open.end())
        return;
    open_call& opened = found->second;
    planned_call const& call = this->totals.calls[opened.index].call;
    this->take_tokens(opened, feed(opened.reader, bytes));
    if (call.leaves_early &&
        opened.reader.tokens >= this->options.shape.cancel_after_tokens)
        return this->leave(id, opened);
    if (call.reads_slowly)
        this->read_slowly(id, bytes.size());
}

void load_client::take_tokens(open_call& opened, std::size_t more)
{
    mono_time const now = mono_now();
    call_result const& target = this->totals.calls[opened.index];
    for (; more > 0; --more)
    {
        if (opened.first_token_us == 0)
            opened.first_token_us = this->since_planned(target);
        else
            opened.gaps_us.push_back(micros_between(opened.last_token, now));
        opened.last_token = now;
    }
}

void load_client::read_slowly(http::exchange_id id, std::size_t bytes)
{
    this->client.pause(id);
    microseconds const wait(
        static_cast<std::int64_t>(bytes) * microseconds_per_second /
        static_cast<std::int64_t>(this->options.shape.slow_bytes_per_s));
    this->delays.run(wait,
                     [this, id]
                     {
                         this->client.unpause(id);
                     });
}

void load_client::leave(http::exchange_id id, open_call const& opened)
{
    call_result& target = this->totals.calls[opened.index];
    target.outcome = call_outcome::left;
    target.status = opened.status;
    target.total_us = this->since_planned(target);
    this->client.cancel(id);
    this->open.erase(id);
    this->call_over();
}

std::uint32_t load_client::since_planned(call_result const& target) const
{
    auto const passed = micros_between(this->began, mono_now());
    return passed - static_cast<std::uint32_t>(target.call.at_us);
}

void load_client::on_ended(http::exchange_id id, http::exchange_end const& how)
{
    auto const found = this->open.find(id);
    if (found == this->open.end())
        return;
    open_call opened = std::move(found->second);
    this->open.erase(found);
    this->settle(opened, how.is_complete);
    call_result const& target = this->totals.calls[opened.index];
    if (!this->wants_retry(target))
        return this->call_over();
    this->delays.run(this->retry_delay(target, opened),
                     [this, index = opened.index]
                     {
                         this->send(index);
                     });
}

call_outcome load_client::judge(open_call const& opened, bool is_complete) const
{
    planned_call const& call = this->totals.calls[opened.index].call;
    if (opened.status == 0)
        return call_outcome::failed;
    if (opened.status >= first_error_status)
        return call_outcome::refused;
    if (call.is_plain)
        return is_complete ? call_outcome::whole : call_outcome::incomplete;
    if (!is_complete || !opened.reader.is_done || opened.reader.has_error)
        return call_outcome::incomplete;
    if (opened.reader.foreign_pieces > 0)
        return call_outcome::wrong;
    if (!this->options.checks_text)
        return call_outcome::whole;
    auto const expected =
        this->book.answer(call, this->options.shape.max_tokens);
    return opened.reader.text == expected ? call_outcome::whole
                                          : call_outcome::wrong;
}

void load_client::settle(open_call& opened, bool is_complete)
{
    end(opened.reader);
    call_result& target = this->totals.calls[opened.index];
    target.outcome = this->judge(opened, is_complete);
    target.status = opened.status;
    target.verdict = opened.verdict;
    target.reason = opened.reason;
    target.is_all_not_run &= opened.verdict == "not_run";
    target.is_told_incomplete = !is_complete || opened.reader.has_error;
    target.total_us = this->since_planned(target);
    target.first_token_us = opened.first_token_us;
    if (target.outcome != call_outcome::whole || target.call.is_plain)
        return;
    target.tokens = opened.reader.text.size() / standins::token_bytes;
    target.prompt_tokens = opened.reader.prompt_tokens;
    target.cached_tokens = opened.reader.cached_tokens;
    if (target.call.is_stream)
        this->totals.first_token_us.push_back(opened.first_token_us);
    auto& gaps = this->totals.gaps_us;
    gaps.insert(gaps.end(), opened.gaps_us.begin(), opened.gaps_us.end());
}

// A plain call keeps its key, so asking again is safe whatever became of the
// attempt; a client error is not asked again.
bool load_client::wants_retry(call_result const& target) const
{
    if (target.attempts >= this->options.attempts)
        return false;
    if (target.outcome == call_outcome::whole ||
        target.outcome == call_outcome::left)
        return false;
    bool const is_client_error =
        target.status >= first_error_status && target.status < 500 &&
        target.status != status_too_many && target.status != status_conflict;
    return !is_client_error;
}

milliseconds load_client::retry_delay(call_result const& target,
                                      open_call const& opened)
{
    auto const advised = std::chrono::seconds(
        std::min(opened.retry_after_s, longest_retry_after_s));
    auto const step = this->options.first_retry_delay.count()
                      << (target.attempts - 1);
    auto const jitter = static_cast<std::int64_t>(
        this->random() % static_cast<std::uint64_t>(step + 1));
    return std::max<milliseconds>(advised, milliseconds(step / 2)) +
           milliseconds(jitter / 2);
}

void load_client::call_over()
{
    if (++this->over_calls < this->totals.calls.size())
        return;
    this->totals.seconds =
        static_cast<double>((mono_now() - this->began).count()) /
        static_cast<double>(microseconds_per_second);
    this->finished.emit();
}

load_result run_load(load_options options)
{
    auto const base = standins::make_base();
    load_client client(base.get(), std::move(options));
    client.finished.connect(
        [&base]
        {
            event_base_loopbreak(base.get());
        });
    client.start();
    if (!client.result().calls.empty())
        event_base_dispatch(base.get());
    return client.result();
}

} // namespace jujubestand::bench
