#include <jujubestand/placement/upstream_rules.hpp>

#include <algorithm>

namespace jujubestand::placement
{

namespace
{

bool is_excluded(placement_request const& request, upstream_id const& upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     upstream) != request.excluded.end();
}

} // namespace

bool has_adapter(link::probe_reply const& reply, std::string const& adapter)
{
    return adapter.empty() ||
           std::find(reply.adapters.begin(), reply.adapters.end(), adapter) !=
               reply.adapters.end();
}

rejection rejection_of(upstream_view const& view,
                       placement_request const& request,
                       link::probe_reply const& reply)
{
    if (view.membership.is_leaving || reply.leaving)
        return rejection::leaving;
    if (!reply.ready)
        return rejection::not_ready;
    if (is_excluded(request, view.membership.upstream))
        return rejection::excluded;
    if (!reply.role.empty() && reply.role != request.role)
        return rejection::other_role;
    bool const wants_version = !request.weights_version.empty();
    if (wants_version && reply.weights_version != request.weights_version)
        return rejection::other_weights;
    return rejection::none;
}

bool is_candidate(upstream_view const& view, placement_request const& request,
                  mono_time now, std::chrono::milliseconds lifetime)
{
    if (view.membership.is_leaving ||
        is_excluded(request, view.membership.upstream))
        return false;
    bool const is_recent = view.has_reply && now - view.reply_at < lifetime;
    if (!is_recent)
        return true;
    return rejection_of(view, request, view.reply) == rejection::none;
}

microseconds unreported_work_of(upstream_view const& view, mono_time probed_at,
                                mono_time now,
                                std::chrono::milliseconds lifetime)
{
    microseconds total{0};
    for (auto const& each : view.recent_work)
    {
        bool const is_recent = now - each.at < lifetime;
        if (is_recent && each.at >= probed_at)
            total += each.work;
    }
    return total;
}

double slow_start_factor(placement_options const& options,
                         link::probe_reply const& reply)
{
    auto const window =
        std::chrono::duration_cast<microseconds>(options.slow_start_window);
    auto const age = static_cast<double>(reply.engine_age_us);
    auto const window_us = static_cast<double>(window.count());
    if (age >= window_us)
        return 1.0;
    return 1.0 + (options.slow_start_factor - 1.0) * (1.0 - age / window_us);
}

// A longer time may have causes other than the network, such as load on the
// sidecar.
microseconds updated_round_trip(microseconds estimate, microseconds observed)
{
    if (estimate == microseconds{0} || observed < estimate)
        return observed;
    constexpr std::int64_t increase_divisor = 16;
    return estimate + (observed - estimate) / increase_divisor;
}

microseconds round_trip_of(upstream_view const& view)
{
    return std::max(view.round_trip, 2 * view.membership.distance);
}

microseconds estimated_wait(upstream_view const& view,
                            placement_options const& options, mono_time now)
{
    auto const unseen = unreported_work_of(view, view.probed_at, now,
                                           options.sent_work_lifetime);
    bool const is_recent =
        view.has_reply && now - view.reply_at < options.sent_work_lifetime;
    if (!is_recent)
        return unseen;
    return unseen + scaled(static_cast<double>(view.reply.queue_wait_us));
}

} // namespace jujubestand::placement
