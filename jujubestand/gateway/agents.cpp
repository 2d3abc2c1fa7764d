#include <jujubestand/gateway/agents.hpp>

#include <algorithm>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/status/messages.hpp>
#include <memory>
#include <map>

namespace jujubestand::gateway
{

namespace
{

constexpr std::chrono::milliseconds fetch_timeout{1'000};

std::int64_t to_us(mono_time at)
{
    return at.time_since_epoch().count();
}

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

void take_records(gateway_state& self, std::string const& bytes,
                  mono_time proven_at)
{
    try
    {
        auto const records = bounded_unpack(bytes)->as<follow::listing>();
        self.operator_topic->take(records, proven_at);
    }
    catch (std::exception const& error)
    {
        self.log->write(event_number::record_rejected, {},
                        {{"key", "agent"}, {"why", error.what()}});
    }
}

// The agent knows records of the operator that we lack.
void fetch_records(gateway_state& self, std::string const& host,
                   mono_time proven_at)
{
    if (self.is_fetching)
        return;
    self.is_fetching = true;
    http1::client_request request;
    request.server = address{host, self.settings.internal_port};
    request.target = "/records";
    request.fields = {{"Host", to_text(request.server)}};
    request.timeout = fetch_timeout;
    auto const body = std::make_shared<std::string>();
    http1::call_events events;
    events.on_head = [](http1::message_head const&) {};
    events.on_body = [body](std::string_view bytes)
    {
        *body += bytes;
    };
    events.on_end = [&self, body, proven_at](http1::call_end const& end)
    {
        self.is_fetching = false;
        if (end.is_complete)
            take_records(self, *body, proven_at);
    };
    self.calls->start(std::move(request), std::move(events));
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
        fetch_records(self, host, proven_at);
    else
        self.operator_topic->vouch(from.operator_end, proven_at);
}

} // namespace

void ask_agents(gateway_state& self)
{
    status::question question;
    auto const now = mono_now();
    auto const& known = self.operator_topic->known();
    question.asked_at_us = to_us(now);
    question.operator_end = known.next;
    if (auto const age = follow::age(known, now))
        question.proof_age_us = age->count();
    question.gateway = self.settings.name;
    std::map<std::string, std::uint64_t> hosts;
    for (auto const& [key, one] : self.dispatch.upstreams)
    {
        if (!one.versions.empty())
            hosts[one.record.where.host] = one.cache.generation;
    }
    for (auto const& [host, generation] : hosts)
    {
        question.cache_generation = generation;
        self.agents->send(address{host, self.settings.internal_port},
                          status::to_bytes(question));
    }
}

void on_agent_answer(gateway_state& self, address const& from,
                     std::string_view bytes)
{
    auto const answer = status::read_answer(bytes);
    if (!answer)
        return;
    auto const now = mono_now();
    auto const* const one = dispatch::find_by_host(self.dispatch, from.host);
    if (one != nullptr)
    {
        bool const was_preparing = one->load && one->load->is_preparing;
        dispatch::on_load(self.dispatch, one->key, to_load(*answer, now));
        if (answer->is_preparing && !was_preparing)
            move_streams(self, one->key);
        dispatch::on_cache(self.dispatch, one->key, answer->cache);
    }
    self.dispatch.gateways = std::max(1U, answer->gateways);
    take_proof(self, from.host, *answer);
    review_waiting(self);
}

} // namespace jujubestand::gateway
