#ifndef JUJUBESTAND_QUARANTINE_TEST_EVIDENCE_GROUP_HPP
#define JUJUBESTAND_QUARANTINE_TEST_EVIDENCE_GROUP_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/quarantine/evidence.hpp>
#include <string>
#include <vector>

/// \brief Processes that exchange evidence, for its tests.
namespace jujubestand::quarantine
{

inline constexpr wall_time start{std::chrono::milliseconds{1'000'000'000}};

/// A report after this time shows that its upstream outlived an end.
inline constexpr std::chrono::milliseconds margin{200};

/// Parts by their place in a prompt.
inline constexpr std::uint64_t first_part = 1;
inline constexpr std::uint64_t crashing_part = 99;

inline suspect_key part(std::uint64_t id, std::uint8_t depth)
{
    return {fingerprint_of_part(id), depth};
}

inline suspect_key whole_request(std::uint64_t id)
{
    return {{1, id}, whole_request_depth};
}

/// A request with a first part that all share.
inline std::vector<suspect_key> request(std::uint64_t second_part,
                                        std::uint64_t number)
{
    return {part(first_part, 0), part(second_part, 1), whole_request(number)};
}

/// Processes that exchange all notices.
struct group
{
    std::vector<evidence> members;
    wall_time now = start;
    upstream_number next_upstream = 1;
    std::uint64_t next_request = 1;

    explicit group(std::size_t count)
        : members(count)
    {
    }

    void tell(std::size_t from, notice const& message)
    {
        for (std::size_t member = 0; member < this->members.size(); ++member)
        {
            if (member == from || message.empty())
                continue;
            auto const result =
                on_notice(this->members[member], message, this->now);
            this->tell(member, result.reply);
        }
    }

    void answer(std::size_t member, std::vector<suspect_key> const& keys)
    {
        this->tell(member, on_answered(this->members[member], keys, this->now));
    }

    /// \brief Names the next engine that is to crash.
    upstream_id next_engine()
    {
        return upstream_id{"engine-" + std::to_string(++this->next_upstream)};
    }

    void cut(std::size_t member, upstream_id const& engine,
             std::vector<suspect_key> const& keys, bool has_begun)
    {
        this->cut(member, engine, keys,
                  has_begun ? answer_stage::head : answer_stage::none);
    }

    void cut(std::size_t member, upstream_id const& engine,
             std::vector<suspect_key> const& keys, answer_stage stage)
    {
        on_cut(this->members[member], this->next_upstream, engine,
               incarnation_id{1}, keys, stage, this->now);
    }

    void lose_engine()
    {
        this->settle(upstream_condition::lost, std::chrono::milliseconds{0});
    }

    void settle(upstream_condition condition,
                std::chrono::milliseconds duration = std::chrono::milliseconds{
                    300})
    {
        for (std::size_t member = 0; member < this->members.size(); ++member)
            this->tell(member, on_condition(
                                   this->members[member], this->next_upstream,
                                   {condition, this->now + margin}, this->now));
        this->now += duration;
    }

    /// \brief An engine crashes as it begins the answer to one request, with
    /// others waiting there.
    void crash(std::size_t member, std::uint64_t second_part)
    {
        auto const engine = this->next_engine();
        this->cut(member, engine, request(second_part, this->next_request++),
                  true);
        for (std::size_t other = 0; other < this->members.size(); ++other)
            this->cut(other, engine, request(10 + other, this->next_request++),
                      false);
        this->settle(upstream_condition::lost);
    }

    std::vector<digest> judged(std::size_t member)
    {
        return judge(this->members[member], this->now);
    }
};

inline std::vector<digest> only(std::uint64_t id)
{
    return {fingerprint_of_part(id)};
}

} // namespace jujubestand::quarantine

#endif
