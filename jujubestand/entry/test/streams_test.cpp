#include <jujubestand/entry/test/path_fixture.hpp>
#include <jujubestand/link/test/cuttable.hpp>

namespace jujubestand::entry::test
{

namespace
{

constexpr char const* event_stream = "text/event-stream";

std::string end_of(int number)
{
    return "id: " + std::to_string(number) + "\ndata: [DONE]\n\n";
}

std::string greedy_body()
{
    auto body = nlohmann::json::parse(
        R"({"model":"m1","stream":true,"temperature":0,
            "messages":[{"role":"user","content":"hello"}]})");
    return body.dump();
}

} // namespace

class streams_test : public path_test
{
protected:
    /// Brings a stream's first events to the caller.
    http::exchange_id begin(std::string const& body, int events)
    {
        auto const id = this->post("/v1/chat/completions", body);
        EXPECT_TRUE(this->run_until_asked(1));
        auto& pair = this->asked_pair();
        auto const asked = pair.seen.at(0);
        pair.upstream->start(asked.caller, 200,
                             {{"Content-Type", event_stream}});
        for (int number = 0; number < events; ++number)
        {
            this->sent += event(asked, number, std::to_string(number));
            pair.upstream->write(asked.caller,
                                 event(asked, number, std::to_string(number)));
        }
        EXPECT_TRUE(this->run_until(
            [&]
            {
                return this->answer(id).body == this->sent;
            }));
        return id;
    }

    /// Puts something that can be cut between the entry and its sidecars.
    void make_cuttable()
    {
        for (auto& pair : this->pairs)
        {
            this->ways.push_back(std::make_unique<link::test::cuttable>(
                this->base(), pair.listening.link));
            pair.listening.link = this->ways.back()->where;
        }
        // The entry learns the addresses from the list, again and again.
        for (int polls = 0; polls < 5; ++polls)
        {
            this->run_for(std::chrono::milliseconds(this->common.list_poll_ms));
        }
    }

    void cut_links()
    {
        for (auto& way : this->ways)
            way->cut();
    }

    std::vector<std::unique_ptr<link::test::cuttable>> ways;
    std::string sent;
};

TEST_F(streams_test, a_broken_link_is_mended_without_loss)
{
    this->start_path(1);
    this->make_cuttable();
    auto const id = this->begin(chat_body("hello", true), 2);
    auto& pair = this->asked_pair();
    auto const asked = pair.seen.at(0);
    this->ways.at(0)->hold();
    pair.upstream->write(asked.caller, event(asked, 2, "lost at first"));
    this->run_for(std::chrono::milliseconds(50));
    this->cut_links();
    this->ways.at(0)->let_pass();
    pair.upstream->write(asked.caller, event(asked, 3, "b") + end_of(4));
    pair.upstream->finish(asked.caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_TRUE(this->answer(id).end->is_complete);
    EXPECT_EQ(this->answer(id).body, this->sent +
                                         event(asked, 2, "lost at first") +
                                         event(asked, 3, "b") + end_of(4));
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(streams_test, an_answer_that_finished_meanwhile_is_still_delivered)
{
    this->start_path(1);
    this->make_cuttable();
    auto const id = this->post("/booking/new", "{}",
                               {{"Idempotency-Key", this->new_key()}});
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    this->ways.at(0)->hold();
    pair.upstream->reply(pair.seen.at(0).caller, 201, {}, "booked");
    this->run_for(std::chrono::milliseconds(50));
    this->cut_links();
    this->ways.at(0)->let_pass();
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->answer(id).head.status, 201);
    EXPECT_EQ(this->answer(id).body, "booked");
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(streams_test, a_greedy_stream_goes_on_at_a_second_engine)
{
    this->start_path(2);
    auto const id = this->begin(greedy_body(), 2);
    auto& first = this->asked_pair();
    auto const asked = first.seen.at(0);
    first.upstream->abort(asked.caller);
    first.seen.clear();
    ASSERT_TRUE(this->run_until_asked(1));
    auto& second = this->asked_pair();
    auto const again = second.seen.at(0);
    second.upstream->start(again.caller, 200, {{"Content-Type", event_stream}});
    second.upstream->write(again.caller,
                           this->sent + event(again, 2, "c") + end_of(3));
    second.upstream->finish(again.caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_TRUE(this->answer(id).end->is_complete);
    EXPECT_EQ(this->answer(id).body,
              this->sent + event(again, 2, "c") + end_of(3));
}

TEST_F(streams_test, a_second_engine_that_differs_ends_the_stream)
{
    this->start_path(2);
    auto const id = this->begin(greedy_body(), 2);
    auto& first = this->asked_pair();
    first.upstream->abort(first.seen.at(0).caller);
    first.seen.clear();
    ASSERT_TRUE(this->run_until_asked(1));
    auto& second = this->asked_pair();
    auto const again = second.seen.at(0);
    second.upstream->start(again.caller, 200, {{"Content-Type", event_stream}});
    second.upstream->write(again.caller, event(again, 0, "other") + end_of(1));
    second.upstream->finish(again.caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_FALSE(this->answer(id).end->is_complete);
    EXPECT_TRUE(this->answer(id).body.starts_with(this->sent));
    EXPECT_NE(this->answer(id).body.find("event: error"), std::string::npos);
    EXPECT_EQ(this->answer(id).body.find("other"), std::string::npos);
}

// A stream had begun and broke off; the next engine answered with an error,
// whose text must not stand in the middle of the stream, nor end it as if it
// were complete (ORDER, MIXED).
TEST_F(streams_test, an_error_of_a_second_engine_is_not_relayed)
{
    this->start_path(2);
    auto const id = this->begin(greedy_body(), 2);
    auto& first = this->asked_pair();
    first.upstream->abort(first.seen.at(0).caller);
    first.seen.clear();
    ASSERT_TRUE(this->run_until_asked(1));
    auto& second = this->asked_pair();
    second.upstream->reply(second.seen.at(0).caller, 500,
                           {{"Content-Type", event_stream}},
                           "data: boom\n\ndata: [DONE]\n\n");
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_FALSE(this->answer(id).end->is_complete);
    EXPECT_TRUE(this->answer(id).body.starts_with(this->sent));
    EXPECT_EQ(this->answer(id).body.find("boom"), std::string::npos);
    EXPECT_EQ(this->answer(id).body.find("HTTP/1"), std::string::npos);
}

TEST_F(streams_test, a_sampled_stream_cut_midway_ends_with_an_error)
{
    this->start_path(2);
    auto const id = this->begin(chat_body("hello", true), 2);
    auto& pair = this->asked_pair();
    pair.upstream->abort(pair.seen.at(0).caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_FALSE(this->answer(id).end->is_complete);
    EXPECT_NE(this->answer(id).body.find("event: error"), std::string::npos);
    EXPECT_NE(this->answer(id).body.find("may_have_run"), std::string::npos);
    EXPECT_EQ(this->asked(), 1U);
}

TEST_F(streams_test, another_requests_pieces_and_end_are_not_relayed)
{
    this->start_path(1);
    auto const id =
        this->post("/v1/chat/completions", chat_body("hello", true));
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    auto const asked = pair.seen.at(0);
    seen_request other = asked;
    for (auto& header : other.request.headers)
    {
        if (http::same_name(header.name, "X-Request-Id"))
            header.value = to_text(request_id{1, 2});
    }
    auto const own = event(asked, 0, "a");
    pair.upstream->start(asked.caller, 200, {{"Content-Type", event_stream}});
    pair.upstream->write(asked.caller, end_of(0) + event(other, 0, "x") + own +
                                           own + event(other, 1, "y"));
    pair.upstream->write(asked.caller, event(asked, 1, "b") + end_of(2));
    pair.upstream->finish(asked.caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_TRUE(this->answer(id).end->is_complete);
    EXPECT_EQ(this->answer(id).body, own + event(asked, 1, "b") + end_of(2));
}

TEST_F(streams_test, an_end_mark_is_needed)
{
    this->start_path(1);
    auto const id = this->begin(chat_body("hello", true), 2);
    auto& pair = this->asked_pair();
    pair.upstream->finish(pair.seen.at(0).caller);
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_FALSE(this->answer(id).end->is_complete);
    EXPECT_NE(this->answer(id).body.find("answer_incomplete"),
              std::string::npos);
}

TEST_F(streams_test, a_whole_answer_of_another_request_is_refused)
{
    this->start_path(1);
    auto const id =
        this->post("/v1/chat/completions", chat_body("hello", false));
    ASSERT_TRUE(this->run_until_asked(1));
    auto& pair = this->asked_pair();
    pair.upstream->reply(pair.seen.at(0).caller, 200, {},
                         R"({"id":"cmpl-)" + to_text(request_id{1, 2}) +
                             R"(","choices":[]})");
    ASSERT_TRUE(this->run_to_end(id));
    EXPECT_EQ(this->answer(id).header("X-Jujubestand-Verdict"), "may_have_run");
    EXPECT_EQ(this->answer(id).header("X-Jujubestand-Reason"), "505");
}

} // namespace jujubestand::entry::test
