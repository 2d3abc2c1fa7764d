#ifndef JUJUBESTAND_PLATFORM_LOG_RECORD_HPP
#define JUJUBESTAND_PLATFORM_LOG_RECORD_HPP

#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/time.hpp>
#include <string>
#include <vector>

namespace jujubestand::platform
{

/// \brief One record of a stream.
struct log_record
{
    log_offset offset;
    /// When the service took it in, by the service's clock.
    wall_time appended{};
    std::string bytes;
};

/// \brief What one read of a stream's end returned; perhaps no records.
struct log_batch
{
    std::vector<log_record> records;
    /// The oldest record that the service still keeps.
    log_offset first_kept;
    /// The offset that the next append will get.
    log_offset next;
};

} // namespace jujubestand::platform

#endif
