#include <jujubestand/streams/replay.hpp>

#include <algorithm>
#include <utility>

namespace jujubestand::streams
{

namespace
{

replay_window* find(replay_store& store, request_id const& request)
{
    auto const known = store.windows.find(request);
    return known == store.windows.end() ? nullptr : &known->second;
}

void trim(replay_store& store, replay_window& window)
{
    while (window.handed_bytes > store.limits.handed_bytes)
    {
        std::size_t const bytes = window.pieces.front().size();
        window.pieces.pop_front();
        ++window.first;
        window.handed_bytes -= bytes;
        store.total_bytes -= bytes;
    }
}

bool refuse(reason& why, reason_code code, std::string text)
{
    why = reason{code, std::move(text), ""};
    return false;
}

void rewind(replay_window& window, std::uint64_t to)
{
    window.next = to;
    window.is_head_handed = false;
    window.handed_bytes = 0;
    window.waiting_bytes = 0;
    for (std::size_t at = 0; at < window.pieces.size(); ++at)
    {
        bool const is_handed = window.first + at < to;
        (is_handed ? window.handed_bytes : window.waiting_bytes) +=
            window.pieces[at].size();
    }
}

} // namespace

bool begin(replay_store& store, request_id const& request, incarnation_id entry)
{
    replay_window window;
    window.entry = entry;
    return store.windows.emplace(request, std::move(window)).second;
}

void set_head(replay_store& store, request_id const& request, link::frame head)
{
    auto* const window = find(store, request);
    if (window != nullptr)
        window->head = std::move(head);
}

void append(replay_store& store, request_id const& request, std::string bytes)
{
    auto* const window = find(store, request);
    if (window == nullptr || window->ending)
        return;
    window->waiting_bytes += bytes.size();
    store.total_bytes += bytes.size();
    window->pieces.push_back(std::move(bytes));
}

void conclude(replay_store& store, request_id const& request,
              link::frame ending)
{
    auto* const window = find(store, request);
    if (window != nullptr && !window->ending)
        window->ending = std::move(ending);
}

std::optional<link::frame> next_frame(replay_store& store,
                                      request_id const& request)
{
    auto* const window = find(store, request);
    if (window == nullptr)
        return std::nullopt;
    if (window->head && !std::exchange(window->is_head_handed, true))
        return window->head;
    std::uint64_t const at = window->next - window->first;
    if (at > window->pieces.size())
        return std::nullopt;
    if (at == window->pieces.size())
    {
        if (window->ending)
            ++window->next;
        return window->ending;
    }
    std::string const& bytes = window->pieces[at];
    auto packed = link::to_frame(link::piece{request, window->next, bytes});
    window->waiting_bytes -= bytes.size();
    window->handed_bytes += bytes.size();
    ++window->next;
    trim(store, *window);
    return packed;
}

bool is_handed_over(replay_store const& store,
                    request_id const& request) noexcept
{
    auto const known = store.windows.find(request);
    if (known == store.windows.end())
        return false;
    replay_window const& window = known->second;
    return window.ending && window.next > window.first + window.pieces.size();
}

bool is_full(replay_store const& store, request_id const& request) noexcept
{
    auto const known = store.windows.find(request);
    return known != store.windows.end() &&
           known->second.waiting_bytes >= store.limits.waiting_bytes;
}

void detach(replay_store& store, request_id const& request, mono_time now)
{
    auto* const window = find(store, request);
    if (window != nullptr && !window->expires)
        window->expires = now + store.limits.kept_for;
}

bool attach(replay_store& store, link::resume const& wanted, reason& why)
{
    auto* const window = find(store, wanted.request);
    if (window == nullptr || window->entry != wanted.entry)
        return refuse(why, reason_code::answer_incomplete,
                      "no such answer is kept");
    std::uint64_t const end = window->first + window->pieces.size();
    if (wanted.next_sequence < window->first || wanted.next_sequence > end)
        return refuse(why, reason_code::answer_out_of_order,
                      "piece " + std::to_string(wanted.next_sequence) +
                          " is not kept");
    rewind(*window, wanted.next_sequence);
    window->expires.reset();
    return true;
}

void erase(replay_store& store, request_id const& request)
{
    auto const* const window = find(store, request);
    if (window == nullptr)
        return;
    store.total_bytes -= window->handed_bytes + window->waiting_bytes;
    store.windows.erase(request);
}

std::vector<request_id> expire(replay_store& store, mono_time now)
{
    std::vector<std::pair<mono_time, request_id>> waiting;
    for (auto const& [request, window] : store.windows)
    {
        if (window.expires)
            waiting.emplace_back(*window.expires, request);
    }
    std::sort(waiting.begin(), waiting.end());
    std::vector<request_id> gone;
    for (auto const& [when, request] : waiting)
    {
        bool const is_over = store.total_bytes > store.limits.total_bytes;
        if (when > now && !is_over)
            break;
        erase(store, request);
        gone.push_back(request);
    }
    return gone;
}

} // namespace jujubestand::streams
