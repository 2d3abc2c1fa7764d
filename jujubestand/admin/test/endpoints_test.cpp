#include <gtest/gtest.h>
#include <jujubestand/admin/endpoints.hpp>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/timeline/json.hpp>

namespace jujubestand::admin
{

namespace
{

settings::settings settings_of_tests()
{
    settings::settings read;
    read.instance = instance_id("a1");
    return read;
}

class endpoints : public testing::Test
{
protected:
    process::context shared;

    void SetUp() override
    {
        process::begin(this->shared, nullptr, settings_of_tests(),
                       settings::role::entry);
    }

    answer get(std::string path, std::string host = "127.0.0.1",
               std::string const& key = {}, std::string query = {})
    {
        http::request asked;
        asked.path = std::move(path);
        asked.query = std::move(query);
        asked.remote_host = std::move(host);
        if (!key.empty())
            asked.headers.push_back({"Authorization", "Bearer " + key});
        return answer_common(this->shared, asked, {false, "no tables"})
            .value_or(answer{404, "", ""});
    }
};

} // namespace

TEST_F(endpoints, readiness_says_why_not)
{
    EXPECT_EQ(this->get("/healthz").status, 200);
    EXPECT_EQ(this->get("/readyz").status, 503);
    EXPECT_EQ(this->get("/readyz").body, "no tables\n");
    EXPECT_EQ(this->get("/other").status, 404);
}

TEST_F(endpoints, callers_from_elsewhere_see_no_events)
{
    EXPECT_EQ(this->get("/timeline").status, 200);
    EXPECT_EQ(this->get("/timeline", "10.0.0.7").status, 403);
    EXPECT_EQ(this->get("/metrics", "10.0.0.7").status, 403);
}

TEST_F(endpoints, with_an_operators_key_only_its_bearer_may_read)
{
    this->shared.settings.operator_key_digest = sha256_hex("on-call");
    EXPECT_EQ(this->get("/timeline").status, 403);
    EXPECT_EQ(this->get("/timeline", "10.0.0.7", "wrong").status, 403);
    EXPECT_EQ(this->get("/timeline", "10.0.0.7", "on-call").status, 200);
}

TEST_F(endpoints, noted_events_stand_on_the_time_line)
{
    process::note(this->shared, event_number::claim_won, request_id{1, 2},
                  team_id("depot"), {{"key", "k"}});
    reason why;
    auto const page =
        timeline::page_from_json(this->get("/timeline").body, why);
    ASSERT_TRUE(page) << to_text(why);
    ASSERT_EQ(page->events.size(), 1U);
    EXPECT_EQ(page->events.at(0).instance.text, "a1");
    EXPECT_EQ(this->get("/timeline", "::1", "", "event=nothing").status, 400);
}

} // namespace jujubestand::admin
