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

struct fake_log
{
    std::vector<platform::log_record> records;

    void append(record const& content, std::int64_t now_ms)
    {
        records.push_back({log_offset(this->records.size() + 1),
                           wall_time(std::chrono::milliseconds(now_ms)),
                           pack(content)});
    }

    platform::log_batch from(log_offset next) const
    {
        platform::log_batch batch;
        batch.first_kept = log_offset(1);
        batch.next = log_offset(this->records.size() + 1);
        for (auto const& entry : this->records)
        {
            if (entry.offset >= next)
                batch.records.push_back(entry);
        }
        return batch;
    }
};

std::vector<std::uint32_t> random_numbers(std::size_t count)
{
    return *rc::gen::container<std::vector<std::uint32_t>>(
        count, rc::gen::resize(rc::kNominalSize,
                               rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
}

struct executed_order
{
    std::size_t sidecar_index = 0;
    std::int64_t at_ms = 0;
};

// Simulates successive incarnations of the sidecar of one engine. Each may be
// paused for any time during a read, and sends orders whenever its lease allows
// it. An order takes effect at any time up to its limit.
struct lease_simulation
{
    struct sidecar_state
    {
        lease sidecar_lease;
        std::int64_t paused_until_ms = 0;
        std::optional<std::int64_t> read_began_ms;
        platform::log_batch batch_read;
    };

    bool has_fencing = false;
    fake_log log;
    std::vector<sidecar_state> sidecars;
    std::int64_t now_ms = 0;
    std::vector<executed_order> executed;
    std::vector<executed_order> pending;
    std::uint64_t engine_fencing_number = 0;

    void start_sidecar()
    {
        sidecar_state started;
        started.sidecar_lease.upstream = engine;
        started.sidecar_lease.nonce = request_id{1, this->sidecars.size() + 1};
        this->log.append(
            start_record{started.sidecar_lease.nonce, engine, instance_id("s")},
            this->now_ms);
        this->sidecars.push_back(started);
    }

    // One read at a time, in two steps; it returns the log as it was when the
    // read began, which is the worst case.
    void read(sidecar_state& current)
    {
        if (!current.read_began_ms)
        {
            current.read_began_ms = this->now_ms;
            current.batch_read =
                this->log.from(current.sidecar_lease.next_offset);
            return;
        }
        on_batch(current.sidecar_lease, current.batch_read,
                 at_ms(*current.read_began_ms), at_ms(this->now_ms));
        current.read_began_ms.reset();
    }

    void send_order(std::size_t index, std::uint32_t delay)
    {
        reason why;
        auto const& sidecar_lease = this->sidecars[index].sidecar_lease;
        if (!may_send_order(sidecar_lease, this->has_fencing,
                            at_ms(this->now_ms), why))
            return;
        auto const limit = sidecar_lease.options.order_timeout.count();
        this->pending.push_back({index, this->now_ms + delay % limit});
    }

    void execute_due_orders()
    {
        std::ranges::sort(this->pending, {}, &executed_order::at_ms);
        while (!this->pending.empty() &&
               this->pending.front().at_ms <= this->now_ms)
        {
            auto const due = this->pending.front();
            this->pending.erase(this->pending.begin());
            auto const fence = this->sidecars[due.sidecar_index]
                                   .sidecar_lease.fencing_number.value;
            if (this->has_fencing && fence < this->engine_fencing_number)
                continue;
            this->engine_fencing_number = fence;
            this->executed.push_back(due);
        }
    }

    void step(std::uint32_t number)
    {
        this->now_ms += number % 700;
        this->execute_due_orders();
        if (number % 29 == 0 || this->sidecars.empty())
            this->start_sidecar();
        auto const index = number / 30 % this->sidecars.size();
        auto& current = this->sidecars[index];
        if (number % 13 == 0)
            current.paused_until_ms = this->now_ms + number % 20'000;
        if (current.paused_until_ms > this->now_ms)
            return;
        if (number % 3 == 0)
            this->send_order(index, number / 7);
        else
            this->read(current);
    }
};

void check_no_stale_order(bool has_fencing)
{
    lease_simulation simulation;
    simulation.has_fencing = has_fencing;
    for (auto const number : random_numbers(400))
        simulation.step(number);
    simulation.now_ms += 100'000;
    simulation.execute_due_orders();
    for (std::size_t position = 1; position < simulation.executed.size();
         ++position)
        RC_ASSERT(simulation.executed[position].sidecar_index >=
                  simulation.executed[position - 1].sidecar_index);
}

std::optional<lease> confirmed_lease(std::int64_t started_ms)
{
    fake_log log;
    lease new_lease;
    new_lease.upstream = engine;
    new_lease.nonce = request_id{1, 1};
    log.append(start_record{new_lease.nonce, engine, instance_id("s")},
               started_ms);
    on_batch(new_lease, log.from(new_lease.next_offset), at_ms(started_ms),
             at_ms(started_ms));
    return new_lease;
}

} // namespace

RC_GTEST_PROP(lease, an_engine_without_fencing_never_executes_a_stale_order, ())
{
    check_no_stale_order(false);
}

RC_GTEST_PROP(lease, an_engine_with_fencing_never_executes_a_stale_order, ())
{
    check_no_stale_order(true);
}

TEST(lease, without_the_log_there_is_no_lease)
{
    lease unconfirmed;
    reason why;
    EXPECT_FALSE(may_send_order(unconfirmed, true, at_ms(0), why));
    EXPECT_EQ(why.code, reason_code::lease_lost);
    auto held = confirmed_lease(0);
    EXPECT_TRUE(may_send_order(*held, true, at_ms(2'999), why));
    EXPECT_FALSE(may_send_order(*held, true, at_ms(3'000), why));
}

TEST(lease, a_gap_in_the_log_ends_the_lease)
{
    auto held = confirmed_lease(0);
    platform::log_batch gap;
    gap.first_kept = log_offset(9);
    gap.next = log_offset(9);
    on_batch(*held, gap, at_ms(10), at_ms(10));
    reason why;
    EXPECT_FALSE(may_send_order(*held, true, at_ms(11), why));
}

TEST(lease, a_new_sidecar_waits_only_for_an_engine_without_fencing)
{
    auto held = confirmed_lease(0);
    reason why;
    EXPECT_TRUE(may_send_order(*held, true, at_ms(1), why));
    EXPECT_FALSE(may_send_order(*held, false, at_ms(1), why));
    held->confirmed_at = at_ms(8'000);
    EXPECT_FALSE(may_send_order(*held, false, at_ms(8'099), why));
    EXPECT_TRUE(may_send_order(*held, false, at_ms(8'100), why));
}

// Sidecars claim slots, pause before the load, crash during it and may not
// release the slot; the number of concurrent loads must stay within the limit.
RC_GTEST_PROP(slots, loads_stay_within_the_limit, ())
{
    slot_table reader;
    reader.options.max_concurrent_loads = 2;
    reader.options.load_timeout = std::chrono::milliseconds(10'000);
    reader.pool = pool_id("p");
    auto const claim_of = [](std::uint64_t id)
    {
        return slot_claim{request_id{1, id}, pool_id("p"), engine};
    };
    struct weight_load
    {
        std::int64_t sent_ms = 0;
        bool is_loading = false;
        std::int64_t end_ms = 0;
    };
    fake_log log;
    std::vector<weight_load> loads;
    std::int64_t now_ms = 0;
    for (auto const number : random_numbers(300))
    {
        now_ms += number % 900;
        for (auto& load : loads)
            load.is_loading = load.is_loading && load.end_ms > now_ms;
        auto const index = loads.empty() ? 0 : number / 11 % loads.size();
        if (number % 4 == 0 || loads.empty())
        {
            loads.push_back({now_ms});
            log.append(claim_of(loads.size()), now_ms);
            if (number % 5 == 0)
                log.append(claim_of(loads.size()), now_ms);
        }
        else if (number % 4 == 1 && loads[index].end_ms != 0)
        {
            // A slot is released only after its load has ended.
            if (!loads[index].is_loading)
                log.append(slot_release{request_id{1, index + 1}}, now_ms);
        }
        else if (loads[index].end_ms == 0 &&
                 may_start_load(reader, request_id{1, index + 1},
                                at_ms(loads[index].sent_ms), at_ms(now_ms)))
        {
            loads[index].is_loading = true;
            loads[index].end_ms = now_ms + 1 + number % 10'000;
        }
        for (auto const& entry : log.from(reader.next_offset).records)
            apply_record(reader, entry);
        auto const loading =
            std::ranges::count_if(loads, &weight_load::is_loading);
        RC_ASSERT(loading <= 2);
    }
}

TEST(slots, a_repeated_claim_counts_once_and_a_claim_over_the_limit_is_denied)
{
    slot_table reader;
    reader.pool = pool_id("p");
    reader.options.max_concurrent_loads = 1;
    fake_log log;
    log.append(slot_claim{{1, 1}, pool_id("p"), engine}, 0);
    log.append(slot_claim{{1, 1}, pool_id("p"), engine}, 1);
    log.append(slot_claim{{1, 2}, pool_id("p"), engine}, 2);
    log.append(slot_release{{1, 1}}, 3);
    log.append(slot_claim{{1, 3}, pool_id("p"), engine}, 4);
    for (auto const& entry : log.records)
        apply_record(reader, entry);
    EXPECT_EQ(claim_outcome(reader, {1, 1}), true);
    EXPECT_EQ(claim_outcome(reader, {1, 2}), false);
    EXPECT_EQ(claim_outcome(reader, {1, 3}), true);
    EXPECT_EQ(claim_outcome(reader, {1, 4}), std::nullopt);
}

TEST(rollout, weights_then_adapters_then_role)
{
    config::pool target;
    target.weights_version = "2";
    target.adapters = {"a"};
    target.roles = {{engine, "prefill"}};
    engine_state now{"1", {"a"}, "mixed"};
    EXPECT_FALSE(may_serve(target, now));
    auto first = next_order(target, engine, now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->kind, order_kind::load_weights);
    EXPECT_TRUE(needs_slot(*first));
    now = {"2", {}, "mixed"};
    EXPECT_EQ(next_order(target, engine, now)->kind, order_kind::load_adapter);
    now.adapters = {"a"};
    EXPECT_EQ(next_order(target, engine, now)->role, "prefill");
    now.role = "prefill";
    EXPECT_FALSE(next_order(target, engine, now));
}

} // namespace jujubestand::orders
