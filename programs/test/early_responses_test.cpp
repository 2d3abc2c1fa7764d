#include <iterator>
#include <programs/test/gateways_fixture.hpp>
#include <standins/service/early_service.hpp>
#include <tuple>

// Upstreams that end a response without a length while its request is still
// being written, and upstreams with statuses that HTTP doesn't have, over whole
// gateway and agent processes.
namespace jujubestand::programs::test
{

namespace
{

using standins::early_end;

constexpr auto whole = standins::stream_engine::stream_events;

/// A response without a length, as far as its body.
constexpr char const* open_head =
    "HTTP/1.1 200 OK\r\nX-Response-Stamp: early\r\nX-Request-Id: %ID%\r\n\r\n";

std::string with_status(std::string const& status, std::string const& body)
{
    return "HTTP/1.1 " + status +
           " Text\r\nX-Response-Stamp: early\r\nX-Request-Id: %ID%\r\n"
           "Connection: close\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

class early_responses : public gateways_test
{
protected:
    /// \brief Starts a gateway before an upstream with such a response, the
    /// only one of its pool.
    void start(std::string const& pool, std::string const& response)
    {
        this->start_gateways(1);
        // Of a pool that no route has: agents name the gateways.
        this->add_engine("v1", near, "spare");
        this->add_early(pool, response);
        this->wait_ready();
        this->wait_logged(0, "member_live", std::string("upstream=early"));
    }

    void add_early(std::string const& pool, std::string const& response)
    {
        this->early = std::make_unique<standins::early_service>(
            this->base.get(), address{host(early_number), 0}, response);
        this->write_early(pool);
    }

    void write_early(std::string const& pool)
    {
        nlohmann::json const record{
            {"service", pool},   {"address", to_text(this->early->bound())},
            {"zone", near},      {"version", "v1"},
            {"slots", 6},        {"state", "ready"},
            {"sequence", 1'000}, {"born", 900}};
        this->store.put("keyed.servers", "early", record.dump());
    }

    /// \brief Adds an engine that answers, once the early one is at work.
    void add_sound_engine()
    {
        auto const number = this->add_engine("v1", near);
        this->wait_logged(0, "member_live", number);
        this->run_until(
            [this, number]
            {
                return this->engines[number].agent->informed().size() ==
                       this->gateways.size();
            });
    }

    answer_ptr upload(stream_call const& asked)
    {
        http1::client_request request;
        request.server = this->gateways[0].callers;
        request.method = "POST";
        request.target = asked.target;
        request.fields = fields_of(asked);
        request.body = std::string(upload_bytes, 'u');
        auto answer = start_call(this->caller, std::move(request));
        EXPECT_TRUE(this->run_until(
            [&]
            {
                return this->early->requests() > 0;
            }));
        return answer;
    }

    /// \brief Lets what was sent arrive.
    void wait_for_arrival()
    {
        constexpr milliseconds arrival{50};
        this->run_until(
            []
            {
                return false;
            },
            arrival);
    }

    void expect_failure(answer_ptr const& answer)
    {
        ASSERT_TRUE(this->run_to_end(answer));
        EXPECT_TRUE(answer->end->is_complete) << answer->end->why.text;
        EXPECT_GE(answer->status, HTTP_INTERNAL);
        EXPECT_LE(answer->status, 599);
        EXPECT_EQ(answer->field("X-Response-Stamp"), "");
    }

    void expect_events(answer_ptr const& answer, std::uint64_t first)
    {
        ASSERT_TRUE(this->run_to_end(answer));
        EXPECT_TRUE(answer->end->is_complete) << answer->end->why.text;
        EXPECT_EQ(answer->status, HTTP_OK);
        EXPECT_EQ(answer->events(), events_of("v1", first, whole));
    }

    /// Far more than the sockets between two processes hold.
    static constexpr std::size_t upload_bytes = 4'000'000;
    static constexpr std::size_t early_number = 200;
    std::unique_ptr<standins::early_service> early;
};

/// \brief For each kind of plain call and end of its connection.
class early_uploads
    : public early_responses,
      public testing::WithParamInterface<std::tuple<char const*, early_end>>
{
};

/// \brief For each of some status codes that no response has.
class early_statuses : public early_responses,
                       public testing::WithParamInterface<char const*>
{
};

} // namespace

// A caller of another system got the first part of a response as a whole one.
TEST_P(early_uploads, a_part_is_no_response)
{
    auto const& [target, how] = GetParam();
    this->start("books", std::string(open_head) + "part");
    auto const answer = this->upload({"upload", "", "", target});
    this->wait_for_arrival();
    this->early->end(how);
    this->expect_failure(answer);
}

INSTANTIATE_TEST_SUITE_P(
    ends, early_uploads,
    testing::Combine(testing::Values("/book/new", "/status/new"),
                     testing::Values(early_end::reset, early_end::fin)));

// A stream ended after its first event as if it were whole.
TEST_F(early_responses, a_stream_that_is_reset_during_its_upload_continues)
{
    this->start("engines", std::string(open_head) + "id: 1\ndata: v1 1\n\n");
    auto const answer = this->upload({"stream", "", ""});
    EXPECT_TRUE(this->run_to_events(answer, 1));
    this->add_sound_engine();
    this->early->end(early_end::reset);
    this->expect_events(answer, 1);
}

TEST_F(early_responses, a_stream_that_ends_in_order_in_its_upload_continues)
{
    this->start("engines", std::string(open_head) + "id: 1\ndata: v1 1\n\n");
    auto const answer = this->upload({"stream", "", ""});
    EXPECT_TRUE(this->run_to_events(answer, 1));
    this->add_sound_engine();
    this->early->end(early_end::fin);
    this->expect_events(answer, 1);
}

// The same for a stream that its caller resumed.
TEST_F(early_responses, a_resumed_stream_that_ends_in_its_upload_continues)
{
    this->start("engines", std::string(open_head) + "id: 3\ndata: v1 3\n\n");
    auto const answer = this->upload({"again", "2", "stream"});
    EXPECT_TRUE(this->run_to_events(answer, 1));
    this->add_sound_engine();
    this->early->end(early_end::fin);
    this->expect_events(answer, 3);
}

// A stream that may run once only has no other end than an aborted one.
TEST_F(early_responses, a_stream_that_runs_once_ends_as_broken)
{
    this->start("engines", std::string(open_head) + "id: 1\ndata: v1 1\n\n");
    auto const answer = this->upload({"once", "", "", "/once/new"});
    EXPECT_TRUE(this->run_to_events(answer, 1));
    this->early->end(early_end::fin);
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_FALSE(answer->end->is_complete);
}

// Guards the fix against refusing sound responses without a length.
TEST_F(early_responses, a_response_without_a_length_to_a_whole_call_is_served)
{
    this->start("books", std::string(open_head) + "part");
    auto const answer = this->ask(0, {"sound", "", "", "/book/new"});
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->early->requests() > 0;
        }));
    this->wait_for_arrival();
    this->early->end(early_end::fin);
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_EQ(answer->status, HTTP_OK);
    EXPECT_EQ(answer->body, "part");
}

// Callers of another system got a response with status 000.
TEST_P(early_statuses, a_call_that_may_run_once_gets_an_error)
{
    this->start("books", with_status(GetParam(), "ok"));
    this->expect_failure(this->ask(0, {"call", "", "", "/book/new"}));
    EXPECT_EQ(this->early->requests(), 1U);
}

TEST_P(early_statuses, a_call_that_may_be_repeated_gets_an_error)
{
    this->start("books", with_status(GetParam(), "ok"));
    this->expect_failure(this->ask(0, {"call", "", "", "/status/new"}));
    EXPECT_GE(this->early->requests(), 1U);
}

TEST_P(early_statuses, a_stream_begins_at_another_engine)
{
    this->start("engines", with_status(GetParam(), "id: 1\ndata: early 1\n\n"));
    this->add_sound_engine();
    constexpr int calls_limit = 20;
    for (int call = 0; call < calls_limit && this->early->requests() == 0;
         ++call)
        this->expect_events(
            this->ask(0, {"stream-" + std::to_string(call), "", ""}), 1);
    EXPECT_GT(this->early->requests(), 0U);
}

// A part store with such a status counts as unreachable, as one that is silent.
TEST_P(early_statuses, a_part_store_is_not_read)
{
    constexpr char const* events = R"({"boot-epoch":1,"next":0,"events":[]})";
    this->early = std::make_unique<standins::early_service>(
        this->base.get(), address{host(early_number), 0},
        with_status(GetParam(), events));
    auto tables = nlohmann::json::parse(configuration());
    tables["services"].push_back(
        {{"name", "parts"}, {"kv-store-addr", to_text(this->early->bound())}});
    this->store.put("keyed.op", "config", tables.dump());
    this->start_gateways(1);
    this->add_engine("v1", near);
    this->wait_ready();
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->early->requests() > 0;
        }));
    this->wait_for_arrival();
    // With a sound status the gateway reads the store.
    auto const field = "part_store=" + to_text(this->early->bound());
    EXPECT_FALSE(this->has_logged(0, "engine_reachable", field));
    this->early->respond_with(with_status("200", events));
    this->wait_logged(0, "engine_reachable", field);
}

// An agent takes no report with such a status.
TEST_P(early_statuses, an_engine_is_not_reachable)
{
    this->add_early("engines", with_status(GetParam(), "{}"));
    auto const path = (this->folder / "side-early").string();
    std::ofstream(path + ".toml")
        << agent_settings_text("early", this->early->bound(),
                               this->internal_port, this->store.bound());
    bench::child_process const agent(
        std::vector<std::string>{JUJUBESTAND_BINARY_DIR "/jujubestand_node",
                                 "agent", "--settings", path + ".toml"},
        path);
    constexpr std::size_t reports = 3;
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->early->requests() > reports;
        }));
    auto const is_reachable = [&path]
    {
        std::ifstream file(path + ".out");
        std::string const log(std::istreambuf_iterator<char>(file), {});
        return log.find(" engine_reachable ") != std::string::npos;
    };
    EXPECT_FALSE(is_reachable());
    this->early->respond_with(with_status("200", "{}"));
    EXPECT_TRUE(this->run_until(is_reachable));
}

INSTANTIATE_TEST_SUITE_P(statuses, early_statuses,
                         testing::Values("000", "99", "600", "abc"));

} // namespace jujubestand::programs::test
