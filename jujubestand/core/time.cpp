#include <jujubestand/core/time.hpp>

#include <jujubestand/core/wall_clock.hpp>
#include <mutex>

namespace jujubestand
{

namespace
{

microseconds machine_time()
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

wall_time machine_wall_now() noexcept
{
    return wall_time{
        std::chrono::floor<std::chrono::milliseconds>(machine_time())};
}

wall_time wall_now() noexcept
{
    static std::mutex mutex;
    static stepless_clock clock;
    std::lock_guard const lock(mutex);
    return advance(clock, machine_time(), mono_now());
}

} // namespace jujubestand
