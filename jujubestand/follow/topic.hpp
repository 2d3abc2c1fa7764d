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

/// \brief The newest record of a key; an empty value removes the key.
struct record
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;

    bool operator==(record const&) const = default;

    MSGPACK_DEFINE_ARRAY(key, value, offset)
};

/// \brief Records that were read from an offset on.
struct read_page
{
    std::vector<record> records;
    /// Offset after the newest record of the topic.
    std::uint64_t end = 0;
};

/// \brief The newest record of every key, as they were listed.
struct listing
{
    std::vector<record> records;
    /// End of the topic when the first part of the list was made.
    std::uint64_t end = 0;

    MSGPACK_DEFINE_ARRAY(records, end)
};

/// \brief What one process knows of a keyed topic of the store.
struct topic
{
    std::map<std::string, record> newest;
    /// Offset of the first record that was not read.
    std::uint64_t next = 0;
    /// A whole list was read once.
    bool is_listed = false;
    /// Everything written before this was read; nothing if unknown.
    std::optional<mono_time> proven_at;
};

/// \brief Takes in a list of all keys.
///
/// A list that ends before what is known already is older and is ignored; a
/// key that it lacks was removed, unless it was read at or after its end.
/// \param asked_at when the list was asked for
/// \returns what changed; removed keys with an empty value
std::vector<record> on_listing(topic& state, listing const& from,
                               mono_time asked_at);

/// \brief Takes in records read from `state.next` on.
std::vector<record> on_page(topic& state, read_page const& page,
                            mono_time asked_at);

/// \brief Another process proved at `proven_at`, by our clock, that nothing
/// was written from `end` on.
void on_vouched(topic& state, std::uint64_t end, mono_time proven_at);

/// \brief Number of keys that are not removed.
[[nodiscard]] std::size_t live_keys(topic const& state);

/// \brief The newest records from an offset on, removed keys with an empty
/// value, for a process that knows all before that offset.
[[nodiscard]] listing changes_since(topic const& state, std::uint64_t since);

/// \brief Takes in `changes_since` of another process.
/// \param since what was asked for; a list that leaves a gap is ignored
std::vector<record> on_shared(topic& state, listing const& from,
                              std::uint64_t since, mono_time proven_at);

/// \brief How old the knowledge may be; nothing if it was never proven.
[[nodiscard]] std::optional<microseconds> age(topic const& state,
                                              mono_time now);

} // namespace jujubestand::follow

#endif
