// Answers of the log service to a read.

#include <cstddef>
#include <cstdint>
#include <jujubestand/platform/log_client.hpp>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    (void)jujubestand::platform::unpack_records(input, why);
    return 0;
}
