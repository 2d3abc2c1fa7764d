#ifndef JUJUBESTAND_LIMITS_QUOTA_MESSAGES_HPP
#define JUJUBESTAND_LIMITS_QUOTA_MESSAGES_HPP

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace jujubestand::limits
{

/// \brief Request of a gateway to the one that issues the tokens of a team.
struct quota_request
{
    std::string team;
    /// Calls cost tokens of prompts by the sender's configuration.
    bool counts_tokens = false;
    /// Number of the request; the answer repeats it. A request that is sent
    /// again has the same number.
    std::uint64_t number = 0;
    /// What the calls that wait need.
    std::uint64_t wanted = 0;
    /// The smallest grant that is of use.
    std::uint64_t least = 0;
    /// What the calls of the next moment need.
    std::uint64_t advance = 0;
    /// Cost per second of the calls that have arrived lately.
    std::uint64_t demand = 0;
    /// Tokens that the sender still holds.
    std::uint64_t held = 0;
    /// Tokens used without a grant since the last answer.
    std::uint64_t credit_used = 0;
    /// Tokens that it gives back.
    std::uint64_t returned = 0;

    MSGPACK_DEFINE_ARRAY(team, counts_tokens, number, wanted, least, advance,
                         demand, held, credit_used, returned)
};

/// \brief Answer to a `quota_request`.
struct quota_answer
{
    std::string team;
    std::uint64_t number = 0;
    /// False if the answering gateway can't decide: it is not the issuer, or
    /// is cut off from the others.
    bool is_decided = false;
    std::uint64_t granted = 0;
    /// Time until the next request may be granted; 0: at once.
    std::int64_t retry_in_us = 0;
    /// The issuer can still grant at least half of a burst.
    bool is_plentiful = false;

    MSGPACK_DEFINE_ARRAY(team, number, is_decided, granted, retry_in_us,
                         is_plentiful)
};

} // namespace jujubestand::limits

#endif
