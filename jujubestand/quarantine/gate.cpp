#include <jujubestand/quarantine/gate.hpp>

#include <algorithm>

namespace jujubestand::quarantine
{

namespace
{

std::size_t running_count(engine_gate const& gate)
{
    return static_cast<std::size_t>(std::count_if(gate.running.begin(),
                                                  gate.running.end(),
                                                  [](auto const& row)
                                                  {
                                                      return !row.second.is_cut;
                                                  }));
}

bool is_waiting(engine_gate const& gate, request_id const& request)
{
    return std::find(gate.waiting.begin(), gate.waiting.end(), request) !=
           gate.waiting.end();
}

void start(engine_gate& gate, request_id const& request,
           digest const& fingerprint)
{
    std::erase(gate.waiting, request);
    gate.running[request] = gate_request{fingerprint, false};
}

// While a suspect waits, no other request starts; otherwise the suspect would
// starve.
passage pass_suspect(engine_gate& gate, request_id const& request,
                     digest const& fingerprint)
{
    if (!is_waiting(gate, request))
        gate.waiting.push_back(request);
    if (running_count(gate) > 0 || gate.waiting.front() != request)
        return passage::wait;
    start(gate, request, fingerprint);
    gate.alone = request;
    return passage::start;
}

strike strike_of(engine_gate const& gate, digest const& fingerprint,
                 wall_time now)
{
    return {fingerprint, gate.upstream, gate.incarnation,
            now.time_since_epoch().count()};
}

// Every request in flight gets a strike, since the one that caused the crash is
// not known.
gate_effects strike_all(engine_gate& gate, wall_time now)
{
    notice found;
    for (auto const& [request, entry] : gate.running)
        found.strikes.push_back(strike_of(gate, entry.fingerprint, now));
    gate.running.clear();
    gate.alone.reset();
    return {merge(gate.book, found, now)};
}

} // namespace

passage pass(engine_gate& gate, request_id const& request,
             digest const& fingerprint, wall_time now)
{
    judgement const found = judge(gate.book, fingerprint, now);
    if (found == judgement::refused && gate.rules.quarantined_are_refused)
    {
        give_up(gate, request);
        return passage::refuse;
    }
    bool const is_suspect = found != judgement::free;
    if (gate.rules.suspects_run_alone)
    {
        if (gate.alone)
        {
            if (is_suspect && !is_waiting(gate, request))
                gate.waiting.push_back(request);
            return passage::wait;
        }
        if (is_suspect)
            return pass_suspect(gate, request, fingerprint);
        if (!gate.waiting.empty() && !is_waiting(gate, request))
            return passage::wait;
    }
    start(gate, request, fingerprint);
    return passage::start;
}

void give_up(engine_gate& gate, request_id const& request)
{
    std::erase(gate.waiting, request);
}

gate_effects depart(engine_gate& gate, request_id const& request, departure how,
                    wall_time now)
{
    auto const at = gate.running.find(request);
    if (at == gate.running.end())
        return {};
    if (how == departure::cut)
    {
        at->second.is_cut = true;
        return {};
    }
    digest const fingerprint = at->second.fingerprint;
    gate.running.erase(at);
    if (gate.alone == request)
        gate.alone.reset();
    bool const is_cleared =
        how == departure::finished && gate.rules.finished_are_cleared &&
        judge(gate.book, fingerprint, now) != judgement::free;
    if (!is_cleared)
        return {};
    notice made;
    made.clearances.push_back(clear_of(gate.book, fingerprint, now));
    return {merge(gate.book, made, now)};
}

gate_effects see_engine(engine_gate& gate, incarnation_id incarnation,
                        wall_time now)
{
    bool const is_known = gate.incarnation != incarnation_id{};
    bool const is_new = is_known && gate.incarnation != incarnation;
    gate_effects effects;
    if (is_new)
        effects = strike_all(gate, now);
    gate.incarnation = incarnation;
    // If the incarnation is the same, the connection broke but the engine did
    // not crash.
    std::erase_if(gate.running,
                  [](auto const& row)
                  {
                      return row.second.is_cut;
                  });
    if (gate.alone && !gate.running.contains(*gate.alone))
        gate.alone.reset();
    return effects;
}

gate_effects lose_engine(engine_gate& gate, wall_time now)
{
    gate_effects effects = strike_all(gate, now);
    // Requests that start from now on belong to the next incarnation.
    gate.incarnation = incarnation_id{};
    return effects;
}

bool has_cut(engine_gate const& gate) noexcept
{
    return std::any_of(gate.running.begin(), gate.running.end(),
                       [](auto const& row)
                       {
                           return row.second.is_cut;
                       });
}

} // namespace jujubestand::quarantine
