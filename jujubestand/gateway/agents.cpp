#include <jujubestand/gateway/agents.hpp>

#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/moves.hpp>
#include <jujubestand/gateway/peers.hpp>
#include <jujubestand/status/messages.hpp>
#include <map>

namespace jujubestand::gateway
{

namespace
{

dispatch::engine_load to_load(status::answer const& from, mono_time now)
{
    dispatch::engine_load load;
    load.at = now - std::chrono::milliseconds{from.report_age_ms};
    load.is_down = !from.is_engine_reachable;
    load.is_preparing = from.is_preparing;
    if (from.load_due_us >= 0)
        load.load_due_at = now + microseconds{from.load_due_us};
    load.report.is_busy = from.is_busy;
    load.report.versions = from.versions;
    load.report.queued = from.queued;
    load.report.running = from.running;
    load.report.reading = from.reading;
    load.report.memory_used = from.memory_used;
    load.report.memory_total = from.memory_total;
    return load;
}

void take_proof(gateway_state& self, std::string const& host,
                status::answer const& from)
{
    if (from.proof_age_us < 0 || from.asked_at_us == 0)
        return;
    auto const proven_at =
        mono_time{microseconds{from.asked_at_us - from.proof_age_us}};
    auto const& known = self.operator_topic->known();
    if (!known.is_listed || from.operator_end > known.next)
        fetch_records(self, host, *self.operator_topic, operator_records_path,
                      known.is_listed ? known.next : 0, proven_at);
    else
        self.operator_topic->vouch(from.operator_end, proven_at);
}

/// Data on an engine that is sent to its agent.
struct engine_place
{
    std::string id;
    status::cache_mark cache;
    std::uint32_t place = 0;
    std::uint32_t engines = 1;
};

// Engines are numbered in order of their ids, which all gateways share.
std::map<std::string, engine_place> engines_by_host(gateway_state const& self)
{
    std::map<std::string, std::uint32_t> pools;
    std::map<std::string, engine_place> hosts;
    for (auto const& [id, key] : self.dispatch.by_id)
    {
        auto const& one = self.dispatch.upstreams.at(key);
        auto const& host = one.record.where.host;
        if (one.versions.empty() || one.is_replaced ||
            dispatch::find_by_host(self.dispatch, host) != &one)
            continue;
        auto& count = pools[one.record.pool];
        hosts[host] = {id, one.cache.mark, count, 1};
        if (!one.record.is_leaving)
            ++count;
    }
    for (auto& [host, engine] : hosts)
    {
        auto const& one =
            self.dispatch.upstreams.at(self.dispatch.by_id.at(engine.id));
        engine.engines = pools[one.record.pool];
    }
    return hosts;
}

} // namespace

void ask_agents(gateway_state& self)
{
    status::question question;
    auto const now = mono_now();
    auto const& known = self.operator_topic->known();
    question.asked_at_us = to_us(now);
    question.operator_end = known.next;
    for (auto const& [model, wanted] : self.dispatch.weights)
        question.wanted[model] = wanted.version;
    if (auto const age = follow::age(known, now))
        question.proof_age_us = age->count();
    question.gateway = self.settings.name;
    question.link_mbps = self.settings.link_mbps;
    question.gateways_hash = status::hash_of(self.peers);
    for (auto const& [host, engine] : engines_by_host(self))
    {
        if (!may_ask(self.questions, host, now))
            continue;
        question.cache = engine.cache;
        question.upstream = engine.id;
        question.place = engine.place;
        question.engines = engine.engines;
        self.datagrams->send(address{host, self.settings.internal_port},
                             status::to_datagram(question));
    }
}

void on_agent_answer(gateway_state& self, address const& from,
                     std::string_view bytes)
{
    auto const answer = status::from_datagram<status::answer>(bytes);
    if (!answer)
        return;
    auto const now = mono_now();
    if (answer->asked_at_us != 0)
        on_answered(self.questions, from.host);
    auto const* const one = dispatch::find_by_host(self.dispatch, from.host);
    if (one != nullptr)
    {
        bool const was_preparing = one->load && one->load->is_preparing;
        dispatch::on_load(self.dispatch, one->key, to_load(*answer, now));
        if (answer->is_preparing && !was_preparing)
            move_streams(self, one->key);
        dispatch::on_cache(self.dispatch, one->key, answer->cache);
    }
    if (!answer->gateways.empty())
    {
        self.peers = answer->gateways;
        self.dispatch.gateways =
            static_cast<std::uint32_t>(answer->gateways.size());
    }
    take_proof(self, from.host, *answer);
    plan_review(self);
}

} // namespace jujubestand::gateway
