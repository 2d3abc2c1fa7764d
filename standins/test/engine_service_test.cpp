#include <gtest/gtest.h>

#include <standins/engine/engine_service.hpp>
#include <standins/support/http_client.hpp>
#include <standins/support/program.hpp>

namespace
{

using namespace jujubestand;
using namespace jujubestand::standins;
using nlohmann::json;

class engine_service_test : public testing::Test
{
protected:
    engine_service_test()
        : base(make_base())
    {
        engine_options options;
        options.costs.step_us = 100;
        options.costs.decode_us = 1;
        options.costs.prefill_us_per_token = 0;
        this->engine = std::make_unique<engine_service>(
            this->base.get(), address{"127.0.0.1", 0}, options,
            engine_switches{});
    }

    fetch_result ask(evhttp_cmd_type method, std::string const& path,
                     std::string const& body = {})
    {
        fetch_result result;
        fetch(this->base.get(),
              fetch_request{this->engine->bound(), method, path, body},
              [&](fetch_result got)
              {
                  result = std::move(got);
                  event_base_loopbreak(this->base.get());
              });
        event_base_dispatch(this->base.get());
        return result;
    }

    fetch_result complete(std::string const& prompt, int tokens, bool is_stream)
    {
        json const body{
            {"prompt", prompt}, {"max_tokens", tokens}, {"stream", is_stream}};
        return this->ask(EVHTTP_REQ_POST, "/v1/completions", body.dump());
    }

    void set(json const& change)
    {
        auto const result =
            this->ask(EVHTTP_REQ_POST, "/_fault", change.dump());
        ASSERT_EQ(result.status, HTTP_OK) << result.body;
    }

    base_ptr base;
    std::unique_ptr<engine_service> engine;
};

/// Texts of all pieces, joined; `[DONE]` must be the last event.
std::string joined(std::string const& stream)
{
    std::string text;
    std::string_view rest = stream;
    constexpr std::string_view mark = "data: ";
    std::string last;
    while (rest.find(mark) != std::string_view::npos)
    {
        rest.remove_prefix(rest.find(mark) + mark.size());
        last = rest.substr(0, rest.find('\n'));
        auto const event = json::parse(last, nullptr, false);
        if (event.is_object() && !event["choices"].empty())
            text += event["choices"][0]["text"].get<std::string>();
    }
    EXPECT_EQ(last, "[DONE]");
    return text;
}

} // namespace

TEST_F(engine_service_test, streams_and_json_answers_say_the_same)
{
    auto const whole = answer_text("tin manifest", 12);
    auto const stream = this->complete("tin manifest", 12, true);
    EXPECT_EQ(stream.status, HTTP_OK);
    EXPECT_EQ(joined(stream.body), whole);
    auto const plain = this->complete("tin manifest", 12, false);
    EXPECT_EQ(json::parse(plain.body)["choices"][0]["text"], whole);
    EXPECT_EQ(json::parse(plain.body)["usage"]["completion_tokens"], 12);
}

TEST_F(engine_service_test, malformed_bodies_and_unknown_models_are_refused)
{
    EXPECT_EQ(this->ask(EVHTTP_REQ_POST, "/v1/completions", "{").status,
              HTTP_BADREQUEST);
    EXPECT_EQ(this->ask(EVHTTP_REQ_POST, "/v1/completions",
                        R"({"prompt":"a","model":"other"})")
                  .status,
              HTTP_NOTFOUND);
}

TEST_F(engine_service_test, skipped_and_doubled_pieces_show)
{
    auto const whole = answer_text("a", 6);
    this->set({{"skip_pieces", 1}});
    EXPECT_EQ(joined(this->complete("a", 6, true).body), whole.substr(4));
    this->set({{"duplicate_pieces", 1}});
    EXPECT_EQ(joined(this->complete("a", 6, true).body),
              whole.substr(0, 4) + whole);
}

TEST_F(engine_service_test, a_cut_stream_has_no_end)
{
    this->set({{"cut_count", 1}, {"cut_after_pieces", 2}});
    EXPECT_EQ(this->complete("a", 50, true).status, 0);
    EXPECT_EQ(joined(this->complete("a", 50, true).body), answer_text("a", 50));
}

TEST_F(engine_service_test, old_fences_are_refused_where_checked)
{
    auto const order = [this](int fence)
    {
        json const body{{"fence", fence},
                        {"kind", "load_weights"},
                        {"version", "v" + std::to_string(fence)}};
        return this->ask(EVHTTP_REQ_POST, "/orders", body.dump()).status;
    };
    EXPECT_EQ(order(7), HTTP_OK);
    EXPECT_EQ(order(6), 409);
    EXPECT_EQ(order(7), HTTP_OK);
    this->set({{"check_fence", false}});
    EXPECT_EQ(order(6), HTTP_OK);
    auto const orders = json::parse(this->ask(EVHTTP_REQ_GET, "/_orders").body);
    EXPECT_EQ(orders.size(), 4U);
    EXPECT_EQ(orders[1]["accepted"], false);
    EXPECT_EQ(orders[3]["old"], true);
}

TEST_F(engine_service_test, a_load_of_weights_empties_the_cache)
{
    std::string const prompt(10 * block_bytes, 'p');
    this->complete(prompt, 1, false);
    auto const cached = [&]
    {
        auto const answer = json::parse(this->complete(prompt, 1, false).body);
        return answer["usage"]["prompt_tokens_details"]["cached_tokens"]
            .get<int>();
    };
    EXPECT_EQ(cached(), 9 * 16);
    this->ask(EVHTTP_REQ_POST, "/orders",
              R"({"fence":1,"kind":"load_weights","version":"v2"})");
    EXPECT_EQ(cached(), 0);
}

TEST_F(engine_service_test, unknown_switches_are_told)
{
    EXPECT_EQ(this->ask(EVHTTP_REQ_POST, "/_fault", R"({"nothing":1})").status,
              HTTP_BADREQUEST);
}
