#include <jujubestand/limits/quota_holder.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubestand::limits
{

namespace
{

constexpr std::chrono::milliseconds answer_timeout{150};
constexpr std::chrono::milliseconds unavailable_pause{200};

/// Longest wait of a call: for a request that is sent twice, or for the first
/// list of gateways.
constexpr std::chrono::milliseconds wait_limit{450};

/// Longest time to the next request that an answer may state.
constexpr std::chrono::seconds retry_limit{60};

/// Time in which recent calls are counted.
constexpr std::chrono::duration<double> demand_time{1};

/// Tokens are requested in advance while calls come at least this often.
constexpr std::chrono::milliseconds active_time{500};

/// Demand of so long that is always held, and that is held after a request.
constexpr double need_s = 0.1;
constexpr double target_s = 0.4;
/// The same if tokens are scarce: the next grant may take longer, and tokens
/// are valid for 1 s.
constexpr double scarce_target_s = 0.7;

/// Tokens are held in advance by gateways with so many calls in a second at
/// least. With fewer, each call would cost a second request.
constexpr double calls_min = 1.2;

/// Scarce tokens are held in advance by gateways with so many calls in a
/// second at least; the calls of others would rarely come in time.
constexpr double scarce_calls_min = 2;

/// Scarce tokens that have not been used for so long are given back.
constexpr std::chrono::milliseconds idle_time{200};

/// Least time between requests that only report.
constexpr std::chrono::milliseconds report_interval{100};

/// What an answer said about the issuer's tokens holds for this long.
constexpr std::chrono::milliseconds answer_validity{2'000};

double decay(quota_holder const& holder, mono_time now)
{
    std::chrono::duration<double> const age =
        std::max(microseconds{0}, now - holder.called_at);
    return std::exp(-age / demand_time);
}

double demand_of(quota_holder const& holder, mono_time now)
{
    return holder.recent_cost * decay(holder, now) / demand_time.count();
}

void count_call(quota_holder& holder, std::uint64_t charge, mono_time now)
{
    double const kept = decay(holder, now);
    auto const cost = static_cast<double>(charge);
    holder.recent_cost = holder.recent_cost * kept + cost;
    holder.recent_calls = holder.recent_calls * kept + 1;
    holder.largest_cost = std::max(holder.largest_cost * kept, cost);
    holder.called_at = now;
}

void drop_expired(quota_holder& holder, mono_time now)
{
    if (now >= holder.valid_until)
        holder.balance = 0;
}

bool is_scarce(quota_holder const& holder, mono_time now)
{
    return holder.answered_at && now - *holder.answered_at < answer_validity &&
           !holder.is_plentiful;
}

// Uses up to a limit, and the next time only a window after the last use.
bool use_credit(quota_holder& holder, quota_terms const& terms,
                std::uint64_t credit, std::uint64_t charge, mono_time now)
{
    if (is_scarce(holder, now) || now < holder.next_request_at)
        return false;
    bool const is_renewed = holder.credit_used > 0 &&
                            now - holder.credit_used_at > window_of(terms);
    auto const used = is_renewed ? 0 : holder.credit_used;
    if (used + charge > credit)
        return false;
    holder.credit_used = used + charge;
    holder.credit_used_at = now;
    holder.credit_unreported += charge;
    return true;
}

bool use_balance(quota_holder& holder, std::uint64_t charge)
{
    if (holder.balance < charge)
        return false;
    holder.balance -= charge;
    return true;
}

quota_decision refusal(quota_holder const& holder, std::uint64_t call,
                       mono_time now)
{
    quota_decision result;
    result.call = call;
    result.step =
        holder.is_unavailable ? quota_step::unavailable : quota_step::refuse;
    result.retry_in = std::max(microseconds{0}, holder.next_request_at - now);
    return result;
}

quota_decision acceptance(std::uint64_t call, std::uint64_t charge)
{
    return {call, quota_step::accept, charge, microseconds{0}};
}

std::vector<quota_decision> refuse_waiting(quota_holder& holder, mono_time now)
{
    std::vector<quota_decision> result;
    for (auto const& waiter : holder.waiting)
        result.push_back(refusal(holder, waiter.call, now));
    holder.waiting.clear();
    return result;
}

struct holding_goal
{
    double need = 0;
    double target = 0;
};

holding_goal goal_of(quota_holder const& holder, mono_time now)
{
    double const demand = demand_of(holder, now);
    if (is_scarce(holder, now))
    {
        if (demand < scarce_calls_min * holder.largest_cost)
            return {};
        return {need_s * demand, scarce_target_s * demand};
    }
    if (holder.recent_calls * decay(holder, now) < calls_min)
        return {};
    // The next call needs no answer if it comes within the validity.
    double const next = holder.largest_cost;
    return {need_s * demand + next, target_s * demand + next};
}

std::uint64_t missing(double goal, std::uint64_t balance)
{
    auto const whole = static_cast<std::uint64_t>(std::ceil(goal));
    return whole > balance ? whole - balance : 0;
}

// A charge that is too old was part of windows that begin after it.
std::uint64_t take_refunds(quota_holder& holder, quota_terms const& terms,
                           mono_time now)
{
    std::uint64_t result = 0;
    for (auto const& row : holder.refunds)
    {
        if (now - row.charged_at <= refund_age_limit(terms))
            result += row.charge;
    }
    holder.refunds.clear();
    return result;
}

quota_request make_request(quota_holder& holder, quota_terms const& terms,
                           bool returns_balance, mono_time now)
{
    quota_request request;
    request.counts_tokens = terms.counts_tokens;
    request.number = ++holder.last_number;
    request.returned = take_refunds(holder, terms, now);
    if (returns_balance)
        request.returned += std::exchange(holder.balance, 0);
    request.credit_used = holder.credit_unreported;
    request.demand = static_cast<std::uint64_t>(demand_of(holder, now));
    request.held = holder.balance;
    if (returns_balance)
        return request;
    for (auto const& waiter : holder.waiting)
        request.wanted += waiter.charge;
    double const next =
        holder.waiting.empty()
            ? holder.largest_cost
            : static_cast<double>(holder.waiting.front().charge);
    request.least = missing(next, holder.balance);
    auto const goal = goal_of(holder, now);
    auto const in_advance = static_cast<std::uint64_t>(goal.target);
    auto const all = request.wanted + in_advance;
    request.wanted -= std::min(request.wanted, holder.balance);
    request.advance =
        all > holder.balance ? all - holder.balance - request.wanted : 0;
    return request;
}

bool is_low(quota_holder const& holder, mono_time now)
{
    return now - holder.called_at < active_time &&
           static_cast<double>(holder.balance) < goal_of(holder, now).need;
}

} // namespace

quota_decision on_call(quota_holder& holder, quota_terms const& terms,
                       std::uint64_t credit, std::uint64_t call,
                       std::uint64_t charge, mono_time now)
{
    drop_expired(holder, now);
    count_call(holder, charge, now);
    if (use_balance(holder, charge) ||
        use_credit(holder, terms, credit, charge, now))
        return acceptance(call, charge);
    if (now < holder.next_request_at)
        return refusal(holder, call, now);
    holder.waiting.push_back({call, charge, now});
    return {call, quota_step::wait, 0, microseconds{0}};
}

std::optional<quota_request>
due_request(quota_holder& holder, quota_terms const& terms, mono_time now)
{
    drop_expired(holder, now);
    if (holder.requested_at)
    {
        if (holder.is_sent_again || now - holder.sent_at < answer_timeout)
            return std::nullopt;
        holder.is_sent_again = true;
        holder.sent_at = now;
        return holder.last_request;
    }
    bool const needs_tokens = !holder.waiting.empty() || is_low(holder, now);
    bool const reports =
        (holder.credit_unreported > 0 || !holder.refunds.empty()) &&
        now - holder.sent_at >= report_interval;
    bool const returns = holder.balance > 0 && is_scarce(holder, now) &&
                         now - holder.called_at >= idle_time;
    if (!reports && !returns && (!needs_tokens || now < holder.next_request_at))
        return std::nullopt;
    holder.last_request = make_request(holder, terms, returns, now);
    holder.requested_at = now;
    holder.sent_at = now;
    holder.is_sent_again = false;
    return holder.last_request;
}

std::vector<quota_decision> on_answer(quota_holder& holder,
                                      quota_answer const& answer, mono_time now)
{
    std::vector<quota_decision> result;
    if (!holder.requested_at || answer.number != holder.last_number)
        return result;
    auto const valid_until = *holder.requested_at + grant_validity;
    holder.requested_at.reset();
    drop_expired(holder, now);
    holder.is_unavailable = !answer.is_decided;
    bool const is_report =
        holder.last_request.wanted + holder.last_request.advance == 0;
    if (!is_report || !answer.is_decided)
        holder.next_request_at =
            now + std::clamp<microseconds>(microseconds{answer.retry_in_us},
                                           microseconds{0}, retry_limit);
    if (answer.is_decided)
    {
        holder.credit_unreported -=
            std::min(holder.credit_unreported, holder.last_request.credit_used);
        holder.is_plentiful = answer.is_plentiful;
        holder.answered_at = now;
        if (now < valid_until)
        {
            holder.balance += answer.granted;
            holder.valid_until = valid_until;
        }
    }
    std::deque<quota_waiter> left;
    for (auto const& waiter : std::exchange(holder.waiting, {}))
    {
        if (use_balance(holder, waiter.charge))
            result.push_back(acceptance(waiter.call, waiter.charge));
        else if (now < holder.next_request_at)
            result.push_back(refusal(holder, waiter.call, now));
        else
            left.push_back(waiter);
    }
    holder.waiting = std::move(left);
    return result;
}

// What was used without a grant is reported again: the issuer may not have
// received it. What was given back is not: it may have.
std::vector<quota_decision> expire(quota_holder& holder, mono_time now)
{
    bool const is_lost = holder.requested_at && holder.is_sent_again &&
                         now - holder.sent_at >= answer_timeout;
    bool const is_overdue = !holder.waiting.empty() &&
                            now - holder.waiting.front().since >= wait_limit;
    if (!is_lost && !is_overdue)
        return {};
    if (is_lost)
        holder.requested_at.reset();
    holder.is_unavailable = true;
    holder.next_request_at = now + unavailable_pause;
    return refuse_waiting(holder, now);
}

void refund(quota_holder& holder, quota_refund const& returned)
{
    holder.refunds.push_back(returned);
}

void remove_waiting(quota_holder& holder, std::uint64_t call)
{
    std::erase_if(holder.waiting,
                  [call](quota_waiter const& waiter)
                  {
                      return waiter.call == call;
                  });
}

bool is_unused(quota_holder const& holder, quota_terms const& terms,
               mono_time now)
{
    return holder.waiting.empty() && !holder.requested_at &&
           holder.credit_unreported == 0 && holder.refunds.empty() &&
           now - holder.called_at > window_of(terms) &&
           now >= holder.valid_until && now >= holder.next_request_at;
}

} // namespace jujubestand::limits
