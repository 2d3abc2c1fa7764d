#include <jujubestand/entry/test/path_fixture.hpp>

namespace jujubestand::entry
{

namespace
{

constexpr char const* newer_version = "2";

// The log is up for the sidecars; each test cuts off whom it is about.
class tables_test : public test::path_test
{
protected:
    std::vector<std::size_t> applied;

    void start_sidecars()
    {
        this->common.log = this->log.server.where;
        this->publish_tables();
        this->start_list();
        this->start_pair(0);
        this->start_pair(1);
        this->count_applied(0);
        this->count_applied(1);
    }

    void cut_log_off()
    {
        this->common.log = platform::test::fake_server().where;
    }

    void start_cut_off_entry()
    {
        this->cut_log_off();
        this->start_entry();
        this->start_caller();
    }

    bool run_until_ready()
    {
        return this->run_until(
            [this]
            {
                return this->is_ready();
            });
    }

    void count_applied(std::size_t at)
    {
        this->applied.resize(std::max(this->applied.size(), at + 1));
        this->pairs[at].shared->noted.connect(
            [this, at](event_note const& note)
            {
                for (auto const& field : note.fields)
                {
                    if (note.number == event_number::tables_applied &&
                        field.key == "version" && field.value == newer_version)
                        ++this->applied[at];
                }
            });
    }

    // Sends all chat traffic to the second upstream.
    void publish_move()
    {
        config::edit made;
        made.nonce = request_id{2, 2};
        made.base = log_offset(1);
        config::change pool{config::change_kind::set_pool, {}, this->pools[0]};
        pool.pool_row.id = pool_id("second");
        pool.pool_row.upstreams = {upstream_id("engine-1")};
        config::change route{
            config::change_kind::set_route, this->routes[0], {}};
        route.route_row.pool = pool_id("second");
        made.changes = {pool, route};
        this->log.append(config::stream_name, config::pack(made));
    }

    bool run_until_applied(std::size_t at)
    {
        return this->run_until(
            [this, at]
            {
                return this->applied[at] > 0;
            });
    }
};

} // namespace

TEST_F(tables_test, an_entry_without_the_log_serves_from_its_peers)
{
    this->start_sidecars();
    this->start_cut_off_entry();
    EXPECT_TRUE(this->run_until_ready());
}

TEST_F(tables_test, with_no_peer_and_no_log_an_entry_says_so)
{
    this->start_list();
    this->start_cut_off_entry();
    http::request asked;
    asked.method = "GET";
    asked.path = "/readyz";
    auto const id = this->caller->start(this->where->http, asked);
    this->answers.emplace_back(id, test::seen_answer{});
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->answer(id).head.status, 503);
    EXPECT_NE(this->answer(id).body.find("no tables"), std::string::npos);
}

TEST_F(tables_test, a_request_under_older_tables_runs_only_under_the_newer)
{
    this->start_sidecars();
    this->start_cut_off_entry();
    ASSERT_TRUE(this->run_until_ready());
    this->publish_move();
    ASSERT_TRUE(this->run_until_applied(0));
    ASSERT_TRUE(this->run_until_applied(1));
    std::vector<event_number> notes;
    this->shared->noted.connect(
        [&notes](event_note const& note)
        {
            notes.push_back(note.number);
        });
    this->post("/v1/chat/completions", chat_body("hello", false));
    ASSERT_TRUE(this->run_until_asked(1));
    EXPECT_TRUE(this->pairs[0].seen.empty());
    EXPECT_EQ(this->pairs[1].seen.size(), 1U);
    EXPECT_EQ(std::ranges::count(notes, event_number::tables_applied), 1);
    EXPECT_EQ(std::ranges::count(notes, event_number::attempt_failed), 1);
}

TEST_F(tables_test, a_sidecar_without_the_log_learns_from_a_request)
{
    this->common.log = this->log.server.where;
    this->publish_tables();
    this->start_list();
    this->start_pair(0);
    this->cut_log_off();
    this->start_pair(1);
    this->count_applied(0);
    this->count_applied(1);
    this->common.log = this->log.server.where;
    this->start_entry();
    this->start_caller();
    ASSERT_TRUE(this->run_until_ready());
    // No peer of the list is left to be asked.
    this->pairs[0].sidecar.reset();
    this->publish_move();
    this->post("/v1/chat/completions", chat_body("hello", false));
    EXPECT_TRUE(this->run_until_applied(1));
}

} // namespace jujubestand::entry
