#include <jujubestand/process/listening.hpp>

namespace jujubestand::process
{

std::optional<listening> listen(settings::settings const& read,
                                http::server& front, link::node& links,
                                reason& why)
{
    auto const http = front.listen(read.http, why);
    if (!http)
        return std::nullopt;
    auto const link = links.listen(read.link, why);
    if (!link)
        return std::nullopt;
    return listening{*http, *link};
}

} // namespace jujubestand::process
