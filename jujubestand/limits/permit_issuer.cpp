#include <jujubestand/limits/permit_issuer.hpp>

#include <algorithm>
#include <cmath>
#include <jujubestand/placement/rendezvous.hpp>

namespace jujubestand::limits
{

namespace
{

/// Interval of the requests of all gateways together while none is granted.
constexpr std::chrono::milliseconds request_spacing{40};

/// A gateway without a request for this long, and for the time that its
/// requests are spread over, needs no permits.
constexpr std::chrono::milliseconds requester_memory{2'000};

/// Retry interval of requests that the wrong gateway received.
constexpr std::chrono::milliseconds denied_retry{200};

/// Calls that were sent before the limit was known count if they are reported
/// within this time.
constexpr std::chrono::milliseconds report_time{1'000};

constexpr std::chrono::minutes unused_memory{1};

/// A permit that is due for an order is kept for this long.
constexpr std::chrono::milliseconds reservation_time{500};

microseconds spread_of(std::size_t requesters)
{
    return request_spacing * static_cast<std::int64_t>(requesters);
}

void count_sent_before(issued_permits& issued, permit_requester& requester,
                       double sent_before, double rate, mono_time now)
{
    if (requester.is_counted || now - issued.since > report_time)
        return;
    requester.is_counted = true;
    double const before = debt_of(issued.sent_before, rate);
    issued.sent_before += std::max(0.0, sent_before);
    issued.bucket.tokens -= debt_of(issued.sent_before, rate) - before;
}

void remove_silent(issued_permits& issued, mono_time now)
{
    auto const memory = requester_memory + spread_of(issued.requesters.size());
    std::erase_if(issued.requesters,
                  [&](auto const& row)
                  {
                      return now - row.second.requested_at > memory;
                  });
}

// A new issuer can't tell what the one before it granted last, so its bucket
// starts empty.
issued_permits& find_issued(permit_issuer& issuer,
                            permit_request const& request, mono_time now)
{
    auto& issued = issuer.upstreams[request.limit.upstream];
    bool const is_new = issued.since == mono_time{};
    if (is_new || issued.incarnation != request.limit.incarnation)
    {
        issued = {};
        issued.incarnation = request.limit.incarnation;
        issued.since = now;
        issued.bucket.filled_at = now;
    }
    return issued;
}

// The next permit goes to an order that waits for one: it comes once, and calls
// would take each permit before it.
void reserve_for_order(issued_permits& issued, std::string const& host,
                       double rate, mono_time now)
{
    if (now < issued.reserved_until)
        return;
    issued.reserved_for = host;
    issued.reserved_until =
        now + time_to_token(issued.bucket, rate) + reservation_time;
}

bool is_reserved_for_other(issued_permits const& issued,
                           std::string const& host, mono_time now)
{
    return now < issued.reserved_until && issued.reserved_for != host;
}

// Tokens are divided among the gateways that request them.
std::uint32_t grant(issued_permits& issued, std::uint32_t wanted)
{
    if (issued.bucket.tokens < 1)
        return 0;
    double const share = std::floor(
        issued.bucket.tokens / static_cast<double>(issued.requesters.size()));
    auto const granted = std::min(
        std::max(wanted, 1U), static_cast<std::uint32_t>(std::max(1.0, share)));
    issued.bucket.tokens -= granted;
    return granted;
}

} // namespace

permit_answer issue(permit_issuer& issuer, std::string const& host,
                    permit_request const& request, double rate, mono_time now,
                    double draw)
{
    auto& issued = find_issued(issuer, request, now);
    auto& requester = issued.requesters[host];
    requester.requested_at = now;
    remove_silent(issued, now);
    fill(issued.bucket, rate, now);
    count_sent_before(issued, requester, request.sent_before, rate, now);
    permit_answer answer;
    answer.limit = request.limit;
    answer.number = request.number;
    bool const is_reserved = is_reserved_for_other(issued, host, now);
    if (!is_reserved)
        answer.granted = grant(issued, request.wanted);
    answer.share = 1 / static_cast<double>(issued.requesters.size());
    if (answer.granted > 0)
    {
        if (issued.reserved_for == host)
            issued.reserved_until = now;
        return answer;
    }
    auto wait = time_to_token(issued.bucket, rate);
    if (request.is_for_order)
        reserve_for_order(issued, host, rate, now);
    else
        wait += scaled(draw * static_cast<double>(
                                  spread_of(issued.requesters.size()).count()));
    answer.retry_in_us = wait.count();
    return answer;
}

permit_answer deny(permit_request const& request)
{
    permit_answer answer;
    answer.limit = request.limit;
    answer.number = request.number;
    answer.retry_in_us = microseconds{denied_retry}.count();
    return answer;
}

void remove_unused(permit_issuer& issuer, mono_time now)
{
    std::erase_if(issuer.upstreams,
                  [now](auto const& row)
                  {
                      return now - row.second.bucket.filled_at > unused_memory;
                  });
}

std::optional<std::string> issuer_of(std::vector<std::string> const& hosts,
                                     upstream_id const& upstream)
{
    return issuer_of(hosts, std::string_view(upstream.text));
}

std::optional<std::string> issuer_of(std::vector<std::string> const& hosts,
                                     std::string_view name)
{
    auto const key = placement::name_hash_of(name);
    std::optional<std::string> best;
    double best_score = 0;
    for (auto const& host : hosts)
    {
        double const score = placement::rendezvous_score(
            key, placement::name_hash_of(host), 1.0);
        if (best && score <= best_score)
            continue;
        best = host;
        best_score = score;
    }
    return best;
}

} // namespace jujubestand::limits
