#include <standins/log/log_store.hpp>

#include <algorithm>
#include <msgpack.hpp>
#include <string_view>

namespace jujubestand::standins
{

namespace
{

constexpr std::string_view name_letters =
    "abcdefghijklmnopqrstuvwxyz0123456789.-";

std::size_t count_to_pack(log_stream const& stream, std::size_t begin,
                          std::size_t limit, std::size_t limit_bytes)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (begin + count < stream.records.size() && count < limit)
    {
        bytes += stream.records[begin + count].bytes.size();
        if (count > 0 && bytes > limit_bytes)
            break;
        ++count;
    }
    return count;
}

} // namespace

bool is_stream_name(std::string const& name)
{
    return !name.empty() &&
           name.find_first_not_of(name_letters) == std::string::npos;
}

std::uint64_t append(log_stream& stream, std::string bytes, std::int64_t now_ms)
{
    ++stream.appends;
    stream.appended_bytes += bytes.size();
    stream.records.push_back(log_record{now_ms, std::move(bytes)});
    return stream.next_offset() - 1;
}

void expire(log_stream& stream, retention const& limits, std::int64_t now_ms)
{
    auto const is_past = [&]
    {
        if (stream.records.empty())
            return false;
        if (limits.keep_records > 0 &&
            stream.records.size() > limits.keep_records)
            return true;
        return limits.keep_ms > 0 &&
               stream.records.front().wall_ms + limits.keep_ms < now_ms;
    };
    while (is_past())
    {
        stream.records.pop_front();
        ++stream.first_offset;
    }
}

std::string pack_records(log_stream const& stream, std::uint64_t from,
                         std::size_t limit, std::size_t limit_bytes)
{
    auto const begin = static_cast<std::size_t>(
        std::max(from, stream.first_offset) - stream.first_offset);
    std::size_t const count = count_to_pack(stream, begin, limit, limit_bytes);
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(static_cast<std::uint32_t>(count));
    for (std::size_t index = begin; index < begin + count; ++index)
    {
        log_record const& record = stream.records[index];
        auto const size = static_cast<std::uint32_t>(record.bytes.size());
        packer.pack_array(3);
        packer.pack(stream.first_offset + index);
        packer.pack(record.wall_ms);
        packer.pack_bin(size);
        packer.pack_bin_body(record.bytes.data(), size);
    }
    return {buffer.data(), buffer.size()};
}

} // namespace jujubestand::standins
