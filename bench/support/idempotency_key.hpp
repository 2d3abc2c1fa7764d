#ifndef JUJUBESTAND_BENCH_SUPPORT_IDEMPOTENCY_KEY_HPP
#define JUJUBESTAND_BENCH_SUPPORT_IDEMPOTENCY_KEY_HPP

#include <jujubestand/core/time.hpp>
#include <random>
#include <string>

namespace jujubestand::bench
{

/// \brief A UUIDv7 (RFC 9562) of the given time.
[[nodiscard]] std::string make_idempotency_key(std::mt19937_64& random,
                                               wall_time now);

} // namespace jujubestand::bench

#endif
