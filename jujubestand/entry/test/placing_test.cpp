#include <jujubestand/entry/test/path_fixture.hpp>

namespace jujubestand::entry::test
{

namespace
{

constexpr std::size_t long_text_bytes = 40'000;

class placing_test : public path_test
{
protected:
    /// \brief Sends a prompt and answers it. \returns the upstream's number
    std::size_t serve(std::string const& text)
    {
        auto const id =
            this->post("/v1/chat/completions", chat_body(text, false));
        EXPECT_TRUE(this->run_until_asked(1));
        std::size_t number = 0;
        while (number < this->pairs.size() && this->pairs[number].seen.empty())
            ++number;
        this->reply(this->pairs.at(number));
        EXPECT_TRUE(this->run_to_end(id));
        EXPECT_EQ(this->answer(id).head.status, 200);
        return number;
    }

private:
    static void reply(upstream_pair& pair)
    {
        auto const asked = pair.seen.at(0);
        pair.seen.clear();
        auto const name = std::string(
            *http::find_header(asked.request.headers, "X-Request-Id"));
        pair.upstream->reply(asked.caller, 200,
                             {{"Content-Type", "application/json"}},
                             R"({"id":"cmpl-)" + name +
                                 R"(","usage":{"prompt_tokens":10000,)"
                                 R"("completion_tokens":1}})");
    }
};

std::string question(std::string const& text, int number)
{
    return text + " question " + std::to_string(number);
}

} // namespace

TEST_F(placing_test, shared_prefix_goes_where_it_was_computed)
{
    this->start_path(2);
    for (char letter = 'a'; letter < 'e'; ++letter)
    {
        std::string const text(long_text_bytes, letter);
        auto const first = this->serve(question(text, 0));
        for (int number = 1; number < 6; ++number)
            EXPECT_EQ(this->serve(question(text, number)), first);
    }
}

TEST_F(placing_test, lost_sidecar_is_left_out_of_the_choice)
{
    this->start_path(2);
    std::string const text(long_text_bytes, 'a');
    auto const first = this->serve(question(text, 0));
    this->pairs.at(first).sidecar.reset();
    for (int number = 1; number < 6; ++number)
        EXPECT_NE(this->serve(question(text, number)), first);
}

TEST_F(placing_test, pinned_request_goes_where_it_is_told)
{
    this->common.pin_header = 1;
    this->start_path(2);
    for (int number = 0; number < 4; ++number)
    {
        auto const wanted = static_cast<std::size_t>(number % 2);
        (void)this->post("/v1/chat/completions", chat_body("hello", false),
                         {{"X-Upstream", "engine-" + std::to_string(wanted)}});
        ASSERT_TRUE(this->run_until_asked(1));
        EXPECT_EQ(this->pairs.at(wanted).seen.size(), 1U);
        this->pairs.at(wanted).seen.clear();
    }
}

TEST_F(placing_test, pins_are_ignored_unless_the_settings_allow_them)
{
    this->start_path(2);
    auto const id = this->post("/v1/chat/completions", chat_body("hi", false),
                               {{"X-Upstream", "engine-none"}});
    EXPECT_TRUE(this->run_until_asked(1));
    EXPECT_FALSE(this->answer(id).end.has_value());
}

} // namespace jujubestand::entry::test
