// A library to preload into one process: steps its wall clock, and no other
// clock, by the milliseconds in the file that CLOCK_STEP_FILE names.

#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace
{

constexpr std::int64_t ms_per_s = 1'000;
constexpr std::int64_t ns_per_ms = 1'000'000;
constexpr std::int64_t ns_per_s = 1'000'000'000;

std::int64_t const volatile* map_step()
{
    char const* const path = std::getenv("CLOCK_STEP_FILE");
    int const file = path == nullptr ? -1 : ::open(path, O_RDONLY);
    if (file < 0)
        return nullptr;
    void* const mapped =
        ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return mapped == MAP_FAILED
               ? nullptr
               : static_cast<std::int64_t const volatile*>(mapped);
}

std::int64_t step_ms()
{
    static std::int64_t const volatile* const step = map_step();
    return step == nullptr ? 0 : *step;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* result) noexcept
{
    auto const failed = ::syscall(SYS_clock_gettime, clock, result);
    if (failed != 0 || clock != CLOCK_REALTIME)
        return static_cast<int>(failed);
    auto const step = step_ms();
    result->tv_sec += step / ms_per_s;
    result->tv_nsec += step % ms_per_s * ns_per_ms;
    if (result->tv_nsec < 0)
    {
        result->tv_nsec += ns_per_s;
        --result->tv_sec;
    }
    if (result->tv_nsec >= ns_per_s)
    {
        result->tv_nsec -= ns_per_s;
        ++result->tv_sec;
    }
    return 0;
}
