// Requests of callers, as the reader of heads and bodies takes them.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <event2/buffer.h>
#include <jujubestand/http1/reader.hpp>
#include <memory>

namespace
{

struct buffer_deleter
{
    void operator()(evbuffer* owned) const noexcept
    {
        evbuffer_free(owned);
    }
};

} // namespace

// The first byte is the size of the pieces in which the others come.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes,
                                      std::size_t size)
{
    namespace http1 = jujubestand::http1;
    if (size == 0)
        return 0;
    std::size_t const piece = bytes[0] == 0 ? size : bytes[0];
    http1::reader_limits const limits{16'384, 4'096};
    http1::reader reader(http1::message_kind::request, limits);
    std::unique_ptr<evbuffer, buffer_deleter> const input(evbuffer_new());
    std::size_t body_bytes = 0;
    for (std::size_t at = 1; at < size; at += piece)
    {
        evbuffer_add(input.get(), bytes + at, std::min(piece, size - at));
        bool is_complete = true;
        while (is_complete && evbuffer_get_length(input.get()) > 0)
        {
            auto const found = reader.read(input.get());
            if (found.failure)
                return 0;
            body_bytes += found.body.size();
            if (body_bytes > limits.body_bytes)
                std::abort();
            is_complete = found.is_complete;
            if (is_complete)
            {
                body_bytes = 0;
                reader.reset();
            }
        }
    }
    return 0;
}
