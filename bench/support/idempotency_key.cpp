#include <bench/support/idempotency_key.hpp>

#include <array>
#include <cstdint>
#include <cstdio>

namespace jujubestand::bench
{

std::string make_idempotency_key(std::mt19937_64& random, wall_time now)
{
    auto const time =
        static_cast<std::uint64_t>(now.time_since_epoch().count());
    std::uint64_t const first = random();
    std::uint64_t const second = random();
    constexpr std::size_t length = 37;
    std::array<char, length> text{};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx",
                  static_cast<unsigned>(time >> 16U),
                  static_cast<unsigned>(time & 0xffffU),
                  static_cast<unsigned>(first & 0xfffU),
                  static_cast<unsigned>(0x8000U | ((first >> 12U) & 0x3fffU)),
                  static_cast<unsigned long long>(second & 0xffffffffffffULL));
    return text.data();
}

} // namespace jujubestand::bench
