#include <jujubestand/claims/window.hpp>

#include <algorithm>

namespace jujubestand::claims
{

namespace
{

// Node of an unordered map: link, cached hash and the allocator's header.
constexpr std::size_t node_overhead_bytes = 24;

void spend(claim_window& window, claim_nonce const& nonce, digest const& key,
           wall_time appended)
{
    if (window.spent.insert(nonce).second)
        window.ages.push_back({appended, key, nonce});
}

void fold_abandon(claim_window& window, abandon_record const& record,
                  wall_time appended)
{
    auto const at = window.keys.find(record.key);
    bool const is_held =
        at != window.keys.end() && at->second.holder == record.nonce;
    if (is_held && at->second.outcome)
        return;
    if (is_held)
        window.keys.erase(at);
    spend(window, record.nonce, record.key, appended);
}

std::optional<claim_decision> fold_claim(claim_window& window,
                                         claim_rules const& rules,
                                         claim_record const& record,
                                         wall_time appended)
{
    if (rules.nonce_counts_once && window.spent.contains(record.nonce))
        return std::nullopt;
    auto const [at, is_first] = window.keys.try_emplace(
        record.key, key_entry{record.nonce, record.body});
    if (is_first)
    {
        window.ages.push_back({appended, record.key, record.nonce});
        return claim_decision{record.nonce, true};
    }
    if (rules.nonce_counts_once && at->second.holder == record.nonce)
        return std::nullopt;
    spend(window, record.nonce, record.key, appended);
    return claim_decision{record.nonce, false};
}

void bound_answers(claim_window& window, claim_options const& options)
{
    while (window.answers_bytes > options.answers_limit_bytes &&
           !window.answers.empty())
    {
        auto const oldest = window.answers.front();
        window.answers.pop_front();
        window.answers_bytes -= oldest.bytes;
        auto const at = window.keys.find(oldest.key);
        if (at == window.keys.end() || !at->second.outcome)
            continue;
        at->second.outcome->answer.clear();
        at->second.outcome->answer.shrink_to_fit();
    }
}

void fold_outcome(claim_window& window, claim_options const& options,
                  outcome_record const& record)
{
    auto const at = window.keys.find(record.key);
    if (at == window.keys.end() || at->second.holder != record.nonce ||
        at->second.outcome)
        return;
    at->second.outcome = std::make_unique<call_outcome>(record.outcome);
    std::size_t const bytes = record.outcome.answer.size();
    if (bytes == 0)
        return;
    window.answers.push_back({record.key, bytes});
    window.answers_bytes += bytes;
    bound_answers(window, options);
}

void remove_aged(claim_window& window, claim_window::aged_key const& aged)
{
    window.spent.erase(aged.nonce);
    auto const at = window.keys.find(aged.key);
    if (at != window.keys.end() && at->second.holder == aged.nonce)
        window.keys.erase(at);
}

} // namespace

key_entry::key_entry(key_entry const& other)
    : holder(other.holder)
    , body(other.body)
    , outcome(other.outcome ? std::make_unique<call_outcome>(*other.outcome)
                            : nullptr)
{
}

key_entry& key_entry::operator=(key_entry const& other)
{
    if (this != &other)
        *this = key_entry(other);
    return *this;
}

std::vector<claim_decision> fold(claim_window& window,
                                 claim_options const& options,
                                 batch const& records, wall_time appended)
{
    std::vector<claim_decision> decisions;
    for (auto const& record : records.abandons)
        fold_abandon(window, record, appended);
    for (auto const& record : records.claims)
    {
        auto const decision =
            fold_claim(window, options.rules, record, appended);
        if (decision)
            decisions.push_back(*decision);
    }
    for (auto const& record : records.outcomes)
        fold_outcome(window, options, record);
    ++window.next.value;
    return decisions;
}

void fold_unreadable(claim_window& window, claim_options const& options,
                     wall_time appended)
{
    window.unreadable_until =
        std::max(window.unreadable_until, appended + window_age(options));
    ++window.next.value;
}

void expire(claim_window& window, claim_options const& options, wall_time now)
{
    auto const limit = now - window_age(options);
    while (!window.ages.empty() && window.ages.front().appended < limit)
    {
        remove_aged(window, window.ages.front());
        window.ages.pop_front();
    }
    while (!window.answers.empty() &&
           !window.keys.contains(window.answers.front().key))
    {
        window.answers_bytes -= window.answers.front().bytes;
        window.answers.pop_front();
    }
}

void restart(claim_window& window, log_offset first)
{
    window = claim_window{};
    window.next = first;
}

key_entry const* find(claim_window const& window, digest const& key)
{
    auto const at = window.keys.find(key);
    return at == window.keys.end() ? nullptr : &at->second;
}

std::size_t memory_bytes(claim_window const& window) noexcept
{
    constexpr std::size_t key_bytes =
        sizeof(std::pair<digest const, key_entry>) + node_overhead_bytes +
        sizeof(call_outcome) + node_overhead_bytes;
    constexpr std::size_t spent_bytes =
        sizeof(claim_nonce) + node_overhead_bytes;
    return window.keys.size() * key_bytes + window.spent.size() * spent_bytes +
           (window.keys.bucket_count() + window.spent.bucket_count()) *
               sizeof(void*) +
           window.ages.size() * sizeof(claim_window::aged_key) +
           window.answers.size() * sizeof(claim_window::kept_answer) +
           window.answers_bytes;
}

} // namespace jujubestand::claims
