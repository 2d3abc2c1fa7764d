#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/admission/test/queue_items.hpp>
#include <map>
#include <optional>
#include <rapidcheck/gtest.h>

namespace jujubestand::admission
{

namespace
{

/// Reference model: deficit round robin by linear scans over plain vectors.
struct reference_queue
{
    std::vector<queue_item> items;
    std::map<std::pair<std::uint8_t, team_id>, std::uint64_t> deficit;
    std::map<std::uint8_t, std::vector<team_id>> turns;
    std::map<std::uint8_t, bool> quantum_added;

    void add(queue_item const& item)
    {
        auto& order = this->turns[item.priority];
        if (std::find(order.begin(), order.end(), item.team) == order.end())
            order.push_back(item.team);
        this->items.push_back(item);
    }

    void remove(request_id const& request)
    {
        auto const place = this->place_of(request);
        queue_item const item = *place;
        this->items.erase(place);
        bool const has_more = std::any_of(
            this->items.begin(), this->items.end(),
            [&](queue_item const& each)
            {
                return each.team == item.team && each.priority == item.priority;
            });
        if (has_more)
            return;
        auto& order = this->turns[item.priority];
        if (order.front() == item.team)
            this->quantum_added[item.priority] = false;
        order.erase(std::find(order.begin(), order.end(), item.team));
        this->deficit.erase({item.priority, item.team});
    }

    std::vector<queue_item>::iterator place_of(request_id const& request)
    {
        return std::find_if(this->items.begin(), this->items.end(),
                            [&](queue_item const& each)
                            {
                                return each.request == request;
                            });
    }

    std::optional<request_id> take(std::uint32_t quantum)
    {
        if (this->items.empty())
            return std::nullopt;
        std::uint8_t const urgent =
            std::min_element(this->items.begin(), this->items.end(),
                             [](queue_item const& left, queue_item const& right)
                             {
                                 return left.priority < right.priority;
                             })
                ->priority;
        auto& order = this->turns[urgent];
        for (;;)
        {
            team_id const team = order.front();
            auto& saved = this->deficit[{urgent, team}];
            if (!this->quantum_added[urgent])
                saved += quantum;
            this->quantum_added[urgent] = true;
            auto const first = std::find_if(
                this->items.begin(), this->items.end(),
                [&](queue_item const& each)
                {
                    return each.team == team && each.priority == urgent;
                });
            if (saved >= first->tokens)
            {
                request_id const request = first->request;
                saved -= first->tokens;
                this->remove(request);
                return request;
            }
            std::rotate(order.begin(), order.begin() + 1, order.end());
            this->quantum_added[urgent] = false;
        }
    }
};

} // namespace

RC_GTEST_PROP(queue, agrees_with_reference_model, ())
{
    queue_options options = single_slot_options();
    queue_state state(options);
    reference_queue reference;
    auto const steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1000));
    std::uint64_t number = 0;
    std::vector<request_id> waiting;
    for (auto const step : steps)
    {
        if (step % 3 != 0)
        {
            queue_item item = item_of(
                ++number, std::string(1, "abcd"[step % 4]), 1 + step % 300);
            item.priority = static_cast<std::uint8_t>(step % 2);
            RC_ASSERT(offer(state, item, start).is_accepted);
            reference.add(item);
            waiting.push_back(item.request);
        }
        else if (step % 2 == 0)
        {
            auto const expected = reference.take(options.quantum_tokens);
            schedule_result const got = schedule(state, start);
            RC_ASSERT(got.started.size() == (expected ? 1U : 0U));
            if (!expected)
                continue;
            RC_ASSERT(got.started[0] == *expected);
            record_finish(state, *expected, start);
            std::erase(waiting, *expected);
        }
        else if (!waiting.empty())
        {
            request_id const gone = waiting[step % waiting.size()];
            RC_ASSERT(cancel(state, gone));
            reference.remove(gone);
            std::erase(waiting, gone);
        }
    }
    for (auto const& request : drain(state))
        RC_ASSERT(reference.take(options.quantum_tokens) == request);
    RC_ASSERT(reference.items.empty());
}

} // namespace jujubestand::admission
