#include <gtest/gtest.h>
#include <jujubestand/config/fold.hpp>
#include <jujubestand/config/test/fold_model.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::config
{

using namespace test;

namespace
{

edit edit_from(log_offset base, std::vector<change> changes,
               std::string author = "op")
{
    return edit{request_id{1, base.value}, base, std::move(author),
                std::move(changes)};
}

void read_all(fold& state, model_log const& log)
{
    skip_lost(state, log_offset(log.first));
    for (auto at = state.next.value; at <= log.records.size(); ++at)
        take(state, log.records[at - 1]);
}

enum class step_kind : std::uint8_t
{
    edit,
    repeat_record,
    snapshot,
    truncate,
    read,
    read_twice,
    hand_over,
    restart,
    restore,
};

constexpr int step_kinds = 9;
constexpr std::size_t reader_count = 4;

struct step
{
    step_kind kind = step_kind::edit;
    std::size_t reader = 0;
    std::size_t other = 0;
    std::uint32_t number = 0;
};

// One log, operators that edit from whatever a reader knows, and readers
// that restart, skip, repeat and hand tables to each other.
struct world
{
    model_log log;
    std::array<fold, reader_count> readers;

    void publish(step const& at)
    {
        auto const base = this->readers[at.reader].content.version;
        auto const pool = "p" + std::to_string(at.number % 3);
        auto made = edit_from(base, {set_pool(pool, 0.1 * (at.number % 9))});
        if (at.number % 5 == 0)
            made.changes = {delete_pool(pool)};
        this->log.append(pack(made));
    }

    void read_some(step const& at)
    {
        auto& reader = this->readers[at.reader];
        skip_lost(reader, log_offset(this->log.first));
        auto const last = std::min<std::size_t>(
            this->log.records.size(), reader.next.value + at.number % 4);
        for (auto next = reader.next.value; next <= last; ++next)
            take(reader, this->log.records[next - 1]);
    }

    void read_again(step const& at)
    {
        auto const end = this->readers[at.reader].next.value;
        auto const last = std::min(end, this->log.first + at.number % 9);
        for (auto next = this->log.first; next < last; ++next)
            take(this->readers[at.reader], this->log.records[next - 1]);
    }

    void re_append(step const& at)
    {
        auto const& reader = this->readers[at.reader];
        if (is_decided(reader))
            this->log.append(
                pack(snapshot{reader.read_to, reader.author, reader.content}));
    }

    void repeat(step const& at)
    {
        if (!this->log.records.empty())
            this->log.append(
                this->log.records[at.number % this->log.records.size()].bytes);
    }

    void run(step const& at)
    {
        switch (at.kind)
        {
        case step_kind::edit:
            return this->publish(at);
        case step_kind::repeat_record:
            return this->repeat(at);
        case step_kind::snapshot:
            return this->re_append(at);
        case step_kind::truncate:
            this->log.first += at.number % 3;
            this->log.first =
                std::min(this->log.first, this->log.records.size() + 1);
            return;
        case step_kind::read:
            return this->read_some(at);
        case step_kind::read_twice:
            return this->read_again(at);
        case step_kind::hand_over:
            adopt(this->readers[at.reader], cut_of(this->readers[at.other]));
            return;
        case step_kind::restart:
            this->readers[at.reader] = fold{};
            return;
        case step_kind::restore:
            if (at.number % 8 == 0)
                this->log.append(pack(restore{
                    {9, at.number}, "op", this->readers[at.reader].content}));
            return;
        }
    }
};

std::vector<step> draw_steps()
{
    auto const numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        120, rc::gen::resize(rc::kNominalSize,
                             rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
    std::vector<step> steps;
    steps.reserve(numbers.size());
    for (auto const number : numbers)
    {
        steps.push_back(step{static_cast<step_kind>(number % step_kinds),
                             number / 9 % reader_count,
                             number / 36 % reader_count, number / 144});
    }
    return steps;
}

} // namespace

// Whatever is lost, doubled, late or restarted: what a reader holds is the
// naive fold's state after some prefix, a decided one's after all it read,
// and it never goes back.
RC_GTEST_PROP(fold, every_reader_holds_a_true_prefix, ())
{
    world all;
    for (auto const& at : draw_steps())
    {
        auto const before = all.readers[at.reader].content.version;
        all.run(at);
        auto const& reader = all.readers[at.reader];
        auto const naive = naive_up_to(all.log, reader.read_to.value);
        RC_ASSERT(reader.content == naive.content);
        RC_ASSERT(!is_decided(reader) ||
                  reader.read_to.value + 1 == reader.next.value);
        if (at.kind != step_kind::restart)
            RC_ASSERT(reader.content.version >= before);
    }
}

// Once a snapshot stands in what is kept, every reader ends in one state,
// also one that starts empty without peers.
RC_GTEST_PROP(fold, a_kept_snapshot_brings_all_together, ())
{
    world all;
    fold steady;
    for (auto const& at : draw_steps())
    {
        all.run(at);
        if (steady.next.value >= all.log.first)
            read_all(steady, all.log);
    }
    RC_PRE(is_decided(steady));
    all.log.append(
        pack(snapshot{steady.read_to, steady.author, steady.content}));
    all.log.append(pack(edit_from(steady.content.version, {set_pool("q")})));
    auto const naive = naive_up_to(all.log, all.log.records.size());
    fold fresh;
    read_all(fresh, all.log);
    RC_ASSERT(is_decided(fresh));
    RC_ASSERT(fresh.content == naive.content);
    for (auto& reader : all.readers)
    {
        read_all(reader, all.log);
        RC_ASSERT(reader.content == naive.content);
    }
}

// At most one edit of a base is accepted, and it is the first.
RC_GTEST_PROP(fold, one_winner_for_each_base, ())
{
    world all;
    for (auto at : draw_steps())
    {
        if (at.kind == step_kind::truncate || at.kind == step_kind::restore)
            at.kind = step_kind::edit;
        all.run(at);
    }
    fold reader;
    std::map<log_offset, int> winners;
    for (auto const& one : all.log.records)
    {
        auto const base = reader.content.version;
        for (auto const& result : take(reader, one))
        {
            if (result.outcome == edit_outcome::accepted)
                ++winners[base];
            else
                RC_ASSERT(result.winner == base);
        }
    }
    for (auto const& [base, count] : winners)
        RC_ASSERT(count == 1);
}

TEST(fold, the_loser_of_a_race_is_told_who_won)
{
    model_log log;
    log.append(pack(edit_from(log_offset(0), {set_pool("a")}, "ann")));
    log.append(pack(edit_from(log_offset(0), {set_pool("b")}, "bob")));
    fold reader;
    EXPECT_EQ(take(reader, log.records[0]).at(0).outcome,
              edit_outcome::accepted);
    auto const lost = take(reader, log.records[1]).at(0);
    EXPECT_EQ(lost.outcome, edit_outcome::conflict);
    EXPECT_EQ(lost.winner, log_offset(1));
    EXPECT_EQ(lost.winner_author, "ann");
    EXPECT_EQ(lost.why.code, reason_code::edit_conflict);
    EXPECT_EQ(reader.content.pools.size(), 1U);
}

TEST(fold, a_snapshot_that_missed_an_edit_does_not_lose_it)
{
    model_log log;
    log.append(pack(edit_from(log_offset(0), {set_pool("a")})));
    fold writer;
    read_all(writer, log);
    log.append(pack(edit_from(log_offset(1), {set_pool("b")})));
    log.append(pack(snapshot{writer.read_to, "op", writer.content}));
    log.first = 2;
    fold fresh;
    read_all(fresh, log);
    EXPECT_TRUE(is_decided(fresh));
    EXPECT_EQ(fresh.content.version, log_offset(2));
    EXPECT_EQ(fresh.content.pools.size(), 2U);
}

TEST(fold, a_snapshot_with_lost_edits_after_it_decides_nothing)
{
    model_log log;
    log.append(pack(edit_from(log_offset(0), {set_pool("a")})));
    fold writer;
    read_all(writer, log);
    log.append(pack(edit_from(log_offset(1), {set_pool("b")})));
    log.append(pack(snapshot{writer.read_to, "op", writer.content}));
    log.append(pack(edit_from(log_offset(1), {set_pool("c")})));
    log.first = 3;
    fold fresh;
    read_all(fresh, log);
    EXPECT_FALSE(is_decided(fresh));
    EXPECT_EQ(fresh.content.version, log_offset(1));
    EXPECT_FALSE(fresh.content.pools.contains(pool_id("c")));
}

TEST(fold, a_restore_ends_a_state_that_nobody_can_decide)
{
    model_log log;
    log.append("lost");
    log.append(pack(edit_from(log_offset(1), {set_pool("a")})));
    tables content;
    content.pools[pool_id("r")] = set_pool("r").pool_row;
    log.append(pack(restore{{1, 1}, "op", content}));
    log.append(pack(edit_from(log_offset(3), {set_pool("s")})));
    log.first = 2;
    fold fresh;
    read_all(fresh, log);
    EXPECT_TRUE(is_decided(fresh));
    EXPECT_EQ(fresh.content.version, log_offset(4));
    EXPECT_EQ(fresh.content.pools.size(), 2U);
}

TEST(fold, a_cut_survives_packing_and_broken_bytes_are_refused)
{
    model_log log;
    log.append(pack(edit_from(log_offset(0), {set_pool("a")})));
    fold reader;
    read_all(reader, log);
    auto const bytes = pack(cut_of(reader));
    reason why;
    auto const read = unpack_cut(bytes, why);
    ASSERT_TRUE(read) << to_text(why);
    EXPECT_EQ(read->content, reader.content);
    EXPECT_EQ(read->needed_since_ms, 1'000);
    EXPECT_FALSE(unpack_cut(bytes.substr(0, bytes.size() - 1), why));
    EXPECT_EQ(why.code, reason_code::link_malformed);
}

TEST(fold, garbage_on_the_stream_is_skipped_by_all)
{
    model_log log;
    log.append("");
    log.append("\xc1garbage");
    log.append(pack(edit_from(log_offset(0), {set_pool("a")})));
    fold reader;
    read_all(reader, log);
    EXPECT_EQ(reader.content.version, log_offset(3));
}

} // namespace jujubestand::config
