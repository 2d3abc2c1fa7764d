#include <jujubestand/gateway/crashes.hpp>

#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/standing.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/answers.hpp>
#include <jujubestand/gateway/quarantine_records.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/quarantine/clock_alignment.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::gateway
{

namespace
{

/// News are sent more than once, since datagrams may be lost: after the first
/// time to a few gateways, which repeat them as well.
constexpr std::chrono::milliseconds news_interval{300};
constexpr std::chrono::milliseconds news_time{2'000};
constexpr std::size_t repeat_targets = 8;

/// Culprits are sent for as long as they are refused, for new gateways.
constexpr std::chrono::milliseconds culprits_interval{2'000};

/// A gateway writes the crashes that another one has noticed only if that one
/// has not done it by then.
constexpr std::chrono::milliseconds others_write_time{1'000};

/// Most calls in flight at a crash are answered soon after, one by one.
constexpr std::chrono::milliseconds clearance_write_time{3'000};

/// An upstream that has written an answer for so long doesn't crash by it.
constexpr std::chrono::milliseconds survival_time{2'000};

void send_to(gateway_state& state, std::vector<std::string> const& hosts,
             quarantine::notice const& evidence)
{
    status::crash_notice notice;
    notice.evidence = evidence;
    notice.sent_at_ms = wall_now().time_since_epoch().count();
    for (auto const& [fingerprint, until] : state.crashes.evidence.culprits)
        notice.culprits.push_back(fingerprint);
    auto const datagram = status::to_datagram(notice);
    for (auto const& host : hosts)
        state.datagrams->send(address{host, state.settings.internal_port},
                              datagram);
}

void send_to_gateways(gateway_state& state, quarantine::notice const& evidence)
{
    send_to(state, other_gateways(state, mono_now()), evidence);
}

void send_news(gateway_state& state, quarantine::notice const& news)
{
    if (news.empty())
        return;
    auto const now = mono_now();
    state.crashes.changed_at = now;
    schedule_crash_writes(state, news,
                          news.strikes.empty() ? clearance_write_time
                                               : std::chrono::milliseconds{0},
                          now);
    send_to_gateways(state, news);
}

void announce(gateway_state& state, mono_time now)
{
    auto& crashes = state.crashes;
    bool const is_news = now - crashes.changed_at < news_time;
    auto const interval = is_news ? news_interval : culprits_interval;
    bool const has_any = is_news || !crashes.evidence.culprits.empty();
    if (!has_any || now - crashes.announced_at < interval)
        return;
    crashes.announced_at = now;
    auto const hosts = random_hosts(other_gateways(state, now), repeat_targets,
                                    state.random_engine);
    send_to(state, hosts,
            is_news ? quarantine::newest_notice(crashes.evidence.strikes,
                                                wall_now())
                    : quarantine::notice{});
}

// An upstream without an agent shows that it crashed only when a connection to
// it is refused or its record goes.
quarantine::upstream_sign sign_of(gateway_state const& state,
                                  dispatch::upstream_key key)
{
    using quarantine::upstream_condition;
    auto const found = state.dispatch.upstreams.find(key);
    if (found == state.dispatch.upstreams.end() || found->second.is_replaced)
        return {upstream_condition::lost};
    auto const& load = found->second.load;
    if (!load)
        return {};
    if (load->is_down)
        return {upstream_condition::lost};
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        mono_now() - load->reported_at);
    return {upstream_condition::alive, wall_now() - age};
}

// Nothing reports on it, so that it may be lost without a sign.
bool is_unwatched(dispatch::upstream const& target)
{
    return !target.load && !target.is_replaced;
}

// The first few whole requests; their keys are those of culprits in the log.
std::string whole_requests_text(std::vector<quarantine::strike> const& strikes)
{
    constexpr std::size_t keys_limit = 4;
    std::string result;
    std::size_t count = 0;
    for (auto const& strike : strikes)
    {
        if (strike.depth != quarantine::whole_request_depth ||
            count++ >= keys_limit)
            continue;
        result += (result.empty() ? "" : ",") + to_text(strike.fingerprint);
    }
    return result;
}

void log_strikes(gateway_state& state, quarantine::notice const& news)
{
    if (news.strikes.empty())
        return;
    std::int64_t begun = 0;
    for (auto const& strike : news.strikes)
        begun += strike.stage == quarantine::answer_stage::none ? 0 : 1;
    state.log->write(
        event_number::strike_recorded, {},
        {{"upstream", news.strikes.front().upstream.text},
         {"strikes", static_cast<std::int64_t>(news.strikes.size())},
         {"begun", begun},
         {"keys", whole_requests_text(news.strikes)}});
}

void settle(gateway_state& state, dispatch::upstream_key key,
            quarantine::upstream_sign const& sign)
{
    auto const news =
        quarantine::on_condition(state.crashes.evidence, key, sign, wall_now());
    log_strikes(state, news);
    send_news(state, news);
}

void settle_suspected(gateway_state& state)
{
    std::vector<dispatch::upstream_key> keys;
    for (auto const& [key, crash] : state.crashes.evidence.suspected)
        keys.push_back(key);
    for (auto const key : keys)
        settle(state, key, sign_of(state, key));
}

// Ends calls with a new culprit that no upstream has given output for.
void withdraw_quarantined(gateway_state& state)
{
    std::vector<dispatch::call_key> keys;
    for (auto const& [key, call] : state.active_calls)
    {
        if (!call.is_response_started)
            keys.push_back(key);
    }
    for (auto const key : keys)
        refuse_quarantined(state, key);
}

quarantine::answer_stage stage_of(active_call const& call)
{
    using quarantine::answer_stage;
    bool const has_head = call.response_framing != http1::body_framing::none &&
                          !call.is_response_discarded;
    if (!has_head)
        return answer_stage::none;
    return call.events.response_events > 0 ? answer_stage::output
                                           : answer_stage::head;
}

// An upstream answered a call to its end, or has written on it for long.
void record_answer(gateway_state& state, active_call const& call)
{
    send_news(state, quarantine::on_answered(state.crashes.evidence,
                                             call.suspect_keys, wall_now()));
}

bool ends_by_close(active_call const& call)
{
    return call.response_framing == http1::body_framing::close;
}

// The end of a connection may be that of the answer or of the upstream.
void record_whole_answer(gateway_state& state, active_call const& call,
                         incarnation_id incarnation)
{
    if (ends_by_close(call))
        quarantine::on_unconfirmed_answer(
            state.crashes.evidence, call.upstream_key,
            upstream_id{call.upstream}, incarnation, call.suspect_keys,
            wall_now());
    else
        record_answer(state, call);
}

void log_culprit(gateway_state& state, digest const& fingerprint,
                 char const* source)
{
    state.log->write(event_number::request_quarantined, {},
                     {{"key", to_text(fingerprint)}, {"source", source}});
}

void look_for_culprits(gateway_state& state, mono_time now)
{
    auto& crashes = state.crashes;
    if (now - crashes.changed_at > news_time)
        return;
    auto const found = quarantine::judge(crashes.evidence, wall_now());
    for (auto const& fingerprint : found)
    {
        log_culprit(state, fingerprint, "evidence");
        schedule_culprit_write(state, fingerprint, now);
    }
    if (found.empty())
        return;
    withdraw_quarantined(state);
    send_to_gateways(state, {});
}

} // namespace

void record_output(gateway_state& state, active_call& call)
{
    auto const now = mono_now();
    if (!call.output_since)
        call.output_since = now;
    if (call.has_survived || now - *call.output_since < survival_time)
        return;
    call.has_survived = true;
    record_answer(state, call);
}

void record_unanswered(gateway_state& state, active_call const& call)
{
    auto const target = state.dispatch.upstreams.find(call.upstream_key);
    if (call.has_survived || target == state.dispatch.upstreams.end() ||
        target->second.is_replaced || target->second.record.is_leaving)
        return;
    quarantine::on_cut(state.crashes.evidence, call.upstream_key,
                       upstream_id{call.upstream},
                       incarnation_id{target->second.record.born_ms},
                       call.suspect_keys, stage_of(call), wall_now());
}

void record_upstream_end(gateway_state& state, dispatch::upstream_key key)
{
    auto const& target = state.dispatch.upstreams.at(key);
    // The record of an engine may lapse while its calls go on.
    bool const is_silent =
        is_unwatched(target) ||
        dispatch::stands_still(state.dispatch, target, mono_now());
    for (auto const& [call_key, call] : state.active_calls)
    {
        if (is_silent && call.upstream_key == key &&
            call.upstream_call != http1::call_id{})
            record_unanswered(state, call);
    }
    settle(state, key, {quarantine::upstream_condition::lost});
}

void record_attempt(gateway_state& state, active_call const& call,
                    dispatch::send_outcome outcome, http1::call_end const& end)
{
    using dispatch::send_outcome;
    if (outcome == send_outcome::unreachable)
        settle(state, call.upstream_key,
               {quarantine::upstream_condition::lost});
    auto const target = state.dispatch.upstreams.find(call.upstream_key);
    if (call.has_survived || target == state.dispatch.upstreams.end())
        return;
    incarnation_id const incarnation{target->second.record.born_ms};
    if (end.is_complete && !ends_by_close(call))
        settle(state, call.upstream_key,
               {quarantine::upstream_condition::alive, wall_now()});
    if (end.why.code == reason_code::upstream_timeout)
        record_unanswered(state, call);
    if (outcome == send_outcome::served &&
        is_success(call.response_head.status))
        record_whole_answer(state, call, incarnation);
    if (outcome == send_outcome::cut && (end.is_cut || ends_by_close(call)))
        quarantine::on_cut(state.crashes.evidence, call.upstream_key,
                           upstream_id{call.upstream}, incarnation,
                           call.suspect_keys, stage_of(call), wall_now());
}

bool refuse_quarantined(gateway_state& state, dispatch::call_key key)
{
    active_call const* const call = find_call(state, key);
    if (call == nullptr)
        return false;
    auto const now = wall_now();
    auto const until = quarantine::refused_until(state.crashes.evidence,
                                                 call->suspect_keys, now);
    if (!until)
        return false;
    problem error;
    error.why = reason{
        reason_code::quarantined, "calls like this one crash upstreams", {}};
    error.outcome = call->outcome;
    if (call->upstream_call != http1::call_id{})
        error.outcome = worst(error.outcome, verdict::may_have_run);
    error.status = status_of(error.outcome, error.why.code);
    if (error.outcome == verdict::not_run)
        error.retry_after = *until - now;
    state.upstream_client->cancel(call->upstream_call);
    dispatch::on_send_end(state.dispatch, key,
                          dispatch::send_outcome::cancelled, mono_now());
    dispatch::remove_waiting(state.dispatch, key);
    fail_call(state, key, error);
    return true;
}

void apply_culprit(gateway_state& state, digest const& fingerprint,
                   wall_time until, char const* source)
{
    if (until <= wall_now() ||
        !quarantine::add_culprit(state.crashes.evidence, fingerprint, until))
        return;
    log_culprit(state, fingerprint, source);
    withdraw_quarantined(state);
}

void apply_notice(gateway_state& state, quarantine::notice const& evidence)
{
    auto const result =
        quarantine::on_notice(state.crashes.evidence, evidence, wall_now());
    auto const now = mono_now();
    if (result.is_news)
    {
        state.crashes.changed_at = now;
        schedule_crash_writes(state, evidence, others_write_time, now);
    }
    send_news(state, result.reply);
}

void review_crashes(gateway_state& state)
{
    auto const now = mono_now();
    settle_suspected(state);
    look_for_culprits(state, now);
    write_quarantine_records(state, now);
    announce(state, now);
}

void on_crash_datagram(gateway_state& state, address const& sender,
                       std::string_view bytes)
{
    auto const notice = status::from_datagram<status::crash_notice>(bytes);
    if (!notice)
        return;
    auto const now = wall_now();
    auto const difference = clock_difference(
        state.clocks, sender.host, notice->sent_at_ms, now, mono_now());
    apply_notice(state, quarantine::by_own_clock(state.crashes.evidence.strikes,
                                                 notice->evidence, difference));
    auto const until = now + state.crashes.evidence.strikes.options.lifetime;
    for (auto const& fingerprint : notice->culprits)
        apply_culprit(state, fingerprint, until, "gateway");
}

} // namespace jujubestand::gateway
