#ifndef JUJUBESTAND_CLAIMS_TEST_EXPLORER_HPP
#define JUJUBESTAND_CLAIMS_TEST_EXPLORER_HPP

#include <array>
#include <cstddef>
#include <jujubestand/claims/claimant.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jujubestand::claims::test
{

/// \brief How far an exploration goes.
struct explorer_limits
{
    std::size_t sidecars = 2;
    std::size_t calls = 3;
    int depth = 10;
    int faults = 2;
    claim_rules rules;
};

/// \brief What one call of the key has met so far.
struct call_record
{
    std::size_t sidecar = 0;
    bool is_begun = false;
    std::optional<verdict> told;
};

/// \brief A sidecar, and its append that the log has not answered.
struct sidecar_model
{
    claimant state;
    std::optional<append_wanted> wire;
    mono_time mono{};
    std::uint64_t incarnation = 0;
};

/// \brief Everything at one point of an interleaving.
struct world
{
    std::vector<sidecar_model> sidecars;
    std::vector<log_record> log;
    std::uint64_t first = 1;
    std::vector<std::string> late;
    std::vector<call_record> calls;
    std::size_t executions = 0;
    std::size_t whole_answers = 0;
    wall_time wall{};
    int faults_left = 0;
    std::string broken;
};

/// \brief What an exploration found.
struct exploration
{
    std::size_t states = 0;
    std::size_t steps = 0;
    std::size_t begun_states = 0;
    std::size_t finished_states = 0;
    /// Steps that lead to a broken rule; empty if there are none.
    std::vector<std::string> trace;
    std::string broken;
};

/// \brief Walks all interleavings within the limits, each state once.
[[nodiscard]] exploration explore(explorer_limits const& limits);

/// \brief All steps that a world allows, by name.
[[nodiscard]] std::vector<std::pair<std::string, world>>
successors(world const& from, explorer_limits const& limits);

[[nodiscard]] world first_world(explorer_limits const& limits);

/// \brief All that decides a world's future, as bytes.
[[nodiscard]] std::string fingerprint(world const& at);

} // namespace jujubestand::claims::test

#endif
