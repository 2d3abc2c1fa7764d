#ifndef JUJUBESTAND_TRAFFIC_WEIGHTS_HPP
#define JUJUBESTAND_TRAFFIC_WEIGHTS_HPP

#include <cstdint>
#include <string>

namespace jujubestand::traffic
{

/// \brief Version of a model's weights that the operator wants in use.
struct wanted_weights
{
    std::string model;
    std::uint64_t version = 0;
};

} // namespace jujubestand::traffic

#endif
