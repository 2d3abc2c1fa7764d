#include <jujubestand/entry/test/path_fixture.hpp>

namespace jujubestand::entry::test
{

TEST_F(path_test, a_stream_reaches_its_caller_whole)
{
    this->start_path();
    auto const id =
        this->post("/v1/chat/completions", chat_body("hello", true));
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    auto const asked = pair.seen.at(0);
    auto const first = event(asked, 0, "a");
    auto const second = event(asked, 1, "b");
    std::string const end = "id: 2\ndata: [DONE]\n\n";
    pair.upstream->start(asked.caller, 200,
                         {{"Content-Type", "text/event-stream"}});
    pair.upstream->write(asked.caller, first);
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return !this->answer(id).body.empty();
        }));
    pair.upstream->write(asked.caller, second + end);
    pair.upstream->finish(asked.caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_TRUE(this->answer(id).end->is_complete);
    EXPECT_EQ(this->answer(id).body, first + second + end);
    EXPECT_EQ(this->answer(id).header("Content-Type"), "text/event-stream");
    EXPECT_TRUE(request_id_from_text(this->answer(id).header("X-Request-Id")));
}

TEST_F(path_test, the_engine_gets_id_and_salt_of_the_team)
{
    this->start_path(1);
    (void)this->post("/v1/chat/completions", chat_body("hello", false));
    ASSERT_TRUE(this->run_until_asked(1));
    auto const& asked = this->pairs.at(0).seen.at(0).request;
    auto const body = nlohmann::json::parse(asked.body);
    EXPECT_EQ(body.at("cache_salt").get<std::string>().size(), 32U);
    EXPECT_EQ(body.at("model"), "m1");
    EXPECT_FALSE(http::find_header(asked.headers, "Authorization"));
}

TEST_F(path_test, a_whole_answer_tells_that_it_ran)
{
    this->start_path();
    auto const id =
        this->post("/v1/chat/completions", chat_body("hello", false));
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    auto const name = std::string(
        *http::find_header(pair.seen.at(0).request.headers, "X-Request-Id"));
    std::string const answer =
        R"({"id":"cmpl-)" + name +
        R"(","usage":{"prompt_tokens":9,"completion_tokens":1,)"
        R"("prompt_tokens_details":{"cached_tokens":4}}})";
    pair.upstream->reply(pair.seen.at(0).caller, 200,
                         {{"Content-Type", "application/json"}}, answer);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->answer(id).body, answer);
    EXPECT_EQ(this->answer(id).header("X-Jujubestand-Verdict"), "ran");
}

TEST_F(path_test, a_plain_service_is_reached_under_its_prefix)
{
    this->start_path();
    auto const id = this->post("/booking/new?day=3", "{}",
                               {{"Idempotency-Key", this->new_key()}});
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    EXPECT_EQ(pair.seen.at(0).request.path, "/booking/new");
    EXPECT_EQ(pair.seen.at(0).request.query, "day=3");
    pair.upstream->reply(pair.seen.at(0).caller, 201, {}, "booked");
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->answer(id).head.status, 201);
    EXPECT_EQ(this->answer(id).body, "booked");
}

TEST_F(path_test, refusals_say_not_run_and_why)
{
    this->start_path(1);
    struct row
    {
        std::string path;
        std::string body;
        std::vector<http::field> headers;
        int status;
        std::string reason;
    };
    std::vector<row> const rows{
        {"/v1/chat/completions", "{", {}, 400, "102"},
        {"/v1/chat/completions", std::string(5'000, '['), {}, 400, "102"},
        {"/v1/chat/completions",
         R"({"model":"m","model":"n","prompt":"a"})",
         {},
         400,
         "100"},
        {"/v1/completions",
         R"({"model":"m","prompt":"a","cache_salt":"x"})",
         {},
         400,
         "104"},
        {"/v1/completions",
         R"({"model":"m","prompt":"a"})",
         {{"Authorization", "Bearer nobody"}},
         401,
         "105"},
        {"/nowhere", "", {}, 404, "106"},
        {"/booking/new", "", {}, 400, "108"},
        {"/booking/new", "", {{"Idempotency-Key", "k1"}}, 400, "109"},
    };
    for (auto const& sent : rows)
    {
        auto const id = this->post(sent.path, sent.body, sent.headers);
        ASSERT_TRUE(this->run_to_end(id));
        auto const& got = this->answer(id);
        EXPECT_EQ(got.head.status, sent.status) << sent.body;
        EXPECT_EQ(got.header("X-Jujubestand-Verdict"), "not_run");
        EXPECT_EQ(got.header("X-Jujubestand-Reason"), sent.reason);
        EXPECT_EQ(got.header("Content-Type"), "application/problem+json");
        EXPECT_EQ(nlohmann::json::parse(got.body).at("verdict"), "not_run");
    }
    EXPECT_EQ(this->asked(), 0U);
}

TEST_F(path_test, a_caller_that_leaves_cancels_at_the_engine)
{
    this->start_path(1);
    bool is_cancelled = false;
    this->pairs.at(0).upstream->closed.connect(
        [&](http::caller_id)
        {
            is_cancelled = true;
        });
    auto const id =
        this->post("/v1/chat/completions", chat_body("hello", true));
    ASSERT_TRUE(this->run_until_asked(1));
    this->caller->cancel(id);
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return is_cancelled;
        }));
}

TEST_F(path_test, a_cut_stream_ends_in_an_error_and_is_not_complete)
{
    this->routes.at(0).is_idempotent = false;
    this->start_path(1);
    auto const id = this->post("/v1/chat/completions", chat_body("hello", true),
                               {{"Idempotency-Key", this->new_key()}});
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->pairs.at(0);
    pair.upstream->start(pair.seen.at(0).caller, 200, {});
    pair.upstream->write(pair.seen.at(0).caller,
                         event(pair.seen.at(0), 0, "a"));
    pair.upstream->abort(pair.seen.at(0).caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_FALSE(this->answer(id).end->is_complete);
    EXPECT_NE(this->answer(id).body.find("event: error"), std::string::npos);
    EXPECT_NE(this->answer(id).body.find("may_have_run"), std::string::npos);
}

TEST_F(path_test, a_call_that_may_have_run_is_not_sent_twice)
{
    this->start_path();
    auto const id = this->post("/booking/new", "{}",
                               {{"Idempotency-Key", this->new_key()}});
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    pair.upstream->start(pair.seen.at(0).caller, 200, {});
    pair.upstream->abort(pair.seen.at(0).caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->answer(id).header("X-Jujubestand-Verdict"), "may_have_run");
    EXPECT_EQ(this->answer(id).header("Retry-After"), "");
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(path_test, an_upstream_that_is_gone_is_passed_over)
{
    this->start_path();
    this->pairs.at(0).upstream->stop_accepting();
    for (int round = 0; round < 4; ++round)
    {
        auto const before = this->pairs.at(1).seen.size();
        auto const id =
            this->post("/v1/chat/completions", chat_body("hello", false));
        ASSERT_TRUE(this->run_until(
            [&]
            {
                return this->pairs.at(1).seen.size() > before;
            }));
        auto& pair = this->pairs.at(1);
        auto const name = std::string(*http::find_header(
            pair.seen.back().request.headers, "X-Request-Id"));
        pair.upstream->reply(pair.seen.back().caller, 200, {},
                             R"({"id":"cmpl-)" + name + R"("})");
        ASSERT_TRUE(this->run_to_end(id));
        EXPECT_EQ(this->answer(id).head.status, 200);
    }
}

TEST_F(path_test, a_planned_stop_lets_a_stream_finish)
{
    this->start_path(1);
    auto const id =
        this->post("/v1/chat/completions", chat_body("hello", true));
    ASSERT_TRUE(this->run_until_asked(1));
    this->front->drain();
    auto& pair = this->pairs.at(0);
    auto const late = this->post("/nowhere", "");
    ASSERT_TRUE(this->run_to_end(late));
    EXPECT_EQ(this->answer(late).header("X-Jujubestand-Reason"), "304");
    EXPECT_FALSE(this->front->is_drained());
    pair.upstream->start(pair.seen.at(0).caller, 200, {});
    pair.upstream->write(pair.seen.at(0).caller,
                         event(pair.seen.at(0), 0, "a") +
                             "id: 1\ndata: [DONE]\n\n");
    pair.upstream->finish(pair.seen.at(0).caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_TRUE(this->answer(id).end->is_complete);
    EXPECT_TRUE(this->run_until(
        [&]
        {
            return this->front->is_drained();
        }));
}

} // namespace jujubestand::entry::test
