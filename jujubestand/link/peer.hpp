#ifndef JUJUBESTAND_LINK_PEER_HPP
#define JUJUBESTAND_LINK_PEER_HPP

#include <jujubestand/core/ids.hpp>
#include <msgpack.hpp>
#include <string>

namespace jujubestand::link
{

/// \brief Who is at the other end of a link, as its hello proved.
struct peer
{
    instance_id instance;
    incarnation_id incarnation;
    std::string role;

    MSGPACK_DEFINE_ARRAY(instance, incarnation, role)
};

} // namespace jujubestand::link

#endif
