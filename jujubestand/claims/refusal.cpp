#include <jujubestand/claims/refusal.hpp>

namespace jujubestand::claims
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds log_pause{1'000};
constexpr milliseconds abandon_pause{100};

// Advice is given only where the same request can do better later.
milliseconds pause_after(reason_code code) noexcept
{
    switch (code)
    {
    case reason_code::log_unavailable:
    case reason_code::log_truncated:
    case reason_code::claims_unread:
    case reason_code::queue_full:
        return log_pause;
    case reason_code::claim_abandoned:
        return abandon_pause;
    default:
        return milliseconds{0};
    }
}

char const* text_of(reason_code code) noexcept
{
    switch (code)
    {
    case reason_code::claim_abandoned:
        return "the claim before this one was taken back unrun";
    case reason_code::claim_body_differs:
        return "the key was used with another body";
    case reason_code::claim_pending:
        return "another claim on the key has not ended yet";
    case reason_code::claim_unknown:
        return "another claim on the key ended in an unknown way";
    case reason_code::claims_unread:
        return "the claim stream has not been read to its end yet";
    case reason_code::key_from_future:
        return "the key's time lies ahead of the clocks";
    case reason_code::key_too_old:
        return "the key is too old to decide";
    case reason_code::log_truncated:
        return "records of the claim stream were lost while reading";
    case reason_code::log_unavailable:
        return "the log does not answer";
    default:
        return "";
    }
}

} // namespace

answer_wanted refusal(request_id const& request, reason_code code)
{
    return {request, verdict::not_run, reason{code, text_of(code), {}},
            pause_after(code), std::nullopt};
}

answer_wanted uncertain(request_id const& request, reason_code code)
{
    return {request, verdict::may_have_run, reason{code, text_of(code), {}},
            milliseconds{0}, std::nullopt};
}

answer_wanted recorded_answer(request_id const& request,
                              call_outcome const& outcome)
{
    if (outcome.result != verdict::ran)
        return uncertain(request, reason_code::claim_unknown);
    return {request, verdict::ran,
            reason{reason_code::already_ran, "the call ran before", {}},
            milliseconds{0}, outcome};
}

} // namespace jujubestand::claims
