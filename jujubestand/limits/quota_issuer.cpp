#include <jujubestand/limits/quota_issuer.hpp>

#include <algorithm>
#include <cmath>

namespace jujubestand::limits
{

namespace
{

/// Interval of the requests of all gateways together while none is granted.
constexpr std::chrono::milliseconds request_spacing{40};

/// With many gateways the interval is shorter, so that requests are spread over
/// this time only, but at most as short as this.
constexpr std::chrono::milliseconds spread_limit{1'000};
constexpr std::chrono::milliseconds spacing_min{10};

/// A gateway without a request for this long, and for the time that its
/// requests are spread over, has no demand.
constexpr std::chrono::milliseconds requester_memory{2'000};

/// Gateways learn of a new one at different times: until then the issuer before
/// it goes on.
constexpr std::chrono::milliseconds takeover_time{500};

constexpr std::chrono::milliseconds undecided_retry{200};

/// Least part of scarce tokens that a requester is granted in advance.
constexpr double advance_part_min = 0.1;

/// Limit on numbers that other processes state.
constexpr double stated_limit = 1e12;

double stated(std::uint64_t number)
{
    return std::min(static_cast<double>(number), stated_limit);
}

microseconds spread_of(std::size_t requesters)
{
    auto const count = static_cast<std::int64_t>(requesters);
    return std::clamp<microseconds>(spread_limit, spacing_min * count,
                                    request_spacing * count);
}

void remove_silent(issued_quota& issued, mono_time now)
{
    auto const memory = requester_memory + spread_of(issued.requesters.size());
    std::erase_if(issued.requesters,
                  [&](auto const& row)
                  {
                      return now - row.second.requested_at > memory;
                  });
}

double held_by_all(issued_quota const& issued, mono_time now)
{
    double result = 0;
    for (auto const& [host, requester] : issued.requesters)
    {
        if (now < requester.held_until)
            result += requester.held;
    }
    return result;
}

double demand_of_all(issued_quota const& issued)
{
    double result = 0;
    for (auto const& [host, requester] : issued.requesters)
        result += requester.demand;
    return result;
}

// What gateways hold counts as if it were still in the bucket: it may be used
// in the same window.
double room_of(issued_quota const& issued, quota_terms const& quota,
               mono_time at)
{
    return std::max(0.0, capacity_of(quota) - held_by_all(issued, at));
}

void settle_reports(issued_quota& issued, quota_request const& request,
                    issue_terms const& terms, mono_time now)
{
    auto& bucket = issued.bucket;
    bucket.tokens -= stated(request.credit_used);
    bucket.tokens += std::min(
        stated(request.returned),
        std::max(0.0, room_of(issued, terms.quota, now) - bucket.tokens));
}

struct grant_parts
{
    double for_waiting = 0;
    double in_advance = 0;
};

// Scarce tokens go to the gateways by their demand.
grant_parts divide(issued_quota const& issued, quota_requester const& requester,
                   quota_request const& request, quota_terms const& quota)
{
    double const level = issued.bucket.tokens;
    double const capacity = capacity_of(quota);
    double const least = std::min(stated(request.least), capacity);
    grant_parts result;
    if (level <= 0 || level < least)
        return result;
    double const wanted = stated(request.wanted);
    // What doesn't fit in the bucket is granted while that is full.
    result.for_waiting =
        std::min(wanted, std::max(std::floor(level), stated(request.least)));
    double const left = level - result.for_waiting;
    if (left <= 0)
        return result;
    double const reserved = capacity / 2;
    double const share =
        requester.demand / std::max(1.0, demand_of_all(issued));
    double const offered = left > reserved
                               ? std::max(left - reserved, left * share)
                               : left * std::max(share, advance_part_min);
    result.in_advance = std::floor(std::min(stated(request.advance), offered));
    bool const is_of_use = wanted > 0 || result.in_advance >= least;
    if (!is_of_use && request.advance > 0)
        result.in_advance = least <= left ? least : 0;
    return result;
}

microseconds time_to(double tokens, issued_quota const& issued,
                     issue_terms const& terms, mono_time now)
{
    double const rate = terms.quota.rate * terms.rate_share;
    double const missing = std::max(0.0, tokens - issued.bucket.tokens);
    constexpr double us_per_second = 1e6;
    auto const start = std::max(microseconds{0}, issued.bucket.filled_at - now);
    return start +
           scaled(std::min(missing / rate * us_per_second,
                           static_cast<double>(
                               microseconds{window_of(terms.quota)}.count())));
}

} // namespace

// A new issuer can't tell what the one before it granted: it starts with what
// the rate brings from the time on at which that one has surely ended.
void begin_issuing(quota_issuer& issuer, std::string const& team,
                   issue_terms const& terms, mono_time now)
{
    auto const [at, is_new] = issuer.teams.try_emplace(team);
    if (!is_new)
        return;
    auto& issued = at->second;
    issued.counts_tokens = terms.quota.counts_tokens;
    issued.bucket.filled_at = std::min(now, terms.since + takeover_time);
    fill(issued.bucket, terms.quota.rate * terms.rate_share, terms.quota.burst,
         now);
    // The bucket is filled only from the end of the takeover on.
    issued.bucket.filled_at = std::max(now, terms.since + takeover_time);
}

quota_answer issue(quota_issuer& issuer, std::string const& host,
                   quota_request const& request, issue_terms const& terms,
                   mono_time now, double draw)
{
    if (request.counts_tokens != terms.quota.counts_tokens)
        return undecided(request);
    begin_issuing(issuer, request.team, terms, now);
    auto& issued = issuer.teams.at(request.team);
    remove_silent(issued, now);
    auto const known = issued.requesters.find(host);
    if (known != issued.requesters.end() &&
        request.number <= known->second.last_answer.number)
        return request.number == known->second.last_answer.number
                   ? known->second.last_answer
                   : undecided(request);
    refill(issued, terms, now);
    auto& requester = issued.requesters[host];
    requester.requested_at = now;
    requester.demand = stated(request.demand);
    requester.held = stated(request.held);
    requester.held_until = now + grant_validity;
    settle_reports(issued, request, terms, now);
    auto const parts = divide(issued, requester, request, terms.quota);
    double const granted = parts.for_waiting + parts.in_advance;
    issued.bucket.tokens -= granted;
    bool const is_short_of_calls = parts.for_waiting < stated(request.wanted);
    requester.held +=
        parts.in_advance + (is_short_of_calls ? parts.for_waiting : 0);
    quota_answer answer;
    answer.team = request.team;
    answer.number = request.number;
    answer.is_decided = true;
    answer.granted = static_cast<std::uint64_t>(granted);
    answer.is_plentiful = issued.bucket.tokens >= capacity_of(terms.quota) / 2;
    if (is_short_of_calls || (granted == 0 && request.advance > 0))
    {
        auto const spread = spread_of(issued.requesters.size());
        double const least =
            std::min(stated(request.least), capacity_of(terms.quota));
        answer.retry_in_us =
            (time_to(least, issued, terms, now) +
             scaled(draw * static_cast<double>(spread.count())) +
             microseconds{1'000})
                .count();
        ++issued.refusals;
    }
    issued.granted += answer.granted;
    requester.last_answer = answer;
    return answer;
}

quota_answer undecided(quota_request const& request)
{
    quota_answer answer;
    answer.team = request.team;
    answer.number = request.number;
    answer.retry_in_us = microseconds{undecided_retry}.count();
    return answer;
}

quota_answer unlimited(quota_request const& request)
{
    quota_answer answer;
    answer.team = request.team;
    answer.number = request.number;
    answer.is_decided = true;
    answer.granted = request.wanted;
    answer.is_plentiful = true;
    return answer;
}

// Tokens that were held when the bucket was last filled take up room until now:
// they may just have been used.
void refill(issued_quota& issued, issue_terms const& terms, mono_time now)
{
    auto& bucket = issued.bucket;
    if (now >= bucket.filled_at)
        fill(bucket, terms.quota.rate * terms.rate_share,
             room_of(issued, terms.quota, bucket.filled_at), now);
}

void change_terms(issued_quota& issued, quota_terms const& terms)
{
    if (issued.counts_tokens != terms.counts_tokens)
    {
        auto const filled_at = issued.bucket.filled_at;
        issued = {};
        issued.bucket.filled_at = filled_at;
        issued.counts_tokens = terms.counts_tokens;
    }
    issued.bucket.tokens = std::min(issued.bucket.tokens, capacity_of(terms));
}

} // namespace jujubestand::limits
