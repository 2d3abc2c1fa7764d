// Calls that crash engines: the evidence of all sidecars and entries, and the
// refusal of culprits.

#include <jujubestand/entry/entry_state.hpp>
#include <jujubestand/quarantine/call_keys.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr std::chrono::milliseconds review_interval{100};

/// Evidence is judged for so long after it changed.
constexpr std::chrono::milliseconds judging_time{2'000};

/// Culprits are sent for as long as they are refused, for new entries.
constexpr std::chrono::milliseconds culprits_interval{2'000};

/// An engine that has written an answer for so long doesn't crash by it.
constexpr std::chrono::milliseconds survival_time{2'000};

constexpr int success_min = 200;
constexpr int success_max = 299;

std::uint64_t us_until(wall_time until, wall_time now)
{
    auto const left = std::chrono::duration_cast<microseconds>(until - now);
    return static_cast<std::uint64_t>(left.count());
}

} // namespace

void entry::state::start_reviews()
{
    this->crashes.review_timer.emplace(this->shared->base,
                                       [this]
                                       {
                                           this->review_crashes();
                                       });
    this->crashes.review_timer->start_every(review_interval);
}

void entry::state::send_evidence(quarantine::notice const& evidence)
{
    if (evidence.empty())
        return;
    this->crashes.changed_at = mono_now();
    process::send_news(this->crashes.targets, this->links,
                       this->tables.in_force().version, {evidence, {}});
}

void entry::state::send_culprits()
{
    this->crashes.announced_at = mono_now();
    process::crash_news news;
    auto const now = wall_now();
    for (auto const& [fingerprint, until] : this->crashes.evidence.culprits)
    {
        if (until > now)
            news.culprits.push_back(
                {fingerprint, until.time_since_epoch().count()});
    }
    process::send_news(this->crashes.targets, this->links,
                       this->tables.in_force().version, news);
}

void entry::state::record_answer(call const& of)
{
    this->send_evidence(quarantine::on_answered(this->crashes.evidence,
                                                of.suspects, wall_now()));
}

void entry::state::record_output(call& of)
{
    auto const now = mono_now();
    attempt& current = *of.current;
    if (!current.output_since)
        current.output_since = now;
    if (current.has_survived || now - *current.output_since < survival_time)
        return;
    current.has_survived = true;
    this->record_answer(of);
}

// Errors of an engine clear nothing.
void entry::state::record_whole_answer(call const& of)
{
    auto const status = of.relay.head->status;
    bool const is_success = status >= success_min && status <= success_max;
    if (is_success && !of.current->has_survived)
        this->record_answer(of);
}

bool entry::state::refuse_quarantined(call_id id)
{
    call& of = *this->calls.find(id);
    auto const now = wall_now();
    auto const until =
        quarantine::refused_until(this->crashes.evidence, of.suspects, now);
    if (!until)
        return false;
    if (of.current)
        of.outcome = worst(of.outcome, verdict::may_have_run);
    of.why = {
        reason_code::quarantined, "calls like this one crash upstreams", {}};
    of.retry_after_us = us_until(*until, now);
    this->end_probes(of);
    this->end_attempt(of);
    this->answer_problem(id);
    return true;
}

// Ends calls with a new culprit that no engine has given output for.
void entry::state::withdraw_quarantined()
{
    std::vector<call_id> without_output;
    for (auto const& [caller, id] : this->by_caller)
    {
        if (!this->calls.find(id)->relay.has_first_token)
            without_output.push_back(id);
    }
    for (auto const id : without_output)
    {
        if (this->calls.find(id) != nullptr)
            static_cast<void>(this->refuse_quarantined(id));
    }
}

void entry::state::note_culprit(digest const& fingerprint,
                                std::string const& source)
{
    process::note(*this->shared, event_number::request_quarantined, {}, {},
                  {{"key", to_text(fingerprint)}, {"source", source}});
}

void entry::state::review_crashes()
{
    auto& own = this->crashes;
    auto const now = mono_now();
    if (own.changed_at && now - *own.changed_at < judging_time)
    {
        auto const found = quarantine::judge(own.evidence, wall_now());
        for (auto const& fingerprint : found)
            this->note_culprit(fingerprint, "evidence");
        if (!found.empty())
        {
            this->withdraw_quarantined();
            this->send_culprits();
        }
    }
    if (now - own.announced_at >= culprits_interval)
        this->send_culprits();
}

void entry::state::on_crash_news(process::crash_news const& news)
{
    auto& own = this->crashes;
    auto const now = wall_now();
    auto const result = quarantine::on_notice(own.evidence, news.evidence, now);
    if (result.is_news)
        own.changed_at = mono_now();
    this->send_evidence(result.reply);
    bool is_new = false;
    for (auto const& told : news.culprits)
    {
        wall_time const until{std::chrono::milliseconds{told.until_ms}};
        if (until <= now ||
            !quarantine::add_culprit(own.evidence, told.fingerprint, until))
            continue;
        is_new = true;
        this->note_culprit(told.fingerprint, "entry");
    }
    if (is_new)
        this->withdraw_quarantined();
}

} // namespace jujubestand::entry
