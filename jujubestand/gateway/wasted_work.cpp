#include <jujubestand/gateway/wasted_work.hpp>

namespace jujubestand::gateway
{

void add_wasted_call(wasted_work& work, double tokens)
{
    ++work.calls;
    work.tokens += tokens;
}

std::optional<wasted_work> take_wasted_work(wasted_work& work, mono_time now)
{
    constexpr std::chrono::milliseconds report_interval{1'000};
    if (work.calls == 0 ||
        (work.reported_at && now - *work.reported_at < report_interval))
        return std::nullopt;
    wasted_work const result = work;
    work = {};
    work.reported_at = now;
    return result;
}

} // namespace jujubestand::gateway
