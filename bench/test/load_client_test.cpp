#include <gtest/gtest.h>

#include <bench/support/child_process.hpp>
#include <bench/support/load_client.hpp>
#include <filesystem>
#include <standins/support/http_client.hpp>
#include <standins/support/program.hpp>
#include <unistd.h>

namespace
{

using namespace jujubestand;
using namespace jujubestand::bench;
using std::chrono::seconds;

/// \brief One engine, and a short load for it.
class load_client_test : public testing::Test
{
protected:
    load_client_test()
        : folder(std::filesystem::temp_directory_path() /
                 ("jujubestand-load-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->folder);
        std::string const program =
            std::string(JUJUBESTAND_BINARY_DIR) + "/standins/standin_engine";
        this->engine.emplace(std::vector<std::string>{program, "--step-us",
                                                      "500", "--prefill-us",
                                                      "0"},
                             (this->folder / "engine").string());
        auto const where = this->engine->wait_line("listening ", seconds(30));
        this->options.entries.push_back(
            standins::address_argument(where.value()));
        this->options.shape.requests_per_s = 100;
        this->options.shape.seconds = 0.5;
        this->options.shape.max_tokens = 8;
        this->options.attempts = 1;
    }

    ~load_client_test() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    void set_fault(std::string const& change)
    {
        auto const base = standins::make_base();
        standins::fetch(
            base.get(),
            {this->options.entries[0], EVHTTP_REQ_POST, "/_fault", change},
            [](standins::fetch_result const& result)
            {
                EXPECT_EQ(result.status, 200);
            });
        event_base_dispatch(base.get());
    }

    std::filesystem::path folder;
    std::optional<child_process> engine;
    load_options options;
};

} // namespace

TEST_F(load_client_test, whole_answers_are_counted_whole)
{
    this->options.shape.stream_share = 0.5;
    auto const result = run_load(this->options);
    EXPECT_GT(result.calls.size(), 20U);
    EXPECT_EQ(result.count(call_outcome::whole), result.calls.size());
    EXPECT_EQ(result.untrue(), 0U);
    EXPECT_GT(result.hit_rate(), 0);
    EXPECT_EQ(this->engine->stop(seconds(30)), 0);
}

TEST_F(load_client_test, cut_streams_are_incomplete_and_told)
{
    this->set_fault(R"({"cut_count":2})");
    auto const result = run_load(this->options);
    EXPECT_EQ(result.count(call_outcome::incomplete), 2U);
    EXPECT_EQ(result.untrue(), 0U);
}

TEST_F(load_client_test, a_skipped_and_a_crossed_piece_make_wrong_answers)
{
    this->set_fault(R"({"skip_pieces":1})");
    EXPECT_EQ(run_load(this->options).count(call_outcome::wrong), 1U);
    this->options.shape.max_tokens = 100;
    this->set_fault(R"({"cross_answers":1})");
    EXPECT_EQ(run_load(this->options).untrue(), 1U);
}

TEST_F(load_client_test, callers_that_leave_are_no_failures)
{
    this->options.shape.cancel_share = 1;
    this->options.shape.max_tokens = 1'000;
    auto const result = run_load(this->options);
    EXPECT_EQ(result.count(call_outcome::left), result.calls.size());
}

TEST_F(load_client_test, a_dead_engine_is_failed_calls_and_a_signal)
{
    this->engine->kill();
    EXPECT_FALSE(this->engine->is_running());
    auto const result = run_load(this->options);
    EXPECT_EQ(result.count(call_outcome::failed), result.calls.size());
}

TEST(child_process, a_program_that_ends_early_has_no_line)
{
    auto const base = std::filesystem::temp_directory_path() /
                      ("jujubestand-child-" + std::to_string(::getpid()));
    child_process child({"/bin/false"}, base.string());
    EXPECT_FALSE(child.wait_line("listening ", seconds(30)));
    EXPECT_EQ(child.stop(seconds(1)), 1);
    std::filesystem::remove(base.string() + ".out");
    std::filesystem::remove(base.string() + ".err");
}
