#include <jujubestand/core/digest.hpp>

#include <array>
#include <charconv>
#include <jujubestand/core/ids.hpp>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace jujubestand
{

namespace
{

std::uint64_t word_at(unsigned char const* bytes) noexcept
{
    std::uint64_t word = 0;
    for (int at = 0; at < 8; ++at)
        word = (word << 8U) | bytes[at];
    return word;
}

using sha256_sum = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

sha256_sum sha256(std::string_view bytes)
{
    sha256_sum sum{};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
           sum.data());
    return sum;
}

} // namespace

void digest_stream::freed::operator()(evp_md_ctx_st* held) const noexcept
{
    EVP_MD_CTX_free(held);
}

digest_stream::digest_stream()
    : context(EVP_MD_CTX_new())
{
    EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr);
}

void digest_stream::add(std::string_view bytes)
{
    EVP_DigestUpdate(this->context.get(), bytes.data(), bytes.size());
}

digest digest_stream::finish()
{
    sha256_sum sum{};
    EVP_DigestFinal_ex(this->context.get(), sum.data(), nullptr);
    return digest{word_at(sum.data()), word_at(sum.data() + 8)};
}

digest digest_of(std::string_view bytes)
{
    sha256_sum const sum = sha256(bytes);
    return digest{word_at(sum.data()), word_at(sum.data() + 8)};
}

void append_part(std::string& bytes, std::string_view part)
{
    bytes += std::to_string(part.size());
    bytes += ':';
    bytes += part;
}

std::string to_text(digest const& value)
{
    return to_text(request_id{value.high, value.low});
}

std::optional<digest> digest_from_text(std::string_view text) noexcept
{
    constexpr std::size_t word_digits = 16;
    constexpr int hexadecimal = 16;
    if (text.size() != 2 * word_digits)
        return std::nullopt;
    digest result;
    for (auto* const word : {&result.high, &result.low})
    {
        auto const* const last = text.data() + word_digits;
        auto const read =
            std::from_chars(text.data(), last, *word, hexadecimal);
        if (read.ec != std::errc{} || read.ptr != last)
            return std::nullopt;
        text.remove_prefix(word_digits);
    }
    return result;
}

std::string sha256_hex(std::string_view bytes)
{
    std::string text;
    for (unsigned char const byte : sha256(bytes))
    {
        text += "0123456789abcdef"[byte >> 4U];
        text += "0123456789abcdef"[byte & 0xFU];
    }
    return text;
}

} // namespace jujubestand
