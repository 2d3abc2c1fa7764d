#include <jujubestand/gateway/origin_notices.hpp>

#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/origin_records.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::gateway
{

hosts_by_software agents_by_software(gateway_state const& state,
                                     std::string const& pool)
{
    hosts_by_software result;
    for (auto const& [key, target] : state.dispatch.upstreams)
    {
        if (target.record.pool == pool && !target.versions.empty() &&
            !target.is_replaced)
            result[target.record.software_version].push_back(
                target.record.where.host);
    }
    return result;
}

void send_origin_notice(gateway_state& state, origin_key stream,
                        std::string const& software_version, bool is_writing)
{
    status::origin_notice notice;
    notice.stream = stream;
    notice.software_version = software_version;
    notice.is_sender_writing = is_writing;
    auto const datagram = status::to_datagram(notice);
    for (auto const& host :
         origin_holders(known_gateways(state, mono_now()), state.settings.ip,
                        stream, origin_replicas))
        state.datagrams->send(address{host, state.settings.internal_port},
                              datagram);
}

void announce_origin(gateway_state& state, active_call const& call)
{
    auto const stream = origin_key_of(call.caller_request.request_id);
    record_origin(state.origins, stream, call.software_version);
    bool const is_resumable = call.route.is_resumable;
    if (is_resumable)
        keep_begun(state.origin_writes,
                   {stream, call.software_version, mono_now()});
    send_origin_notice(state, stream, call.software_version,
                       !is_resumable ||
                           is_writing_origins(state, call.software_version));
    status::origin_notice notice;
    notice.stream = stream;
    notice.software_version = call.software_version;
    auto const datagram = status::to_datagram(notice);
    auto agents = agents_by_software(state, call.dispatch_call.pool);
    for (auto const& host : origin_holders(agents[call.software_version], {},
                                           stream, origin_agents))
        state.datagrams->send(address{host, state.settings.internal_port},
                              datagram);
}

} // namespace jujubestand::gateway
