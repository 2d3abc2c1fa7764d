#ifndef JUJUBESTAND_DISPATCH_PROCESS_WORDS_HPP
#define JUJUBESTAND_DISPATCH_PROCESS_WORDS_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <map>
#include <string>

namespace jujubestand::dispatch
{

/// \brief One process of an upstream.
struct process_id
{
    std::string upstream;
    std::uint64_t born_ms = 0;

    auto operator<=>(process_id const&) const = default;
};

/// \brief What a process has stated of itself in its answers.
struct process_words
{
    /// It receives no new calls for the rest of its life.
    bool is_leaving = false;
    /// It asked this gateway for no calls before this time.
    mono_time paused_until{};
    /// When it last did so, on the wall clock, as upstreams state their start.
    wall_time pause_stated_at{};
    /// Position in the order in which processes became known.
    std::uint64_t number = 0;
};

/// \brief Processes and their statements. They outlive the processes' records,
/// which may be removed and come back.
struct words_table
{
    std::map<process_id, process_words> rows;
    std::uint64_t last_number = 0;
    /// By how much this gateway's clock may be behind those by which upstreams
    /// state their start; 0 while nothing shows that it is.
    std::chrono::milliseconds clock_tolerance{0};
};

/// \brief Compares the clock of this gateway with a start that a record states:
/// one in the future shows that the clocks differ.
void check_clock(words_table& table, std::uint64_t born_ms, wall_time wall_now);

/// \brief Records that a process has been named by a record of its upstream. A
/// pause that was asked for since its start, while an older record named the
/// upstream, is its own.
void record_process(words_table& table, process_id const& process);

/// \brief The latest process of an upstream that is known; an older record may
/// come from an older copy of the store.
[[nodiscard]] process_id latest_process(words_table const& table,
                                        process_id const& named);

/// \brief What a process has stated; nothing if it is not known.
[[nodiscard]] process_words find_words(words_table const& table,
                                       process_id const& process);

/// \brief Records that a process leaves.
/// \returns whether that is news
bool record_leaving(words_table& table, process_id const& process);

/// \brief Records that a process asked for a pause.
/// \returns whether it was not in one
bool record_pause(words_table& table, process_id const& process,
                  std::chrono::milliseconds pause, wall_time wall_now,
                  mono_time now);

} // namespace jujubestand::dispatch

#endif
