#ifndef JUJUBESTAND_CONFIG_FOLD_HPP
#define JUJUBESTAND_CONFIG_FOLD_HPP

#include <array>
#include <cstdint>
#include <jujubestand/config/records.hpp>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/platform/log_record.hpp>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::config
{

/// \brief How all readers decided an edit.
enum class edit_outcome : std::uint8_t
{
    accepted,
    conflict, ///< another edit of the same base came first
    invalid,  ///< a rule of the tables forbids it
};

/// \brief Names of the outcomes, as the tool prints them.
inline constexpr std::array<enum_name<edit_outcome>, 3> edit_outcome_names{{
    {edit_outcome::accepted, "accepted"},
    {edit_outcome::conflict, "conflict"},
    {edit_outcome::invalid, "invalid"},
}};

/// \brief One edit, decided.
struct edit_result
{
    log_offset offset;
    request_id nonce;
    std::string author;
    edit_outcome outcome = edit_outcome::accepted;
    /// Version in force when it was read, and who made that.
    log_offset winner;
    std::string winner_author;
    reason why;
};

/// \brief Tables of one moment, as processes hand them to each other.
struct cut
{
    /// All records up to this one are in `content`.
    log_offset read_to;
    std::string author;
    tables content;
    /// The giver's `fold::needed_since`; 0 for none.
    std::int64_t needed_since_ms = 0;
    std::uint32_t edits_since_snapshot = 0;

    MSGPACK_DEFINE_ARRAY(read_to, author, content, needed_since_ms,
                         edits_since_snapshot)
};

/// \brief What a reader of the stream knows.
///
/// `content` is always the exact state after all records up to `read_to`.
/// Records of a window that starts beyond `read_to + 1` are kept undecided:
/// the lost ones between may have changed what they mean.
struct fold
{
    tables content;
    /// Who made `content.version`.
    std::string author;
    log_offset read_to;
    /// The next record to read.
    log_offset next{1};
    /// Records read beyond a hole, by offset; all of the window.
    std::map<log_offset, platform::log_record> undecided;
    /// First record of the window that `undecided` covers.
    log_offset window_first{1};
    /// When the oldest record that a new reader needs was appended; nothing
    /// if none was read.
    std::optional<wall_time> needed_since;
    std::uint32_t edits_since_snapshot = 0;
};

/// \brief Whether `content` takes in all that was read.
[[nodiscard]] bool is_decided(fold const& state) noexcept;

/// \brief Takes one record in; records that were read before are ignored.
/// \returns the edits that it decided, oldest first
std::vector<edit_result> take(fold& state, platform::log_record const& read);

/// \brief Goes on at `first`, because the records before it are gone.
void skip_lost(fold& state, log_offset first);

/// \brief Takes in tables of a peer or a snapshot, if they are newer.
/// \returns the edits that this decided, oldest first
std::vector<edit_result> adopt(fold& state, cut const& known);

/// \brief What to hand to a peer.
[[nodiscard]] cut cut_of(fold const& state);

/// \brief A cut as a link's frame carries it.
[[nodiscard]] std::string pack(cut const& known);

/// \brief Reads what `pack` wrote.
[[nodiscard]] std::optional<cut> unpack_cut(std::string const& bytes,
                                            reason& why);

} // namespace jujubestand::config

#endif
