#include <gtest/gtest.h>
#include <iostream>
#include <jujubestand/claims/window.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::claims
{

namespace
{

constexpr wall_time start{std::chrono::hours{480'000}};

enum class happening : std::uint8_t
{
    claimed,
    abandoned,
    ended
};

struct ledger_line
{
    happening what = happening::claimed;
    claim_nonce nonce;
    digest key;
};

/// The rules word for word, by searching the whole log for each question.
struct naive_ledger
{
    std::vector<ledger_line> lines;

    [[nodiscard]] bool any_before(std::size_t end, happening what,
                                  claim_nonce nonce) const
    {
        for (std::size_t at = 0; at < end; ++at)
        {
            if (this->lines[at].what == what && this->lines[at].nonce == nonce)
                return true;
        }
        return false;
    }

    [[nodiscard]] bool is_live(std::size_t claim, std::size_t end) const
    {
        return this->is_won(claim) &&
               !this->any_before(end, happening::abandoned,
                                 this->lines[claim].nonce);
    }

    [[nodiscard]] bool is_won(std::size_t claim) const
    {
        ledger_line const& line = this->lines[claim];
        if (this->any_before(claim, happening::abandoned, line.nonce) ||
            this->any_before(claim, happening::claimed, line.nonce))
            return false;
        for (std::size_t at = 0; at < claim; ++at)
        {
            ledger_line const& other = this->lines[at];
            if (other.what == happening::claimed && other.key == line.key &&
                this->is_live(at, claim))
                return false;
        }
        return true;
    }
};

batch to_batch(ledger_line const& line)
{
    batch records;
    if (line.what == happening::claimed)
        records.claims.push_back({line.nonce, line.key, {}});
    else if (line.what == happening::abandoned)
        records.abandons.push_back({line.nonce, line.key});
    else
        records.outcomes.push_back({line.nonce, line.key, {}});
    return records;
}

ledger_line any_line(std::uint64_t keys)
{
    auto const number = *rc::gen::inRange<std::uint64_t>(1, 9);
    auto const what = *rc::gen::element(happening::claimed, happening::claimed,
                                        happening::abandoned);
    return {what, {incarnation_id{number % 3}, number}, {0, number % keys}};
}

batch claim_batch(std::uint64_t number, digest key)
{
    batch records;
    records.claims.push_back({{incarnation_id{1}, number}, key, {}});
    return records;
}

batch outcome_batch(std::uint64_t number, digest key, std::string answer)
{
    batch records;
    records.outcomes.push_back({{incarnation_id{1}, number},
                                key,
                                make_outcome(200, "text/plain", answer, 512)});
    return records;
}

} // namespace

RC_GTEST_PROP(claim_window, decides_as_the_naive_ledger, ())
{
    auto const keys = *rc::gen::inRange<std::uint64_t>(1, 4);
    auto const count = *rc::gen::inRange(1, 40);
    naive_ledger naive;
    claim_window window;
    claim_options const options;
    restart(window, log_offset{1});
    for (int at = 0; at < count; ++at)
    {
        naive.lines.push_back(any_line(keys));
        auto const decisions =
            fold(window, options, to_batch(naive.lines.back()), start);
        bool const is_won = !decisions.empty() && decisions[0].is_won;
        bool const is_claim = naive.lines.back().what == happening::claimed;
        RC_ASSERT(is_won == (is_claim && naive.is_won(naive.lines.size() - 1)));
    }
}

RC_GTEST_PROP(claim_window, any_bytes_are_refused_or_read, (std::string bytes))
{
    reason why;
    auto const records = unpack(bytes, why);
    RC_ASSERT(records.has_value() || why.code == reason_code::claims_unread);
}

// msgpack reserves what a header announces: here 64 GiB of objects.
TEST(claim_window, announced_sizes_are_not_trusted)
{
    reason why;
    EXPECT_FALSE(unpack("\xdd\xff\xff\xff\xff", why));
    EXPECT_EQ(why.code, reason_code::claims_unread);
}

TEST(claim_window, abandon_that_lands_first_keeps_the_late_claim_dead)
{
    claim_window window;
    claim_options const options;
    batch abandon;
    abandon.abandons.push_back({{incarnation_id{1}, 1}, {0, 7}});
    fold(window, options, abandon, start);
    EXPECT_TRUE(fold(window, options, claim_batch(1, {0, 7}), start).empty());
    auto const next = fold(window, options, claim_batch(2, {0, 7}), start);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_TRUE(next[0].is_won);
}

TEST(claim_window, answers_are_bounded_oldest_first)
{
    claim_window window;
    claim_options options;
    options.answers_limit_bytes = 25;
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        digest const key{0, number};
        fold(window, options, claim_batch(number, key), start);
        fold(window, options, outcome_batch(number, key, "ten bytes."), start);
    }
    EXPECT_LE(window.answers_bytes, options.answers_limit_bytes);
    EXPECT_FALSE(has_whole_answer(*find(window, {0, 1})->outcome));
    EXPECT_TRUE(has_whole_answer(*find(window, {0, 3})->outcome));
    EXPECT_EQ(find(window, {0, 1})->outcome->answer_digest,
              digest_of("ten bytes."));
}

TEST(claim_window, long_answers_are_recorded_by_digest)
{
    auto const outcome = make_outcome(200, "text/plain", "longer than that", 4);
    EXPECT_FALSE(has_whole_answer(outcome));
    EXPECT_EQ(outcome.answer_bytes, 16U);
    EXPECT_EQ(outcome.answer_digest, digest_of("longer than that"));
}

TEST(claim_window, keys_expire_after_the_window_only)
{
    claim_window window;
    claim_options const options;
    fold(window, options, claim_batch(1, {0, 1}), start);
    expire(window, options, start + options.accepted_age);
    EXPECT_NE(find(window, {0, 1}), nullptr);
    expire(window, options,
           start + window_age(options) + std::chrono::milliseconds{1});
    EXPECT_EQ(find(window, {0, 1}), nullptr);
    EXPECT_EQ(window.ages.size(), 0U);
}

TEST(claim_window, memory_at_the_keys_limit_stays_in_its_share)
{
    constexpr std::size_t share_bytes = 64U << 20U;
    claim_window window;
    claim_options const options;
    for (std::uint64_t number = 1; number <= options.keys_limit; ++number)
    {
        digest const key{number, number * 0x9e3779b97f4a7c15ULL};
        fold(window, options, claim_batch(number, key), start);
        fold(window, options, outcome_batch(number, key, std::string(300, 'a')),
             start);
    }
    std::cout << "memory at " << window.keys.size()
              << " keys: " << memory_bytes(window) / 1024
              << " KiB, of it answers " << window.answers_bytes / 1024
              << " KiB\n";
    EXPECT_LE(memory_bytes(window), share_bytes);
}

TEST(claim_options, accepted_age_stays_below_the_retention)
{
    claim_options options;
    EXPECT_FALSE(check(options));
    options.accepted_age = options.retention - options.clock_skew;
    EXPECT_TRUE(check(options));
}

} // namespace jujubestand::claims
