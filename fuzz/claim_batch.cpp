// Records of a claim stream.

#include <cstddef>
#include <cstdint>
#include <jujubestand/claims/record.hpp>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    (void)jujubestand::claims::unpack(input, why);
    return 0;
}
