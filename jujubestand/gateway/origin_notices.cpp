#include <jujubestand/gateway/origin_notices.hpp>

#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/origin_records.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::gateway
{

namespace
{

void send_to_all(gateway_state& state, std::vector<std::string> const& hosts,
                 status::origin_notice const& notice)
{
    auto const datagram = status::to_datagram(notice);
    for (auto const& host : hosts)
        state.datagrams->send(address{host, state.settings.internal_port},
                              datagram);
}

status::origin_notice notice_of(origin_key stream,
                                std::string const& software_version)
{
    status::origin_notice result;
    result.stream = stream;
    result.software_version = software_version;
    return result;
}

} // namespace

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
    auto notice = notice_of(stream, software_version);
    notice.is_sender_writing = is_writing;
    send_to_all(state,
                origin_holders(known_gateways(state, mono_now()),
                               state.settings.ip, stream, origin_replicas),
                notice);
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
    auto agents = agents_by_software(state, call.dispatch_call.pool);
    send_to_all(state,
                origin_holders(agents[call.software_version], {}, stream,
                               origin_agents),
                notice_of(stream, call.software_version));
}

} // namespace jujubestand::gateway
