#include <bench/support/load_client.hpp>

#include <algorithm>

namespace jujubestand::bench
{

std::size_t load_result::count(call_outcome outcome) const
{
    return static_cast<std::size_t>(
        std::count_if(this->calls.begin(), this->calls.end(),
                      [outcome](call_result const& one)
                      {
                          return one.outcome == outcome;
                      }));
}

double load_result::hit_rate() const
{
    std::uint64_t prompt = 0;
    std::uint64_t cached = 0;
    for (call_result const& one : this->calls)
    {
        prompt += one.prompt_tokens;
        cached += one.cached_tokens;
    }
    return prompt == 0
               ? 0
               : static_cast<double>(cached) / static_cast<double>(prompt);
}

std::uint64_t load_result::tokens() const
{
    std::uint64_t sum = 0;
    for (call_result const& one : this->calls)
        sum += one.tokens;
    return sum;
}

std::size_t load_result::untrue() const
{
    return static_cast<std::size_t>(
        std::count_if(this->calls.begin(), this->calls.end(),
                      [](call_result const& one)
                      {
                          return one.outcome == call_outcome::wrong ||
                                 (one.outcome == call_outcome::incomplete &&
                                  !one.is_told_incomplete);
                      }));
}

} // namespace jujubestand::bench
