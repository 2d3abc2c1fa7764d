#ifndef JUJUBESTAND_CORE_DIGEST_HPP
#define JUJUBESTAND_CORE_DIGEST_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace jujubestand
{

/// \brief The first 128 bits of a SHA-256.
struct digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(digest const&) const = default;

    MSGPACK_DEFINE_ARRAY(high, low)
};

/// \brief Digest of bytes that come in pieces.
class digest_stream
{
public:
    digest_stream();

    /// \brief Takes the next bytes.
    void add(std::string_view bytes);

    /// \brief Digest of all bytes taken; nothing may be added after.
    [[nodiscard]] digest finish();

private:
    struct freed
    {
        void operator()(evp_md_ctx_st* context) const noexcept;
    };
    std::unique_ptr<evp_md_ctx_st, freed> context;
};

/// \brief Digest of any bytes.
[[nodiscard]] digest digest_of(std::string_view bytes);

/// \brief Appends a text with its length, so that no two lists of parts are
/// the same bytes.
void append_part(std::string& bytes, std::string_view part);

/// \brief 32 lower-case hexadecimal digits.
[[nodiscard]] std::string to_text(digest const& value);

/// \brief Reads the output of `to_text`; empty for any other text.
[[nodiscard]] std::optional<digest>
digest_from_text(std::string_view text) noexcept;

/// \brief SHA-256 of `bytes`, as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace jujubestand

template <>
struct std::hash<jujubestand::digest>
{
    std::size_t operator()(jujubestand::digest const& value) const noexcept
    {
        return static_cast<std::size_t>(value.low);
    }
};

#endif
