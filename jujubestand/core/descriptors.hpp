#ifndef JUJUBESTAND_CORE_DESCRIPTORS_HPP
#define JUJUBESTAND_CORE_DESCRIPTORS_HPP

#include <algorithm>
#include <cstddef>
#include <sys/resource.h>

namespace jujubestand
{

/// \brief Descriptors that this process may open, by the system's limit.
[[nodiscard]] inline std::size_t system_descriptor_limit()
{
    // Where there is no limit, as many as a large instance has.
    constexpr std::size_t without_limit = 65'536;
    rlimit system{};
    if (::getrlimit(RLIMIT_NOFILE, &system) != 0 ||
        system.rlim_cur == RLIM_INFINITY)
        return without_limit;
    return std::min(without_limit, static_cast<std::size_t>(system.rlim_cur));
}

} // namespace jujubestand

#endif
