#include <gtest/gtest.h>
#include <jujubestand/claims/record.hpp>
#include <jujubestand/core/failure_point.hpp>
#include <jujubestand/entry/test/path_fixture.hpp>

namespace jujubestand::entry
{

namespace
{

/// Brings a call to each point of the table where it can fail, and compares
/// what its caller is told with what the upstream was asked.
class verdict_walk : public test::path_test
{
protected:
    void expect_told(http::exchange_id id, failure_point point)
    {
        ASSERT_TRUE(this->run_to_end(id)) << row_of(point).name;
        auto const expected =
            std::string(to_name(verdict_names, row_of(point).outcome));
        auto const& told = this->answer(id);
        EXPECT_EQ(told.header("X-Jujubestand-Verdict"), expected)
            << row_of(point).name;
        bool const may_run = row_of(point).outcome != verdict::not_run;
        if (may_run)
        {
            EXPECT_EQ(told.header("Retry-After"), "") << row_of(point).name;
        }
    }

    std::size_t count_abandons()
    {
        std::size_t count = 0;
        reason why;
        for (auto const& record : this->log.streams["claims.engines.0"].records)
        {
            auto const read = claims::unpack(std::get<2>(record), why);
            count += read ? read->abandons.size() : 0;
        }
        return count;
    }

    /// \brief Nothing that was refused runs later either.
    void expect_asked(std::size_t count)
    {
        for (int turn = 0; turn < 200; ++turn)
            event_base_loop(this->base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
        EXPECT_EQ(this->asked(), count);
    }
};

} // namespace

TEST_F(verdict_walk, entry_refused)
{
    this->start_path(1);
    this->expect_told(this->post("/nowhere", "{}"),
                      failure_point::entry_refused);
    this->expect_asked(0);
}

TEST_F(verdict_walk, sidecar_refused_while_it_drains)
{
    this->start_path(1);
    this->pairs.at(0).sidecar->drain();
    this->expect_told(this->book(this->new_key()),
                      failure_point::sidecar_refused);
    this->expect_asked(0);
}

TEST_F(verdict_walk, sidecar_refused_by_a_full_queue)
{
    this->common.slots = 1;
    this->common.queue_requests = 1;
    this->start_path(1);
    auto const first = this->book(this->new_key());
    ASSERT_TRUE(this->run_until_asked(1));
    auto const second = this->book(this->new_key());
    auto const third = this->book(this->new_key());
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return this->answer(second).end || this->answer(third).end;
        }));
    auto const refused = this->answer(third).end ? third : second;
    this->expect_told(refused, failure_point::sidecar_refused);
    EXPECT_FALSE(this->answer(first).end);
    // The key of a call that won its claim first is free again.
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return this->count_abandons() == 1;
        }));
    this->expect_asked(1);
}

TEST_F(verdict_walk, upstream_connect_refused)
{
    this->start_path(1);
    this->pairs.at(0).upstream.reset();
    this->expect_told(this->book(this->new_key()),
                      failure_point::upstream_connect_refused);
    this->expect_asked(0);
}

TEST_F(verdict_walk, upstream_read_cut)
{
    this->start_path(1);
    auto const id = this->book(this->new_key());
    ASSERT_TRUE(this->run_until_asked(1));
    this->pairs.at(0).upstream->abort(this->pairs.at(0).seen.at(0).caller);
    this->expect_told(id, failure_point::upstream_read_cut);
    this->expect_asked(1);
}

TEST_F(verdict_walk, upstream_timeout)
{
    this->routes.at(1).deadline_ms = 300;
    this->start_path(1);
    auto const id = this->book(this->new_key());
    ASSERT_TRUE(this->run_until_asked(1));
    this->expect_told(id, failure_point::upstream_timeout);
    this->expect_asked(1);
}

TEST_F(verdict_walk, link_connect_refused)
{
    this->start_path(1);
    this->pairs.at(0).sidecar.reset();
    this->expect_told(this->book(this->new_key()),
                      failure_point::link_connect_refused);
    this->expect_asked(0);
}

TEST_F(verdict_walk, link_cut_after_send)
{
    this->start_path(1);
    auto const id = this->book(this->new_key());
    ASSERT_TRUE(this->run_until_asked(1));
    this->pairs.at(0).sidecar.reset();
    this->expect_told(id, failure_point::link_cut_after_send);
    this->expect_asked(1);
}

} // namespace jujubestand::entry
