#include "explorer.hpp"

#include <xxhash.h>

namespace jujubestand::claims::test
{

namespace
{

void put_call(msgpack::packer<msgpack::sbuffer>& out, claimed_call const& call)
{
    out.pack(call.request);
    out.pack(static_cast<int>(call.stage));
    out.pack(call.needs_append);
    out.pack(call.deadline.time_since_epoch().count());
    out.pack(call.answer_by.time_since_epoch().count());
}

void put_window(msgpack::packer<msgpack::sbuffer>& out,
                claim_window const& window)
{
    out.pack(window.next);
    for (auto const& [key, entry] : window.keys)
    {
        out.pack(entry.holder);
        out.pack(entry.outcome ? static_cast<int>(entry.outcome->result) : -1);
    }
    std::set<claim_nonce> const spent(window.spent.begin(), window.spent.end());
    for (auto const& nonce : spent)
        out.pack(nonce);
}

void put_sidecar(msgpack::packer<msgpack::sbuffer>& out,
                 sidecar_model const& sidecar)
{
    claimant const& state = sidecar.state;
    put_window(out, state.window);
    out.pack(state.is_read);
    out.pack(state.log_reachable);
    for (auto const& [number, call] : state.calls)
    {
        out.pack(number);
        put_call(out, call);
    }
    out.pack(state.abandons);
    out.pack(state.outcomes);
    out.pack(sidecar.wire ? sidecar.wire->bytes : std::string());
    out.pack(state.last_number);
    out.pack(sidecar.incarnation);
    out.pack(sidecar.mono.time_since_epoch().count());
}

} // namespace

std::string fingerprint(world const& at)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    for (auto const& sidecar : at.sidecars)
        put_sidecar(out, sidecar);
    out.pack(at.first);
    for (auto const& record : at.log)
        out.pack(record.bytes);
    auto late = at.late;
    std::sort(late.begin(), late.end());
    out.pack(late);
    for (auto const& call : at.calls)
    {
        out.pack(call.sidecar);
        out.pack(call.is_begun);
        out.pack(call.told ? static_cast<int>(*call.told) : -1);
    }
    out.pack(at.executions);
    out.pack(at.whole_answers);
    out.pack(at.wall.time_since_epoch().count());
    out.pack(at.faults_left);
    return {buffer.data(), buffer.size()};
}

} // namespace jujubestand::claims::test
