// Settings files.

#include <cstddef>
#include <cstdint>
#include <jujubestand/settings/settings.hpp>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    namespace settings = jujubestand::settings;
    std::vector<jujubestand::reason> problems;
    (void)settings::parse(input, "fuzz", settings::role::entry, problems);
    return 0;
}
