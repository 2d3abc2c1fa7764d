#include <gtest/gtest.h>

#include <standins/log/log_service.hpp>
#include <standins/support/http_client.hpp>
#include <standins/support/program.hpp>

namespace
{

using namespace jujubestand;
using namespace jujubestand::standins;

class log_service_test : public testing::Test
{
protected:
    log_service_test()
        : base(make_base())
        , log(this->base.get(), address{"127.0.0.1", 0}, 7, log_switches{})
    {
    }

    fetch_result ask(evhttp_cmd_type method, std::string const& path,
                     std::string const& body = {})
    {
        fetch_result result;
        fetch(this->base.get(),
              fetch_request{this->log.bound(), method, path, body},
              [&](fetch_result got)
              {
                  result = std::move(got);
                  event_base_loopbreak(this->base.get());
              });
        event_base_dispatch(this->base.get());
        return result;
    }

    fetch_result append(std::string const& bytes)
    {
        return this->ask(EVHTTP_REQ_POST, "/v1/streams/a/records", bytes);
    }

    fetch_result read(std::string const& query)
    {
        return this->ask(EVHTTP_REQ_GET, "/v1/streams/a/records?" + query);
    }

    void set(std::string const& change)
    {
        ASSERT_EQ(this->ask(EVHTTP_REQ_POST, "/_fault", change).status,
                  HTTP_OK);
    }

    base_ptr base;
    log_service log;
};

/// The empty msgpack array.
constexpr char const* no_records = "\x90";

} // namespace

TEST_F(log_service_test, an_outage_refuses_both_ways)
{
    this->set(R"({"outage":true})");
    EXPECT_EQ(this->append("x").status, HTTP_SERVUNAVAIL);
    EXPECT_EQ(this->read("from=1").status, HTTP_SERVUNAVAIL);
    this->set(R"({"outage":false})");
    EXPECT_EQ(this->read("from=1").body, no_records);
}

TEST_F(log_service_test, a_lost_answer_leaves_the_record)
{
    this->set(R"({"lose_answers_per_1000":1000})");
    EXPECT_EQ(this->append("kept").status, 0);
    EXPECT_NE(this->read("from=1").body.find("kept"), std::string::npos);
}

TEST_F(log_service_test, a_late_append_wakes_a_waiting_reader)
{
    this->set(R"({"late_per_1000":1000,"late_ms":30})");
    EXPECT_EQ(this->append("late").status, 0);
    EXPECT_EQ(this->read("from=1").body, no_records);
    EXPECT_NE(this->read("from=1&wait_ms=20000").body.find("late"),
              std::string::npos);
}

TEST_F(log_service_test, a_wait_ends_empty)
{
    auto const result = this->read("from=1&wait_ms=10");
    EXPECT_EQ(result.status, HTTP_OK);
    EXPECT_EQ(result.body, no_records);
}

TEST_F(log_service_test, doubled_records_take_two_offsets)
{
    this->set(R"({"double_per_1000":1000})");
    EXPECT_EQ(this->append("a").body, R"({"offset":1})");
    EXPECT_EQ(this->append("b").body, R"({"offset":3})");
}

TEST_F(log_service_test, reads_below_the_retention_are_told)
{
    this->set(R"({"keep_records":1})");
    this->append("a");
    this->append("b");
    EXPECT_EQ(this->read("from=1").status, 410);
    EXPECT_NE(this->read("from=2").body.find('b'), std::string::npos);
}
