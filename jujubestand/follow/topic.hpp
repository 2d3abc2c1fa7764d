#ifndef JUJUBESTAND_FOLLOW_TOPIC_HPP
#define JUJUBESTAND_FOLLOW_TOPIC_HPP

#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::follow
{

/// \brief Newest record of a key; an empty value marks the key as removed.
struct record
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;

    bool operator==(record const&) const = default;

    MSGPACK_DEFINE_ARRAY(key, value, offset)
};

/// \brief Records read from an offset on.
struct read_page
{
    std::vector<record> records;
    /// Offset after the topic's newest record.
    std::uint64_t end = 0;
};

/// \brief Newest record of every key.
struct listing
{
    std::vector<record> records;
    /// End offset of the topic when the first part of the list was created.
    std::uint64_t end = 0;
    /// Keys that are not in the list were removed. False if it holds only the
    /// changes after an offset.
    bool is_complete = false;

    MSGPACK_DEFINE_ARRAY(records, end, is_complete)
};

/// \brief A process's copy of a keyed topic of the store.
struct topic
{
    std::map<std::string, record> newest;
    /// Offset of the first unread record.
    std::uint64_t next = 0;
    /// Whether a complete list has been read.
    bool is_listed = false;
    /// Changes at and after this offset are known, removals included. A copy
    /// that began with a list lacks the removals before it.
    std::uint64_t changes_from = 0;
    /// The copy includes everything written before this time; empty if
    /// unknown.
    std::optional<mono_time> current_as_of;
};

/// \brief Applies a list of all keys.
///
/// A list that ends before `state.next` is outdated and is ignored. A key that
/// is not in the list was removed, unless its record has an offset at or after
/// the end of the list.
/// \param requested_at when the list was requested
/// \returns the changed records; removed keys have an empty value
std::vector<record> on_listing(topic& state, listing const& list,
                               mono_time requested_at);

/// \brief Applies records read from `state.next` on.
std::vector<record> on_page(topic& state, read_page const& page,
                            mono_time requested_at);

/// \brief Applies another process's confirmation that at `confirmed_at`, by the
/// local clock, no record existed from `end` on.
void on_confirmation(topic& state, std::uint64_t end, mono_time confirmed_at);

/// \brief Number of keys without the removed ones.
[[nodiscard]] std::size_t live_keys(topic const& state);

/// \brief Newest records from an offset on, for a process that has all records
/// before that offset; removed keys have an empty value. A complete list if not
/// all changes since then are known.
[[nodiscard]] listing changes_since(topic const& state, std::uint64_t since);

/// \brief Applies the result of `changes_since` of another process.
/// \param since requested offset; a list that leaves a gap is ignored
std::vector<record> on_peer_records(topic& state, listing const& list,
                                    std::uint64_t since,
                                    mono_time confirmed_at);

/// \brief Upper bound of the copy's staleness; empty if it was never
/// confirmed.
[[nodiscard]] std::optional<microseconds> staleness(topic const& state,
                                                    mono_time now);

} // namespace jujubestand::follow

#endif
