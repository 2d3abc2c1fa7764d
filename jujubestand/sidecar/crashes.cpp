// What a sidecar tells the entries of its engine's crashes.

#include <jujubestand/quarantine/call_keys.hpp>
#include <jujubestand/sidecar/sidecar_state.hpp>

namespace jujubestand::sidecar
{

namespace
{

/// An engine that has written an answer for so long doesn't crash by it.
constexpr std::chrono::milliseconds survival_time{2'000};

/// A sidecar has one engine.
constexpr quarantine::upstream_number engine_number = 0;

quarantine::answer_stage stage_of(call const& of)
{
    using quarantine::answer_stage;
    if (!of.has_head)
        return answer_stage::none;
    return of.output_since ? answer_stage::output : answer_stage::head;
}

} // namespace

void sidecar::state::record_cut(call const& of)
{
    bool const has_survived =
        of.output_since && mono_now() - *of.output_since >= survival_time;
    if (has_survived)
        return;
    if (this->engine_lost_at && of.started > *this->engine_lost_at)
        this->record_engine_alive(false);
    auto const& message = of.message;
    quarantine::on_cut(this->crashes, engine_number,
                       this->shared->settings.upstream, this->engine_seen,
                       quarantine::keys_of_call(message.team, message.route,
                                                message.body_digest,
                                                message.parts),
                       stage_of(of), wall_now());
}

// Connections that are found broken later are of the same crash, unless they
// were made after it.
void sidecar::state::record_engine_lost()
{
    if (!this->engine_lost_at)
        this->engine_lost_at = mono_now();
    auto const news = quarantine::on_condition(
        this->crashes, engine_number, {quarantine::upstream_condition::lost},
        wall_now());
    if (news.empty())
        return;
    // The entries keep what they are told; nothing is judged here.
    this->crashes = {};
    process::note(*this->shared, event_number::strike_recorded, {}, {},
                  {{"upstream", this->shared->settings.upstream.text},
                   {"strikes", std::to_string(news.strikes.size())}});
    process::send_news(this->news_targets, this->links,
                       this->tables.in_force().version, {news, {}});
}

void sidecar::state::record_engine_alive(bool is_report)
{
    if (std::exchange(this->engine_lost_at, std::nullopt))
        this->engine_seen = incarnation_id(
            static_cast<std::uint64_t>(wall_now().time_since_epoch().count()));
    if (!is_report)
        return;
    // Only the entries count answers.
    static_cast<void>(quarantine::on_condition(
        this->crashes, engine_number,
        {quarantine::upstream_condition::alive, wall_now()}, wall_now()));
}

} // namespace jujubestand::sidecar
