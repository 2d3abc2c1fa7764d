// Lines of an engine that tells of its cache and load.

#include <cstddef>
#include <cstdint>
#include <jujubestand/sidecar/engine_report.hpp>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    (void)jujubestand::sidecar::read_cache_event(input, why);
    (void)jujubestand::sidecar::read_engine_report(input, why);
    return 0;
}
