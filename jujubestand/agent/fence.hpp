#ifndef JUJUBESTAND_AGENT_FENCE_HPP
#define JUJUBESTAND_AGENT_FENCE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <platform/store.hpp>
#include <string>

namespace jujubestand::agent
{

/// \brief Requests a fencing token for orders to engines. Each token is higher
/// than all that were requested before, by any process.
/// \param done called with no token if the store gave none
void request_fence(platform::store& store, std::string const& holder,
                   std::function<void(std::optional<std::uint64_t>)> done);

} // namespace jujubestand::agent

#endif
