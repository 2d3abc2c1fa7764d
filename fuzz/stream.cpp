// Event streams of an upstream.

#include <cstddef>
#include <cstdint>
#include <jujubestand/streams/sse.hpp>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    namespace streams = jujubestand::streams;
    streams::sse_splitter splitter;
    std::vector<streams::sse_event> events;
    (void)streams::feed(splitter, input, events, why);
    return 0;
}
