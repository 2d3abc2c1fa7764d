#include <algorithm>
#include <exception>
#include <jujubestand/config/fold.hpp>
#include <jujubestand/config/validation.hpp>
#include <jujubestand/core/bounded_unpack.hpp>
#include <utility>

namespace jujubestand::config
{

namespace
{

log_offset after(log_offset offset) noexcept
{
    return log_offset(offset.value + 1);
}

void put_in_force(fold& state, log_offset offset, tables content,
                  std::string const& author)
{
    state.content = std::move(content);
    state.content.version = offset;
    state.author = author;
}

edit_result decide(fold& state, log_offset offset, edit const& made)
{
    edit_result result;
    result.offset = offset;
    result.nonce = made.nonce;
    result.author = made.author;
    result.winner = state.content.version;
    result.winner_author = state.author;
    if (made.base != state.content.version)
    {
        result.outcome = edit_outcome::conflict;
        result.why = {reason_code::edit_conflict,
                      "made from version " + std::to_string(made.base.value) +
                          ", in force is " +
                          std::to_string(state.content.version.value) + " by " +
                          state.author,
                      {}};
        return result;
    }
    auto changed = apply(state.content, made, result.why);
    if (!changed)
    {
        result.outcome = edit_outcome::invalid;
        return result;
    }
    put_in_force(state, offset, std::move(*changed), made.author);
    result.winner = offset;
    result.winner_author = made.author;
    return result;
}

// Unconditional: readers that lost different records agree again from here.
edit_result decide(fold& state, log_offset offset, restore const& made)
{
    edit_result result;
    result.offset = offset;
    result.nonce = made.nonce;
    result.author = made.author;
    result.winner = state.content.version;
    result.winner_author = state.author;
    if (!is_valid(made.content, result.why))
    {
        result.outcome = edit_outcome::invalid;
        return result;
    }
    put_in_force(state, offset, made.content, made.author);
    result.winner = offset;
    result.winner_author = made.author;
    return result;
}

// A reader that starts later needs the newest snapshot or restore and what
// follows it, or, while there is none, everything.
void count_needed(fold& state, platform::log_record const& read,
                  record const& content)
{
    if (!std::holds_alternative<edit>(content))
    {
        state.needed_since = read.appended;
        state.edits_since_snapshot = 0;
        return;
    }
    if (!state.needed_since)
        state.needed_since = read.appended;
    ++state.edits_since_snapshot;
}

void apply_next(fold& state, platform::log_record const& read,
                std::vector<edit_result>& results)
{
    state.read_to = read.offset;
    reason why;
    auto const content = unpack_record(read.bytes, why);
    if (!content)
        return;
    count_needed(state, read, *content);
    if (auto const* made = std::get_if<edit>(&*content))
        results.push_back(decide(state, read.offset, *made));
    if (auto const* whole = std::get_if<restore>(&*content))
        results.push_back(decide(state, read.offset, *whole));
}

// Whether the records after `read_to` are all at hand.
bool reaches_window(fold const& state) noexcept
{
    return after(state.read_to) >= state.window_first;
}

void apply_undecided(fold& state, std::vector<edit_result>& results)
{
    if (!reaches_window(state))
        return;
    auto const waiting = std::exchange(state.undecided, {});
    for (auto const& [offset, read] : waiting)
    {
        if (offset > state.read_to)
            apply_next(state, read, results);
    }
    state.next = std::max(state.next, after(state.read_to));
    state.window_first = state.next;
}

// What came before a restore does not matter to it.
void restart_at(fold& state, platform::log_record const& read,
                std::vector<edit_result>& results)
{
    fold beyond = state;
    apply_next(beyond, read, results);
    if (results.back().outcome != edit_outcome::accepted)
        return;
    beyond.undecided.clear();
    beyond.window_first = beyond.next;
    state = std::move(beyond);
}

} // namespace

bool is_decided(fold const& state) noexcept
{
    return after(state.read_to) == state.next;
}

void skip_lost(fold& state, log_offset first)
{
    if (first <= state.next)
        return;
    // What waits before the new hole can be decided only by tables from
    // beyond that hole, which take it in.
    state.undecided.clear();
    state.window_first = first;
    state.next = first;
}

std::vector<edit_result> take(fold& state, platform::log_record const& read)
{
    std::vector<edit_result> results;
    if (read.offset < state.next)
        return results;
    if (read.offset > state.next)
        skip_lost(state, read.offset);
    bool const was_decided = is_decided(state);
    state.next = after(read.offset);
    if (was_decided)
    {
        apply_next(state, read, results);
        state.window_first = state.next;
        return results;
    }
    state.undecided.emplace(read.offset, read);
    reason why;
    auto const content = unpack_record(read.bytes, why);
    if (!content)
        return results;
    auto const* known = std::get_if<snapshot>(&*content);
    // A record cannot know what comes after it.
    if (known != nullptr && known->read_to < read.offset)
        return adopt(state,
                     cut{known->read_to, known->author, known->content, 0, 0});
    if (std::holds_alternative<restore>(*content))
        restart_at(state, read, results);
    return results;
}

std::vector<edit_result> adopt(fold& state, cut const& known)
{
    std::vector<edit_result> results;
    // The second test holds of itself among true cuts of one stream; it
    // keeps a faulty one from turning the tables back.
    if (known.read_to <= state.read_to ||
        known.content.version < state.content.version)
        return results;
    state.content = known.content;
    state.author = known.author;
    state.read_to = known.read_to;
    if (known.needed_since_ms != 0)
    {
        std::chrono::milliseconds const since(known.needed_since_ms);
        state.needed_since = wall_time(since);
        state.edits_since_snapshot = known.edits_since_snapshot;
    }
    apply_undecided(state, results);
    return results;
}

cut cut_of(fold const& state)
{
    auto const since = state.needed_since.value_or(wall_time{});
    return cut{state.read_to, state.author, state.content,
               since.time_since_epoch().count(), state.edits_since_snapshot};
}

std::string pack(cut const& known)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, known);
    return std::string(buffer.data(), buffer.size());
}

std::optional<cut> unpack_cut(std::string const& bytes, reason& why)
{
    try
    {
        auto const handle = bounded_unpack(bytes);
        return handle.get().as<cut>();
    }
    catch (std::exception const& error)
    {
        why = {reason_code::link_malformed, error.what(), "tables"};
        return std::nullopt;
    }
}

} // namespace jujubestand::config
