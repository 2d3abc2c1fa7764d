#ifndef JUJUBESTAND_CLAIMS_RECORD_HPP
#define JUJUBESTAND_CLAIMS_RECORD_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <jujubestand/claims/key.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/verdict.hpp>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::claims
{

/// \brief Names one claim for ever: who made it, and its number there.
struct claim_nonce
{
    incarnation_id claimant;
    std::uint64_t number = 0;

    auto operator<=>(claim_nonce const&) const = default;

    MSGPACK_DEFINE_ARRAY(claimant, number)
};

/// \brief "I shall run this call, if mine is the first live claim."
struct claim_record
{
    claim_nonce nonce;
    digest key;
    digest body;

    MSGPACK_DEFINE_ARRAY(nonce, key, body)
};

/// \brief "I have not begun this call, and never shall."
struct abandon_record
{
    claim_nonce nonce;
    digest key;

    MSGPACK_DEFINE_ARRAY(nonce, key)
};

/// \brief How a claimed call ended.
struct call_outcome
{
    verdict result = verdict::may_have_run;
    std::int32_t status = 0;
    std::string content_type;
    /// Of the whole answer.
    digest answer_digest;
    std::uint64_t answer_bytes = 0;
    /// The whole answer where it is small enough, otherwise empty.
    std::string answer;

    MSGPACK_DEFINE_ARRAY(result, status, content_type, answer_digest,
                         answer_bytes, answer)
};

/// \brief "My claimed call ended so."
struct outcome_record
{
    claim_nonce nonce;
    digest key;
    call_outcome outcome;

    MSGPACK_DEFINE_ARRAY(nonce, key, outcome)
};

/// \brief All that one append carries; folded in the order of its members.
struct batch
{
    static constexpr std::uint8_t current_version = 1;

    std::uint8_t version = current_version;
    std::vector<abandon_record> abandons;
    std::vector<claim_record> claims;
    std::vector<outcome_record> outcomes;

    [[nodiscard]] bool empty() const noexcept
    {
        return this->abandons.empty() && this->claims.empty() &&
               this->outcomes.empty();
    }

    MSGPACK_DEFINE_ARRAY(version, abandons, claims, outcomes)
};

/// \brief Bytes of one log record.
[[nodiscard]] std::string pack(batch const& records);

/// \brief Reads one log record.
/// \returns nothing, with `why` set, for another version or other bytes
[[nodiscard]] std::optional<batch> unpack(std::string_view bytes, reason& why);

/// \brief Whether an outcome carries its whole answer.
[[nodiscard]] bool has_whole_answer(call_outcome const& outcome) noexcept;

/// \brief An outcome as it is recorded.
/// \param answer the upstream's whole answer
/// \param limit_bytes longer answers are recorded by their digest only
[[nodiscard]] call_outcome make_outcome(std::int32_t status,
                                        std::string_view content_type,
                                        std::string_view answer,
                                        std::size_t limit_bytes);

} // namespace jujubestand::claims

template <>
struct std::hash<jujubestand::claims::claim_nonce>
{
    std::size_t
    operator()(jujubestand::claims::claim_nonce const& nonce) const noexcept
    {
        constexpr std::uint64_t spread = 0x9e3779b97f4a7c15ULL;
        return static_cast<std::size_t>(nonce.claimant.value ^
                                        (nonce.number * spread));
    }
};

#endif
