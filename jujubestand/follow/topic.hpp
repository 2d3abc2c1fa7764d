#ifndef JUJUBESTAND_FOLLOW_TOPIC_HPP
#define JUJUBESTAND_FOLLOW_TOPIC_HPP

#include <compare>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <set>
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

/// \brief Version that a value states of itself, compared in order: a value
/// with a higher one is newer, whatever the offsets of the two.
struct value_version
{
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    auto operator<=>(value_version const&) const = default;

    MSGPACK_DEFINE_ARRAY(major, minor)
};

/// \brief Reads the version of a record's value; empty if it states none.
using version_reader = std::optional<value_version> (*)(record const&);

/// \brief Records read from an offset on.
struct read_page
{
    std::vector<record> records;
    /// Offset after the topic's newest record.
    std::uint64_t end = 0;
    /// Era of the store; 0 if not stated.
    std::uint64_t era = 0;
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
    /// Era of the store that the offsets are of; 0 if not stated.
    std::uint64_t era = 0;
    /// Keys whose records here are newer than the store's.
    std::set<std::string> unrestored{};
    /// Versions of the last values of unrestored removed keys.
    std::map<std::string, value_version> removed_versions{};

    MSGPACK_DEFINE_ARRAY(records, end, is_complete, era, unrestored,
                         removed_versions)
};

/// \brief A process's copy of a keyed topic of the store.
///
/// The store may return from a copy that is some seconds old: it loses what was
/// written since and gives the offsets out again. Its era then rises. Values
/// that this process knows and the store has lost hold until they are written
/// again.
struct topic
{
    /// Reads the versions of values; null if they state none.
    version_reader version_of = nullptr;
    /// Whether keys that the store has lost are kept. If not, they count as
    /// removed until they are written again.
    bool keeps_lost_keys = false;
    /// Era of the store that the offsets are of; 0 if not stated.
    std::uint64_t era = 0;
    /// Keys whose records here are newer than the store's.
    std::set<std::string> unrestored;
    /// Versions of the last values of removed keys.
    std::map<std::string, value_version> removed_versions;
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
/// A list that ends before `state.next` is outdated and is ignored, unless it
/// is of a later era. A key that is not in the list was removed, unless its
/// record has an offset at or after the end of the list. \param requested_at
/// when the list was requested \returns the changed records; removed keys have
/// an empty value
std::vector<record> on_listing(topic& state, listing const& list,
                               mono_time requested_at);

/// \brief Whether an answer of the store is of a later era than the copy, which
/// then has to be listed again.
[[nodiscard]] bool has_returned(topic const& state, std::uint64_t era);

/// \brief Applies records read from `state.next` on; ignores those of another
/// era.
std::vector<record> on_page(topic& state, read_page const& page,
                            mono_time requested_at);

/// \brief Applies another process's confirmation that at `confirmed_at`, by the
/// local clock, no record existed from `end` on. One of another era confirms
/// nothing.
void on_confirmation(topic& state, std::uint64_t era, std::uint64_t end,
                     mono_time confirmed_at);

/// \brief Versions of the unrestored values, by key.
[[nodiscard]] std::map<std::string, value_version>
unrestored_versions(topic const& state);

/// \brief Whether any of another process's unrestored values is newer than the
/// value here.
[[nodiscard]] bool
lacks_any(topic const& state,
          std::map<std::string, value_version> const& unrestored);

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
