#include <jujubestand/limits/permit_holder.hpp>

#include <algorithm>
#include <jujubestand/limits/recent_count.hpp>

namespace jujubestand::limits
{

namespace
{

/// Validity of permits, from when they were requested: a gateway that stood
/// still in between can't use them.
constexpr std::chrono::milliseconds permit_validity{1'000};

/// Permits are requested this long after a call could have used one.
constexpr std::chrono::milliseconds need_memory{500};

constexpr std::chrono::milliseconds request_timeout{150};
constexpr std::chrono::milliseconds unanswered_pause{200};

/// After so many unanswered requests the issuer counts as unreachable.
constexpr unsigned unanswered_limit = 3;

/// Part by which the share rises towards a larger one with each answer: a
/// limit has just begun for the gateways that have not requested permits yet.
constexpr double share_rise = 0.2;

// Calls queue up by the expected share, so it falls at once.
void update_share(permit_holder& holder, double share)
{
    if (share <= 0)
        return;
    double const difference = share - holder.share;
    holder.share += difference < 0 ? difference : difference * share_rise;
}

} // namespace

permit_holder begin_holding(permit_holder const& before, double sent_before,
                            std::uint32_t gateways, mono_time now)
{
    permit_holder result;
    result.last_number = before.last_number;
    result.needed_at = before.needed_at;
    result.sent_before = sent_before;
    result.share = 1.0 / std::max(1U, gateways);
    result.named_at = now;
    return result;
}

bool has_permit(permit_holder const& holder, mono_time now)
{
    return holder.permits > 0 && now < holder.valid_until;
}

void use_permit(permit_holder& holder)
{
    --holder.permits;
}

bool is_request_due(permit_holder const& holder, mono_time now)
{
    return !has_permit(holder, now) && !holder.requested_at &&
           now >= holder.next_request_at && holder.needed_at &&
           now - *holder.needed_at <= need_memory;
}

permit_request begin_request(permit_holder& holder, limit_record const& limit,
                             std::uint32_t wanted, mono_time now)
{
    holder.requested_at = now;
    permit_request request;
    request.limit = limit;
    request.number = ++holder.last_number;
    request.wanted = wanted;
    bool const counts = now - holder.named_at < recent_time;
    request.sent_before = counts ? holder.sent_before : 0;
    return request;
}

bool on_answer(permit_holder& holder, permit_answer const& answer,
               mono_time now)
{
    if (!holder.requested_at || answer.number != holder.last_number)
        return false;
    auto const requested_at = *holder.requested_at;
    holder.requested_at.reset();
    holder.unanswered = 0;
    update_share(holder, answer.share);
    if (answer.granted == 0)
    {
        holder.next_request_at =
            now + std::max(microseconds{answer.retry_in_us}, microseconds{0});
        return false;
    }
    holder.permits = answer.granted;
    holder.valid_until = requested_at + permit_validity;
    return has_permit(holder, now);
}

void expire_request(permit_holder& holder, mono_time now)
{
    if (!holder.requested_at || now - *holder.requested_at < request_timeout)
        return;
    holder.requested_at.reset();
    holder.next_request_at = now + unanswered_pause;
    ++holder.unanswered;
}

microseconds time_to_permit(permit_holder const& holder, mono_time now)
{
    if (has_permit(holder, now))
        return microseconds{0};
    return std::max(microseconds{0}, holder.next_request_at - now);
}

bool is_issuer_unreachable(permit_holder const& holder) noexcept
{
    return holder.unanswered >= unanswered_limit;
}

double expected_rate(permit_holder const& holder, double rate)
{
    return is_issuer_unreachable(holder) ? 0 : rate * holder.share;
}

} // namespace jujubestand::limits
