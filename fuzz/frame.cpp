// Bytes of a stream from another process, and the messages in them.

#include <cstddef>
#include <cstdint>
#include <jujubestand/link/framing.hpp>
#include <jujubestand/link/messages.hpp>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    std::string const input(reinterpret_cast<char const*>(bytes), size);
    jujubestand::reason why;
    namespace link = jujubestand::link;
    link::frame_reader reader{4'096, {}};
    std::vector<link::received_frame> frames;
    (void)link::feed(reader, input, frames, why);
    for (auto const& got : frames)
    {
        (void)link::from_frame<link::call>(got.message, why);
        (void)link::from_frame<link::probe>(got.message, why);
        (void)link::from_frame<link::probe_reply>(got.message, why);
        (void)link::from_frame<link::failure>(got.message, why);
    }
    return 0;
}
