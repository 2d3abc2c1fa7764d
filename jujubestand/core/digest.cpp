#include <jujubestand/core/digest.hpp>

#include <array>
#include <openssl/sha.h>

namespace jujubestand
{

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
           digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (unsigned char const byte : digest)
    {
        text += "0123456789abcdef"[byte >> 4U];
        text += "0123456789abcdef"[byte & 0xFU];
    }
    return text;
}

} // namespace jujubestand
