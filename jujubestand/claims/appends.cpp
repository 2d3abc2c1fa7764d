#include <jujubestand/claims/appends.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace jujubestand::claims
{

namespace
{

// Packed sizes: ids are at most 9 bytes a word, plus array headers.
constexpr std::size_t claim_bytes = 60;
constexpr std::size_t abandon_bytes = 40;
constexpr std::size_t outcome_bytes = 90;

std::size_t bytes_of(outcome_record const& record) noexcept
{
    return outcome_bytes + record.outcome.content_type.size() +
           record.outcome.answer.size();
}

// Moves records from the front of `from` while they fit.
template <class Record, class Size>
std::vector<Record> take(std::vector<Record>& from, std::size_t& room,
                         Size const& size)
{
    auto last = from.begin();
    while (last != from.end() && size(*last) <= room)
    {
        room -= size(*last);
        ++last;
    }
    std::vector<Record> taken(std::make_move_iterator(from.begin()),
                              std::make_move_iterator(last));
    from.erase(from.begin(), last);
    return taken;
}

std::vector<claim_record> take_claims(claimant& state, std::size_t& room)
{
    std::vector<claim_record> taken;
    for (auto& [number, call] : state.calls)
    {
        if (!call.needs_append || room < claim_bytes)
            continue;
        room -= claim_bytes;
        call.needs_append = false;
        call.stage = call_stage::undecided;
        taken.push_back(
            {{state.options.claimant, number}, call.key, call.body});
    }
    return taken;
}

batch take_batch(claimant& state)
{
    std::size_t room = state.options.batch_limit_bytes;
    batch records;
    records.abandons = take(state.abandons, room,
                            [](auto const&)
                            {
                                return abandon_bytes;
                            });
    records.claims = take_claims(state, room);
    records.outcomes = take(state.outcomes, room, bytes_of);
    return records;
}

bool is_recorded(claim_window const& window, outcome_record const& record)
{
    key_entry const* entry = find(window, record.key);
    return entry != nullptr && entry->holder == record.nonce &&
           entry->outcome != nullptr;
}

template <class Record>
void put_back(std::vector<Record>& to, std::vector<Record> records)
{
    to.insert(to.begin(), std::make_move_iterator(records.begin()),
              std::make_move_iterator(records.end()));
}

} // namespace

bool has_waiting(claimant const& state) noexcept
{
    return !state.abandons.empty() || !state.outcomes.empty() ||
           std::any_of(state.calls.begin(), state.calls.end(),
                       [](auto const& row)
                       {
                           return row.second.needs_append;
                       });
}

std::optional<append_wanted> flush(claimant& state, moment now)
{
    if (state.flight || now.mono < state.next_append || !has_waiting(state))
        return std::nullopt;
    state.next_append = now.mono + state.options.append_interval;
    state.flight = append_flight{++state.last_append, take_batch(state)};
    return append_wanted{state.flight->id, pack(state.flight->records)};
}

void take_back(claimant& state, batch records)
{
    claim_window const& window = state.window;
    std::erase_if(records.abandons,
                  [&](auto const& record)
                  {
                      return window.spent.contains(record.nonce);
                  });
    std::erase_if(records.outcomes,
                  [&](auto const& record)
                  {
                      return is_recorded(window, record);
                  });
    put_back(state.abandons, std::move(records.abandons));
    put_back(state.outcomes, std::move(records.outcomes));
    for (auto const& record : records.claims)
    {
        auto const at = state.calls.find(record.nonce.number);
        if (at != state.calls.end() &&
            at->second.stage == call_stage::undecided)
            at->second.needs_append = true;
    }
}

} // namespace jujubestand::claims
