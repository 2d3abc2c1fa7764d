#include <jujubestand/agent/answers.hpp>

#include <algorithm>
#include <jujubestand/agent/weights.hpp>

namespace jujubestand::agent
{

namespace
{

/// A gateway whose copy of the operator's topic was last confirmed longer ago
/// than this needs a newer confirmation.
constexpr std::chrono::milliseconds proof_age_limit{2'500};
/// The agent reads the topic for such a gateway only if its own copy was
/// confirmed longer ago than this.
constexpr std::chrono::milliseconds own_proof_age_limit{800};

std::int64_t to_ms(microseconds span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

status::answer answer_to(agent_state& self, status::question const& asked,
                         mono_time now)
{
    status::answer answer;
    answer.asked_at_us = asked.asked_at_us;
    answer.agent = self.settings.name;
    answer.is_engine_reachable = self.is_reachable;
    forget_silent(self.gateways, now);
    answer.gateways = hosts_unless_known(self.gateways, asked.gateways_hash);
    auto const& known = self.operator_topic->known();
    answer.operator_end = known.next;
    if (auto const age = follow::age(known, now))
        answer.proof_age_us = age->count();
    if (!self.report)
        return answer;
    auto const& report = *self.report;
    answer.is_preparing = is_preparing(self.weights, report, now);
    if (auto const due = load_due(self.weights, report, now))
        answer.load_due_us = due->count();
    answer.is_busy = report.is_busy;
    answer.versions = report.versions;
    answer.queued = report.queued;
    answer.running = report.running;
    answer.reading = report.reading;
    answer.memory_used = report.memory_used;
    answer.memory_total = report.memory_total;
    answer.cache = status::delta_since(self.cache, asked.cache);
    answer.report_age_ms =
        static_cast<std::uint32_t>(to_ms(now - self.reported_at));
    return answer;
}

// Applies what the request says about the engine; gateways read it from the
// store.
void take_news(agent_state& self, status::question const& asked, mono_time now)
{
    for (auto const& [model, version] : asked.wanted)
        take_wanted(self, model, version, now);
    self.upstream = asked.upstream;
    self.weights.place = asked.place;
    self.weights.engines = std::max(1U, asked.engines);
}

// Reads the operator's topic if neither the gateway's nor the agent's copy was
// confirmed recently.
void refresh_for(agent_state& self, status::question const& asked,
                 mono_time now)
{
    auto const& known = self.operator_topic->known();
    auto const age = follow::age(known, now);
    bool const lacks_proof =
        (asked.proof_age_us < 0 ||
         microseconds{asked.proof_age_us} > proof_age_limit) &&
        (!age || *age > own_proof_age_limit);
    if (lacks_proof)
        self.operator_topic->refresh();
}

} // namespace

// Gateways must learn of such a change before their next status request.
void tell_gateways(agent_state& self)
{
    auto const now = mono_now();
    bool const is_usable = self.is_reachable && self.report &&
                           !self.report->is_busy &&
                           !is_preparing(self.weights, *self.report, now);
    if (is_usable == self.was_usable)
        return;
    self.was_usable = is_usable;
    status::question unasked;
    unasked.cache = {self.cache.generation, self.cache.generation};
    auto const bytes = status::to_datagram(answer_to(self, unasked, now));
    for (auto const& [name, gateway] : self.gateways)
        self.questions->send(gateway.where, bytes);
}

void on_question(agent_state& self, address const& from, std::string_view bytes)
{
    auto const asked = status::from_datagram<status::question>(bytes);
    if (!asked)
        return;
    auto const now = mono_now();
    if (!self.first_asked_at)
        self.first_asked_at = now;
    take_news(self, *asked, now);
    self.gateways[asked->gateway] = known_gateway{from, asked->link_mbps, now};
    self.questions->send(from,
                         status::to_datagram(answer_to(self, *asked, now)));
    refresh_for(self, *asked, now);
}

} // namespace jujubestand::agent
