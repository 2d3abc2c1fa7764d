#include <bench/placement/load_run.hpp>

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace jujubestand::bench
{

namespace
{

constexpr double answer_limit_s = 10;
constexpr double us_per_s = 1'000'000;
constexpr int status_ok = 200;

http::client_options patient()
{
    http::client_options options;
    options.read_timeout = std::chrono::seconds(30);
    return options;
}

std::uint32_t us_between(mono_time from, mono_time to)
{
    return static_cast<std::uint32_t>(
        std::max(to - from, microseconds{0}).count());
}

/// Calls at each rate for its time, one after the other.
std::vector<planned_call> calls_of(fleet const& size, run_plan const& plan)
{
    std::vector<planned_call> calls;
    double const end_s = plan.warm_up_s + plan.measured_s;
    for (std::size_t part = 0; part < plan.rates.size(); ++part)
    {
        double const from_s = plan.rates[part].first;
        bool const is_last = part + 1 == plan.rates.size();
        workload shape = size.prompts;
        shape.seed = plan.seed + part;
        shape.requests_per_s = plan.rates[part].second;
        shape.seconds = (is_last ? end_s : plan.rates[part + 1].first) - from_s;
        for (auto each : bench::plan(shape))
        {
            each.at_us += static_cast<std::uint64_t>(from_s * us_per_s);
            calls.push_back(each);
        }
    }
    return calls;
}

std::uint32_t to_count(std::size_t number)
{
    return static_cast<std::uint32_t>(number);
}

} // namespace

load_run::load_run(event_base* loop, fleet const& sizes, cluster& servers,
                   run_plan chosen)
    : base(loop)
    , size(sizes)
    , target(&servers)
    , plan(std::move(chosen))
    , book(sizes.prompts)
    , calls(calls_of(sizes, this->plan))
    , caches(loop, servers.engines())
    , loads(sizes.engines)
    , client(loop, patient())
    , arrivals(loop,
               [this]
               {
                   this->arrive();
               })
    , act_timer(loop,
                [this]
                {
                    this->act();
                })
{
    this->chooser.kind = this->plan.chooser;
    this->chooser.random.seed(this->plan.seed);
    this->client.head.connect(sigc::mem_fun(*this, &load_run::on_head));
    this->client.data.connect(sigc::mem_fun(*this, &load_run::on_data));
    this->client.ended.connect(sigc::mem_fun(*this, &load_run::on_ended));
}

run_result load_run::run()
{
    this->began = mono_now();
    this->schedule_next();
    this->act();
    double const end_s =
        this->plan.warm_up_s + this->plan.measured_s + answer_limit_s;
    double const last_s = this->plan.warm_up_s + this->plan.measured_s;
    while (this->elapsed_s() < end_s &&
           (this->elapsed_s() < last_s || !this->open.empty()))
        event_base_loop(this->base, EVLOOP_ONCE);
    for (auto const& [exchange, left] : this->open)
    {
        this->client.cancel(exchange);
        if (left.is_measured)
            this->result.answers.push_back(left.seen);
    }
    this->open.clear();
    return std::move(this->result);
}

double load_run::elapsed_s() const
{
    return std::chrono::duration<double>(mono_now() - this->began).count();
}

void load_run::schedule_next()
{
    if (this->next_call >= this->calls.size())
        return;
    auto const at = microseconds(
        static_cast<std::int64_t>(this->calls[this->next_call].at_us));
    this->arrivals.start(
        std::max(this->began + at - mono_now(), microseconds{0}));
}

void load_run::arrive()
{
    this->send(this->calls[this->next_call++]);
    this->schedule_next();
}

void load_run::act()
{
    while (this->next_action < this->plan.actions.size() &&
           this->plan.actions[this->next_action].at_s <= this->elapsed_s())
        this->plan.actions[this->next_action++].carry_out();
    if (this->next_action < this->plan.actions.size())
        this->act_timer.start(std::chrono::milliseconds(10));
}

void load_run::send(planned_call const& planned)
{
    planned_call call = planned;
    call.document = (call.document + this->shift) %
                    to_count(this->size.prompts.documents_per_team);
    http::request asked;
    asked.method = "POST";
    asked.path = "/v1/chat/completions";
    asked.body = this->book.body(call);
    asked.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + team_key(call.team)}};
    auto const blocks = prompt_blocks(team_name(call.team), asked.body);
    double const at_s = static_cast<double>(planned.at_us) / us_per_s;
    pending next;
    next.is_measured = at_s >= this->plan.warm_up_s;
    next.seen.sent_s = at_s;
    next.seen.held_tokens = to_count(this->caches.most_held_tokens(blocks));
    next.seen.first_token_us =
        to_count(static_cast<std::size_t>(answer_limit_s * us_per_s));
    next.engine =
        choose_engine(this->chooser, {&this->size, &this->caches, &this->loads},
                      asked.body, blocks);
    if (next.engine)
    {
        asked.headers.push_back(
            {"X-Upstream", "engine-" + std::to_string(*next.engine)});
        next.missed_tokens =
            blocks.size() * 16 - this->caches.held_tokens(*next.engine, blocks);
        ++this->loads[*next.engine].requests;
        this->loads[*next.engine].pending_tokens += next.missed_tokens;
    }
    auto const& entries = this->target->entries();
    next.sent = this->began + microseconds(planned.at_us);
    auto const exchange = this->client.start(
        entries[this->next_entry++ % entries.size()], std::move(asked));
    this->open.emplace(exchange, std::move(next));
}

void load_run::on_head(http::exchange_id exchange,
                       http::response_head const& head)
{
    auto const found = this->open.find(exchange);
    if (found != this->open.end())
        found->second.seen.status = head.status;
}

void load_run::take_first(pending& of, mono_time now)
{
    of.has_first = true;
    of.seen.first_token_us = us_between(of.sent, now);
    if (of.engine)
        this->loads[*of.engine].pending_tokens -= of.missed_tokens;
    of.missed_tokens = 0;
}

void load_run::on_data(http::exchange_id exchange, std::string const& bytes)
{
    auto const found = this->open.find(exchange);
    if (found == this->open.end() || found->second.seen.status != status_ok)
        return;
    pending& of = found->second;
    mono_time const now = mono_now();
    if (!of.has_first)
        this->take_first(of, now);
    else if (of.is_measured)
        this->result.gaps_us.push_back(us_between(of.last_piece, now));
    of.last_piece = now;
    feed(of.reader, bytes);
}

void load_run::release(pending const& of)
{
    if (!of.engine)
        return;
    --this->loads[*of.engine].requests;
    this->loads[*of.engine].pending_tokens -= of.missed_tokens;
}

void load_run::on_ended(http::exchange_id exchange,
                        http::exchange_end const& end)
{
    auto const found = this->open.find(exchange);
    if (found == this->open.end())
        return;
    pending const of = std::move(found->second);
    this->open.erase(found);
    this->release(of);
    if (!of.is_measured)
        return;
    answer_sample seen = of.seen;
    seen.is_whole =
        end.is_complete && seen.status == status_ok && of.reader.is_done;
    seen.prompt_tokens = to_count(of.reader.prompt_tokens);
    seen.cached_tokens = to_count(of.reader.cached_tokens);
    if (!seen.is_whole)
        seen.first_token_us =
            to_count(static_cast<std::size_t>(answer_limit_s * us_per_s));
    this->result.answers.push_back(seen);
}

void load_run::set_down(std::size_t engine, bool is_down)
{
    this->loads[engine].is_down = is_down;
}

void load_run::engine_restarted(std::size_t engine)
{
    this->caches.restart(engine);
}

void load_run::shift_popularity()
{
    this->shift += to_count(this->size.prompts.documents_per_team / 2);
}

} // namespace jujubestand::bench
