#ifndef REVIEW_SUPPORT_3_CASES_HPP
#define REVIEW_SUPPORT_3_CASES_HPP

#include "world.hpp"

// What each case plays and checks.
namespace review
{

/// \brief How a case ended; the exit code of its script.
enum class verdict : int
{
    held = 0,
    broken = 1,
    not_run = 2,
};

/// \brief An agent stands still, another machine orders its engine, and the
/// agent goes on with its older fence.
verdict play_frozen_agent(record& log, bool has_trouble);

/// \brief An agent ends, another machine orders its engine, and the agent is
/// back within the lease of that machine.
verdict play_restarted_agent(record& log, bool has_trouble);

/// \brief The operator raises the limit of bodies while consumers keep their
/// connections.
verdict play_raised_limit(record& log, bool has_trouble);

/// \brief A request crashes each worker that runs it, and the operator adds a
/// route.
verdict play_added_route(record& log, bool has_trouble);

/// \brief All processes are killed at once while workers of two software
/// versions serve, and consumers take up their streams.
verdict play_killed_processes(record& log, bool has_trouble);

/// \brief A tenant becomes isolated. It and another one send prompts that begin
/// with the same parts, whose ids are long.
verdict play_long_ids(record& log, bool has_trouble);

} // namespace review

#endif
