#ifndef JUJUBESTAND_ADMISSION_TEST_QUEUE_ITEMS_HPP
#define JUJUBESTAND_ADMISSION_TEST_QUEUE_ITEMS_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/admission/queue.hpp>
#include <string>
#include <vector>

/// \brief Requests and a queue for one at a time, as the tests use them.
namespace jujubestand::admission
{

inline constexpr mono_time start{std::chrono::seconds(1)};

inline request_id request_of(std::uint64_t number)
{
    return request_id{7, number};
}

inline queue_item item_of(std::uint64_t number, std::string const& team,
                          std::uint32_t tokens)
{
    queue_item item;
    item.request = request_of(number);
    item.team = team_id(team);
    item.tokens = tokens;
    return item;
}

/// \brief One request runs at a time.
inline queue_options single_slot_options()
{
    queue_options options;
    options.slots = 1;
    options.quantum_tokens = 100;
    return options;
}

/// \brief Runs all waiting requests one after the other.
/// \returns the order in which they were started
inline std::vector<request_id> drain(queue_state& state)
{
    std::vector<request_id> order;
    for (;;)
    {
        schedule_result const step = schedule(state, start);
        if (step.started.empty())
            return order;
        for (auto const& request : step.started)
        {
            order.push_back(request);
            record_finish(state, request, start);
        }
    }
}

} // namespace jujubestand::admission

#endif
