#ifndef JUJUBESTAND_STANDINS_LOG_LOG_STORE_HPP
#define JUJUBESTAND_STANDINS_LOG_LOG_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace jujubestand::standins
{

/// \brief One record of a stream.
struct log_record
{
    std::int64_t wall_ms = 0;
    std::string bytes;
};

/// \brief One append-only stream; its first offset is 1.
struct log_stream
{
    std::deque<log_record> records;
    std::uint64_t first_offset = 1;
    std::uint64_t appends = 0;
    std::uint64_t appended_bytes = 0;

    /// \brief The offset that the next append gets.
    [[nodiscard]] std::uint64_t next_offset() const noexcept
    {
        return this->first_offset + this->records.size();
    }
};

/// \brief How long records are kept; 0 keeps them without limit.
struct retention
{
    std::int64_t keep_ms = 0;
    std::size_t keep_records = 0;
};

using log_store = std::map<std::string, log_stream>;

/// \brief Whether `name` is made of `[a-z0-9.-]` and not empty.
[[nodiscard]] bool is_stream_name(std::string const& name);

/// \brief Appends. \returns the record's offset
std::uint64_t append(log_stream& stream, std::string bytes,
                     std::int64_t now_ms);

/// \brief Drops what is past its retention.
void expire(log_stream& stream, retention const& limits, std::int64_t now_ms);

/// \brief Up to `limit` records from offset `from`, as a msgpack array of
/// `[offset, append_wall_ms, bin]`, at most about `limit_bytes`.
[[nodiscard]] std::string pack_records(log_stream const& stream,
                                       std::uint64_t from, std::size_t limit,
                                       std::size_t limit_bytes);

} // namespace jujubestand::standins

#endif
