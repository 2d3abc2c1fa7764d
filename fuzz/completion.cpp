// Callers' bodies.

#include <cstddef>
#include <cstdint>
#include <jujubestand/entry/completion.hpp>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    static jujubestand::entry::completion_reader reader(64);
    (void)reader.read(input, why);
    return 0;
}
