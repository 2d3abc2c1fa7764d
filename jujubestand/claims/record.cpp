#include <jujubestand/claims/record.hpp>

#include <exception>
#include <jujubestand/core/bounded_unpack.hpp>

namespace jujubestand::claims
{

namespace
{

constexpr std::size_t content_type_limit_bytes = 128;

} // namespace

std::string pack(batch const& records)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, records);
    return {buffer.data(), buffer.size()};
}

std::optional<batch> unpack(std::string_view bytes, reason& why)
{
    try
    {
        auto const handle = bounded_unpack(bytes);
        auto records = handle.get().as<batch>();
        if (records.version == batch::current_version)
            return records;
        why = reason{reason_code::claims_unread, "unknown record version",
                     std::to_string(records.version)};
    }
    catch (std::exception const& error)
    {
        why = reason{reason_code::claims_unread, error.what(), {}};
    }
    return std::nullopt;
}

bool has_whole_answer(call_outcome const& outcome) noexcept
{
    return outcome.result == verdict::ran &&
           outcome.answer.size() == outcome.answer_bytes;
}

call_outcome make_outcome(std::int32_t status, std::string_view content_type,
                          std::string_view answer, std::size_t limit_bytes)
{
    call_outcome outcome;
    outcome.result = verdict::ran;
    outcome.status = status;
    outcome.content_type = content_type.substr(0, content_type_limit_bytes);
    outcome.answer_digest = digest_of(answer);
    outcome.answer_bytes = answer.size();
    if (answer.size() <= limit_bytes)
        outcome.answer = answer;
    return outcome;
}

} // namespace jujubestand::claims
