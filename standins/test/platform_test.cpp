#include <gtest/gtest.h>

#include <standins/list/instance_list.hpp>
#include <standins/relay/tcp_relay.hpp>
#include <standins/service/plain_service.hpp>
#include <standins/store/weight_store.hpp>
#include <standins/support/http_client.hpp>
#include <standins/support/program.hpp>

namespace
{

using namespace jujubestand;
using namespace jujubestand::standins;
using nlohmann::json;

address const any_port{"127.0.0.1", 0};

class platform_test : public testing::Test
{
protected:
    platform_test()
        : base(make_base())
    {
    }

    fetch_result ask(fetch_request const& request)
    {
        fetch_result result;
        fetch(this->base.get(), request,
              [&](fetch_result got)
              {
                  result = std::move(got);
                  event_base_loopbreak(this->base.get());
              });
        event_base_dispatch(this->base.get());
        return result;
    }

    void set(address const& where, std::string const& change)
    {
        ASSERT_EQ(this->ask({where, EVHTTP_REQ_POST, "/_fault", change}).status,
                  HTTP_OK);
    }

    base_ptr base;
};

} // namespace

TEST_F(platform_test, a_service_counts_what_ran_though_no_answer_came)
{
    plain_service const service(this->base.get(), any_port, {});
    this->set(service.bound(), R"({"lose_answers":1})");
    fetch_request const booking{service.bound(), EVHTTP_REQ_POST, "/b", "x"};
    EXPECT_EQ(this->ask(booking).status, 0);
    EXPECT_EQ(this->ask(booking).status, HTTP_OK);
    this->set(service.bound(), R"({"refuse":true})");
    EXPECT_EQ(this->ask(booking).status, HTTP_SERVUNAVAIL);
    auto const counts =
        this->ask({service.bound(), EVHTTP_REQ_GET, "/_counts", {}});
    EXPECT_EQ(json::parse(counts.body)["executions"], 2);
}

TEST_F(platform_test, a_list_shows_a_change_only_after_its_lag)
{
    instance_list const list(this->base.get(), any_port, {60'000, 0, false});
    fetch_request const read{list.bound(), EVHTTP_REQ_GET, "/v1/instances", {}};
    fetch_request const put{list.bound(), EVHTTP_REQ_PUT, "/v1/instances/a1",
                            R"({"role":"entry"})"};
    this->ask(put);
    EXPECT_EQ(json::parse(this->ask(read).body)["instances"].size(), 0U);
    this->set(list.bound(), R"({"lag_ms":0})");
    this->ask(put);
    EXPECT_EQ(json::parse(this->ask(read).body)["instances"][0]["instance"],
              "a1");
}

TEST_F(platform_test, a_store_answers_each_load_once_it_is_complete)
{
    weight_store const store(this->base.get(), any_port, {20, 1, false});
    int answers = 0;
    for (int load = 0; load < 3; ++load)
        fetch(this->base.get(),
              {store.bound(), EVHTTP_REQ_POST, "/v1/loads", "{}"},
              [&](fetch_result const& got)
              {
                  EXPECT_EQ(got.status, HTTP_OK);
                  if (++answers == 3)
                      event_base_loopbreak(this->base.get());
              });
    event_base_dispatch(this->base.get());
    auto const stats =
        this->ask({store.bound(), EVHTTP_REQ_GET, "/_stats", {}});
    EXPECT_EQ(json::parse(stats.body)["finished"], 3);
    EXPECT_EQ(json::parse(stats.body)["running"], 0);
}

TEST_F(platform_test, a_relay_carries_all_bytes_until_it_is_cut)
{
    plain_service const service(this->base.get(), any_port, {});
    tcp_relay const relay(this->base.get(), any_port, service.bound(), any_port,
                          {2'000, 2'000, false, false});
    std::string const body(300'000, 'b');
    fetch_request const echo{relay.bound(), EVHTTP_REQ_POST, "/b", body};
    EXPECT_EQ(json::parse(this->ask(echo).body)["body"], body);
    this->set(relay.control_bound(), R"({"cut":true})");
    EXPECT_EQ(this->ask(echo).status, 0);
    this->set(relay.control_bound(), R"({"cut":false})");
    EXPECT_EQ(this->ask(echo).status, HTTP_OK);
    auto const counts =
        this->ask({service.bound(), EVHTTP_REQ_GET, "/_counts", {}});
    EXPECT_EQ(json::parse(counts.body)["executions"], 2);
}
