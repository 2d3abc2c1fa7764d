#include <algorithm>
#include <gtest/gtest.h>
#include <jujubestand/orders/lease.hpp>
#include <jujubestand/orders/rollout.hpp>
#include <jujubestand/orders/slots.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::orders
{

namespace
{

upstream_id const engine("engine-1");

mono_time at_ms(std::int64_t ms)
{
    return mono_time(std::chrono::milliseconds(ms));
}

struct model_log
{
    std::vector<platform::log_record> records;

    void append(record const& made, std::int64_t now_ms)
    {
        records.push_back({log_offset(this->records.size() + 1),
                           wall_time(std::chrono::milliseconds(now_ms)),
                           pack(made)});
    }

    platform::log_batch from(log_offset next) const
    {
        platform::log_batch batch;
        batch.first_kept = log_offset(1);
        batch.next = log_offset(this->records.size() + 1);
        for (auto const& read : this->records)
        {
            if (read.offset >= next)
                batch.records.push_back(read);
        }
        return batch;
    }
};

std::vector<std::uint32_t> draw_numbers(std::size_t count)
{
    return *rc::gen::container<std::vector<std::uint32_t>>(
        count, rc::gen::resize(rc::kNominalSize,
                               rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
}

struct acted_order
{
    std::size_t life = 0;
    std::int64_t at_ms = 0;
};

// Simulates successive incarnations of the sidecar of one engine. Each may be
// paused for any time during a read, and sends orders whenever its lease allows
// it. An order takes effect at any time up to its limit.
struct lease_world
{
    struct life
    {
        lease right;
        std::int64_t paused_until_ms = 0;
        std::optional<std::int64_t> read_began_ms;
        platform::log_batch answer;
    };

    bool has_fencing = false;
    model_log log;
    std::vector<life> lives;
    std::int64_t now_ms = 0;
    std::vector<acted_order> acted;
    std::vector<acted_order> pending;
    std::uint64_t engine_fence = 0;

    void start_life()
    {
        life next;
        next.right.upstream = engine;
        next.right.nonce = request_id{1, this->lives.size() + 1};
        this->log.append(
            start_record{next.right.nonce, engine, instance_id("s")},
            this->now_ms);
        this->lives.push_back(next);
    }

    // One read at a time, in two steps; it returns the log as it was when the
    // read began, which is the worst case.
    void read(life& one)
    {
        if (!one.read_began_ms)
        {
            one.read_began_ms = this->now_ms;
            one.answer = this->log.from(one.right.next);
            return;
        }
        on_batch(one.right, one.answer, at_ms(*one.read_began_ms),
                 at_ms(this->now_ms));
        one.read_began_ms.reset();
    }

    void order(std::size_t index, std::uint32_t delay)
    {
        reason why;
        auto const& right = this->lives[index].right;
        if (!may_order(right, this->has_fencing, at_ms(this->now_ms), why))
            return;
        auto const limit = right.options.order_limit.count();
        this->pending.push_back({index, this->now_ms + delay % limit});
    }

    void act_until_now()
    {
        std::ranges::sort(this->pending, {}, &acted_order::at_ms);
        while (!this->pending.empty() &&
               this->pending.front().at_ms <= this->now_ms)
        {
            auto const one = this->pending.front();
            this->pending.erase(this->pending.begin());
            auto const fence = this->lives[one.life].right.fence.value;
            if (this->has_fencing && fence < this->engine_fence)
                continue;
            this->engine_fence = fence;
            this->acted.push_back(one);
        }
    }

    void run(std::uint32_t number)
    {
        this->now_ms += number % 700;
        this->act_until_now();
        if (number % 29 == 0 || this->lives.empty())
            this->start_life();
        auto const index = number / 30 % this->lives.size();
        auto& one = this->lives[index];
        if (number % 13 == 0)
            one.paused_until_ms = this->now_ms + number % 20'000;
        if (one.paused_until_ms > this->now_ms)
            return;
        if (number % 3 == 0)
            this->order(index, number / 7);
        else
            this->read(one);
    }
};

void check_no_stale_order(bool has_fencing)
{
    lease_world world;
    world.has_fencing = has_fencing;
    for (auto const number : draw_numbers(400))
        world.run(number);
    world.now_ms += 100'000;
    world.act_until_now();
    for (std::size_t at = 1; at < world.acted.size(); ++at)
        RC_ASSERT(world.acted[at].life >= world.acted[at - 1].life);
}

std::optional<lease> held_lease(std::int64_t started_ms)
{
    model_log log;
    lease right;
    right.upstream = engine;
    right.nonce = request_id{1, 1};
    log.append(start_record{right.nonce, engine, instance_id("s")}, started_ms);
    on_batch(right, log.from(right.next), at_ms(started_ms), at_ms(started_ms));
    return right;
}

} // namespace

RC_GTEST_PROP(lease, an_engine_without_fencing_never_obeys_an_old_life, ())
{
    check_no_stale_order(false);
}

RC_GTEST_PROP(lease, an_engine_with_fencing_never_obeys_an_old_life, ())
{
    check_no_stale_order(true);
}

TEST(lease, without_the_log_there_is_no_right)
{
    lease right;
    reason why;
    EXPECT_FALSE(may_order(right, true, at_ms(0), why));
    EXPECT_EQ(why.code, reason_code::lease_lost);
    auto held = held_lease(0);
    EXPECT_TRUE(may_order(*held, true, at_ms(2'999), why));
    EXPECT_FALSE(may_order(*held, true, at_ms(3'000), why));
}

TEST(lease, a_gap_in_the_log_ends_the_right)
{
    auto held = held_lease(0);
    platform::log_batch gap;
    gap.first_kept = log_offset(9);
    gap.next = log_offset(9);
    on_batch(*held, gap, at_ms(10), at_ms(10));
    reason why;
    EXPECT_FALSE(may_order(*held, true, at_ms(11), why));
}

TEST(lease, a_new_life_waits_only_where_fences_are_ignored)
{
    auto held = held_lease(0);
    reason why;
    EXPECT_TRUE(may_order(*held, true, at_ms(1), why));
    EXPECT_FALSE(may_order(*held, false, at_ms(1), why));
    held->confirmed = at_ms(8'000);
    EXPECT_FALSE(may_order(*held, false, at_ms(8'099), why));
    EXPECT_TRUE(may_order(*held, false, at_ms(8'100), why));
}

// Sidecars claim slots, pause before the load, crash during it and may not
// release the slot; the number of concurrent loads must stay within the limit.
RC_GTEST_PROP(slots, loads_stay_within_the_limit, ())
{
    slots reader;
    reader.options.limit = 2;
    reader.options.load_limit = std::chrono::milliseconds(10'000);
    reader.pool = pool_id("p");
    auto const claim_of = [](std::uint64_t id)
    {
        return slot_claim{request_id{1, id}, pool_id("p"), engine};
    };
    struct claimed
    {
        std::int64_t sent_ms = 0;
        bool is_loading = false;
        std::int64_t end_ms = 0;
    };
    model_log log;
    std::vector<claimed> claims;
    std::int64_t now_ms = 0;
    for (auto const number : draw_numbers(300))
    {
        now_ms += number % 900;
        for (auto& one : claims)
            one.is_loading = one.is_loading && one.end_ms > now_ms;
        auto const index = claims.empty() ? 0 : number / 11 % claims.size();
        if (number % 4 == 0 || claims.empty())
        {
            claims.push_back({now_ms});
            log.append(claim_of(claims.size()), now_ms);
            if (number % 5 == 0)
                log.append(claim_of(claims.size()), now_ms);
        }
        else if (number % 4 == 1 && claims[index].end_ms != 0)
        {
            // A slot is released only after its load has ended.
            if (!claims[index].is_loading)
                log.append(slot_release{request_id{1, index + 1}}, now_ms);
        }
        else if (claims[index].end_ms == 0 &&
                 may_load(reader, request_id{1, index + 1},
                          at_ms(claims[index].sent_ms), at_ms(now_ms)))
        {
            claims[index].is_loading = true;
            claims[index].end_ms = now_ms + 1 + number % 10'000;
        }
        for (auto const& read : log.from(reader.next).records)
            take(reader, read);
        auto const loading =
            std::ranges::count_if(claims, &claimed::is_loading);
        RC_ASSERT(loading <= 2);
    }
}

TEST(slots, a_doubled_claim_is_one_and_a_late_one_finds_no_room)
{
    slots reader;
    reader.pool = pool_id("p");
    reader.options.limit = 1;
    model_log log;
    log.append(slot_claim{{1, 1}, pool_id("p"), engine}, 0);
    log.append(slot_claim{{1, 1}, pool_id("p"), engine}, 1);
    log.append(slot_claim{{1, 2}, pool_id("p"), engine}, 2);
    log.append(slot_release{{1, 1}}, 3);
    log.append(slot_claim{{1, 3}, pool_id("p"), engine}, 4);
    for (auto const& read : log.records)
        take(reader, read);
    EXPECT_EQ(outcome_of(reader, {1, 1}), true);
    EXPECT_EQ(outcome_of(reader, {1, 2}), false);
    EXPECT_EQ(outcome_of(reader, {1, 3}), true);
    EXPECT_EQ(outcome_of(reader, {1, 4}), std::nullopt);
}

TEST(rollout, weights_then_adapters_then_role)
{
    config::pool wanted;
    wanted.weights_version = "2";
    wanted.adapters = {"a"};
    wanted.roles = {{engine, "prefill"}};
    engine_state now{"1", {"a"}, "mixed"};
    EXPECT_FALSE(may_serve(wanted, now));
    auto first = next_order(wanted, engine, now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->kind, order_kind::load_weights);
    EXPECT_TRUE(needs_slot(*first));
    now = {"2", {}, "mixed"};
    EXPECT_EQ(next_order(wanted, engine, now)->kind, order_kind::load_adapter);
    now.adapters = {"a"};
    EXPECT_EQ(next_order(wanted, engine, now)->role, "prefill");
    now.role = "prefill";
    EXPECT_FALSE(next_order(wanted, engine, now));
}

} // namespace jujubestand::orders
