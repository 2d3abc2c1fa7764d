// Pages that the tool reads from processes.

#include <cstddef>
#include <cstdint>
#include <jujubestand/timeline/json.hpp>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    (void)jujubestand::timeline::page_from_json(input, why);
    (void)jujubestand::timeline::parse_query(input, why);
    return 0;
}
