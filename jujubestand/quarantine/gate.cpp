#include <jujubestand/quarantine/gate.hpp>

#include <algorithm>

namespace jujubestand::quarantine
{

namespace
{

std::size_t in_flight_count(engine_gate const& gate)
{
    return static_cast<std::size_t>(
        std::count_if(gate.in_flight.begin(), gate.in_flight.end(),
                      [](auto const& item)
                      {
                          return !item.second.is_connection_broken;
                      }));
}

bool is_waiting(engine_gate const& gate, request_id const& request)
{
    return std::find(gate.waiting_suspects.begin(), gate.waiting_suspects.end(),
                     request) != gate.waiting_suspects.end();
}

void start_request(engine_gate& gate, request_id const& request,
                   digest const& fingerprint)
{
    std::erase(gate.waiting_suspects, request);
    gate.in_flight[request] = gate_request{fingerprint, false};
}

// While a suspect waits, no other request starts; otherwise the suspect would
// starve.
admission admit_suspect(engine_gate& gate, request_id const& request,
                        digest const& fingerprint)
{
    if (!is_waiting(gate, request))
        gate.waiting_suspects.push_back(request);
    if (in_flight_count(gate) > 0 || gate.waiting_suspects.front() != request)
        return admission::wait;
    start_request(gate, request, fingerprint);
    gate.isolated_suspect = request;
    return admission::start;
}

strike make_strike(engine_gate const& gate, digest const& fingerprint,
                   wall_time now)
{
    return {fingerprint, gate.upstream, gate.incarnation,
            now.time_since_epoch().count()};
}

// Every request in flight gets a strike, since the one that caused the crash is
// not known.
gate_result strike_in_flight(engine_gate& gate, wall_time now)
{
    notice recorded;
    for (auto const& [request, entry] : gate.in_flight)
        recorded.strikes.push_back(make_strike(gate, entry.fingerprint, now));
    gate.in_flight.clear();
    gate.isolated_suspect.reset();
    return {merge(gate.known_strikes, recorded, now)};
}

} // namespace

admission admit(engine_gate& gate, request_id const& request,
                digest const& fingerprint, wall_time now)
{
    quarantine_status const status =
        status_of(gate.known_strikes, fingerprint, now);
    if (status == quarantine_status::quarantined &&
        gate.rules.refuse_quarantined)
    {
        stop_waiting(gate, request);
        return admission::refuse;
    }
    bool const is_suspect = status != quarantine_status::unrestricted;
    if (gate.rules.isolate_suspects)
    {
        if (gate.isolated_suspect)
        {
            if (is_suspect && !is_waiting(gate, request))
                gate.waiting_suspects.push_back(request);
            return admission::wait;
        }
        if (is_suspect)
            return admit_suspect(gate, request, fingerprint);
        if (!gate.waiting_suspects.empty() && !is_waiting(gate, request))
            return admission::wait;
    }
    start_request(gate, request, fingerprint);
    return admission::start;
}

void stop_waiting(engine_gate& gate, request_id const& request)
{
    std::erase(gate.waiting_suspects, request);
}

gate_result on_request_end(engine_gate& gate, request_id const& request,
                           request_end outcome, wall_time now)
{
    auto const it = gate.in_flight.find(request);
    if (it == gate.in_flight.end())
        return {};
    if (outcome == request_end::connection_broken)
    {
        it->second.is_connection_broken = true;
        return {};
    }
    digest const fingerprint = it->second.fingerprint;
    gate.in_flight.erase(it);
    if (gate.isolated_suspect == request)
        gate.isolated_suspect.reset();
    bool const is_cleared = outcome == request_end::finished &&
                            gate.rules.clear_finished &&
                            status_of(gate.known_strikes, fingerprint, now) !=
                                quarantine_status::unrestricted;
    if (!is_cleared)
        return {};
    notice update;
    update.clearances.push_back(
        clearance_for(gate.known_strikes, fingerprint, now));
    return {merge(gate.known_strikes, update, now)};
}

gate_result on_engine_answer(engine_gate& gate, incarnation_id incarnation,
                             wall_time now)
{
    bool const is_known = gate.incarnation != incarnation_id{};
    bool const is_new_incarnation = is_known && gate.incarnation != incarnation;
    gate_result effects;
    if (is_new_incarnation)
        effects = strike_in_flight(gate, now);
    gate.incarnation = incarnation;
    // If the incarnation is the same, the connection broke but the engine did
    // not crash.
    std::erase_if(gate.in_flight,
                  [](auto const& item)
                  {
                      return item.second.is_connection_broken;
                  });
    if (gate.isolated_suspect &&
        !gate.in_flight.contains(*gate.isolated_suspect))
        gate.isolated_suspect.reset();
    return effects;
}

gate_result on_connect_refused(engine_gate& gate, wall_time now)
{
    gate_result effects = strike_in_flight(gate, now);
    // Requests that start from now on belong to the next incarnation.
    gate.incarnation = incarnation_id{};
    return effects;
}

bool has_broken_connection(engine_gate const& gate) noexcept
{
    return std::any_of(gate.in_flight.begin(), gate.in_flight.end(),
                       [](auto const& item)
                       {
                           return item.second.is_connection_broken;
                       });
}

} // namespace jujubestand::quarantine
