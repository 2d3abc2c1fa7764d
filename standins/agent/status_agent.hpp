#ifndef JUJUBESTAND_STANDINS_AGENT_STATUS_AGENT_HPP
#define JUJUBESTAND_STANDINS_AGENT_STATUS_AGENT_HPP

#include <jujubestand/loop/datagrams.hpp>
#include <set>
#include <string>
#include <vector>

namespace jujubestand::standins
{

/// \brief The agent beside an engine, as far as gateways learn of each other
/// by it: answers their status datagrams with a list of gateways.
class status_agent
{
public:
    /// \param hosts IP addresses of the gateways
    /// \throws std::runtime_error if it can't bind
    status_agent(event_base* loop, address const& where,
                 std::vector<std::string> hosts);

    /// \brief Reports the engine as lost.
    void lose_engine();

    /// \brief Names of the gateways that have the list.
    [[nodiscard]] std::set<std::string> const& informed() const noexcept;

private:
    void answer(address const& sender, std::string_view bytes);

    std::vector<std::string> gateways;
    std::set<std::string> informed_gateways;
    bool is_engine_reachable = true;
    loop::datagrams socket;
};

} // namespace jujubestand::standins

#endif
