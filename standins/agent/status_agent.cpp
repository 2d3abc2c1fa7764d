#include <standins/agent/status_agent.hpp>

#include <jujubestand/status/messages.hpp>
#include <stdexcept>
#include <utility>

namespace jujubestand::standins
{

status_agent::status_agent(event_base* loop, address const& where,
                           std::vector<std::string> hosts)
    : gateways(std::move(hosts))
    , socket(loop,
             [this](address const& sender, std::string_view bytes)
             {
                 this->answer(sender, bytes);
             })
{
    reason why;
    if (!this->socket.bind(where, why))
        throw std::runtime_error("cannot bind " + to_text(where));
}

std::set<std::string> const& status_agent::informed() const noexcept
{
    return this->informed_gateways;
}

void status_agent::lose_engine()
{
    this->is_engine_reachable = false;
}

void status_agent::answer(address const& sender, std::string_view bytes)
{
    auto const asked = status::from_datagram<status::status_request>(bytes);
    if (!asked)
        return;
    status::status_response response;
    response.request_sent_at_us = asked->sent_at_us;
    response.agent = asked->upstream;
    response.is_engine_reachable = this->is_engine_reachable;
    if (asked->gateways_hash == status::hash_of(this->gateways))
        this->informed_gateways.insert(asked->gateway);
    else
        response.gateways = this->gateways;
    this->socket.send(sender, status::to_datagram(response));
}

} // namespace jujubestand::standins
