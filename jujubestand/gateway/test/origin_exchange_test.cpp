#include <event2/event.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <jujubestand/gateway/agents.hpp>
#include <jujubestand/gateway/apply_records.hpp>
#include <jujubestand/gateway/resumed_streams.hpp>
#include <jujubestand/gateway/retries.hpp>
#include <jujubestand/gateway/state.hpp>
#include <jujubestand/gateway/upstream_responses.hpp>
#include <jujubestand/status/messages.hpp>
#include <string>
#include <unistd.h>

// The exchange of the versions that streams began at, at one gateway and
// without a network.
namespace jujubestand::gateway
{

namespace
{

class origin_exchange : public testing::Test
{
protected:
    origin_exchange()
        : log(this->sink)
    {
        this->state.log = &this->log;
        this->state.settings.ip = "10.0.0.1";
        this->state.base = this->base;
        this->state.caller_server =
            std::make_unique<http1::server>(this->base, http1::server_events{});
        this->state.upstream_client =
            std::make_unique<http1::client>(this->base);
        this->state.datagrams = std::make_unique<loop::datagrams>(
            this->base, [](address const&, std::string_view) {});
        reason why;
        // Nothing gets off this machine.
        EXPECT_TRUE(this->state.datagrams->bind({"127.0.0.1", 0}, why));
        // Keeps reviews from being scheduled on a timer.
        this->state.is_review_scheduled = true;
        this->know_records();
    }

    // All upstreams and the configuration are known, at any time.
    void know_records()
    {
        this->state.internal_client =
            std::make_unique<http1::client>(this->base);
        this->state.store = std::make_unique<platform::store>(
            *this->state.internal_client, address{"127.0.0.1", 1});
        this->state.upstream_topic = std::make_unique<follow::follower>(
            this->base, *this->state.store, follow::read_options{},
            follow::follower_events{});
        follow::listing all;
        all.is_complete = true;
        auto const later = mono_now() + std::chrono::hours{1};
        this->state.upstream_topic->apply(all, 0, later);
        this->state.operator_topic = std::make_unique<follow::follower>(
            this->base, *this->state.store, follow::read_options{},
            follow::follower_events{});
        this->state.operator_topic->apply(all, 0, later);
        this->state.tables.emplace();
    }

    ~origin_exchange() override
    {
        this->state.upstream_topic.reset();
        this->state.operator_topic.reset();
        this->state.store.reset();
        this->state.internal_client.reset();
        this->state.upstream_client.reset();
        this->state.caller_server.reset();
        this->state.datagrams.reset();
        event_base_free(this->base);
        ::close(this->sink);
    }

    // An upstream writes its entry.
    void write_entry(std::string const& id, std::string const& last_octet,
                     std::string const& version_field)
    {
        std::string const entry = R"({"service":"engines","address":"10.0.1.)" +
                                  last_octet + R"(:80","zone":"a",)" +
                                  version_field +
                                  R"("slots":8,"state":"ready","sequence":1})";
        apply_upstream_records(this->state,
                               {follow::record{id, entry, ++this->offset}});
    }

    // A stream at this gateway.
    active_call& add_stream(dispatch::call_key key, std::string const& request)
    {
        active_call call;
        call.caller_request.request_id = request;
        call.route.kind = traffic::call_kind::stream;
        call.route.is_resumable = true;
        call.route.attempts_limit = 3;
        call.deadline = mono_now() + std::chrono::milliseconds{5'000};
        call.dispatch_call.key = key;
        call.route.shares = {{"engines"}};
        call.dispatch_call.pool = "engines";
        call.dispatch_call.deadline = call.deadline;
        return this->state.active_calls.emplace(key, std::move(call))
            .first->second;
    }

    // An agent reports the gateways that it knows.
    void report_gateways(std::string const& agent,
                         std::vector<std::string> gateways)
    {
        status::status_response response;
        response.is_engine_reachable = true;
        response.gateways = std::move(gateways);
        on_agent_datagram(this->state, address{agent, 7'000},
                          status::to_datagram(response));
    }

    void answer_unknown(std::string const& gateway, origin_key stream)
    {
        status::origin_response response;
        response.stream = stream;
        on_origin_datagram(this->state, address{gateway, 7'000},
                           status::to_datagram(response));
    }

    // As for a call that resumes a stream: the registered upstreams count.
    resume_decision decide(bool was_queried)
    {
        record_registered_software(this->state.origins, this->state.dispatch,
                                   "engines", mono_now());
        auto const now = mono_now();
        resumed_stream const stream{
            {"engines"}, "first", now, was_queried, look_up_state::read};
        return decide_resume(this->state.origins, stream, now, now);
    }

    event_base* base = event_base_new();
    int sink = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    logs::log log;
    gateway_state state;
    std::uint64_t offset = 0;
};

} // namespace

// The first event that is forwarded fixes the version of a call and makes it
// known for the caller's later attempts (ORDER).
TEST_F(origin_exchange, the_first_event_fixes_the_version_and_announces_it)
{
    auto& call = this->add_stream(1, "first");
    call.software_version = "old";
    auto const events = events_of(this->state, 1, "first");
    http1::message_head head;
    head.status = 200;
    head.fields = {{"X-Response-Stamp", "s"}};
    events.on_head(head);
    events.on_body("id: 1\n");
    EXPECT_FALSE(call.dispatch_call.software_version);
    EXPECT_FALSE(find_origin(this->state.origins, origin_key_of("first")));
    events.on_body("data: a\n\n");
    EXPECT_EQ(call.dispatch_call.software_version, "old");
    EXPECT_EQ(find_origin(this->state.origins, origin_key_of("first")), "old");
}

// Another gateway announces the version that a stream began at (ORDER).
TEST_F(origin_exchange, a_notice_of_another_gateway_makes_the_version_known)
{
    status::origin_notice notice;
    notice.stream = 7;
    notice.software_version = "old";
    on_origin_datagram(this->state, address{"10.0.0.2", 7'000},
                       status::to_datagram(notice));
    EXPECT_EQ(find_origin(this->state.origins, 7), "old");
}

// A stream that its caller resumes waits for the version that began it, though
// another one has room (ORDER).
TEST_F(origin_exchange, a_resumed_stream_is_held_for_the_version_that_began_it)
{
    this->write_entry("e1", "1", R"("version":"old",)");
    this->write_entry("e2", "2", R"("version":"new",)");
    auto const engine = this->state.dispatch.keys_by_id.at("e1");
    this->state.dispatch.upstreams.at(engine).avoid_until =
        mono_now() + std::chrono::milliseconds{1'000};
    record_origin(this->state.origins, origin_key_of("first"), "old");
    auto& call = this->add_stream(1, "second");
    call.caller_request.resumed_request = "first";
    call.caller_request.last_event = "3";
    begin_resumed(this->state, 1);
    ASSERT_TRUE(this->state.dispatch.waiting.contains(1));
    EXPECT_EQ(this->state.dispatch.waiting.at(1).software_version, "old");
}

// A gateway that has just started knows no other one yet. It took the only
// version that it has seen for that of the stream, as if all had been queried
// (ORDER).
TEST_F(origin_exchange, a_version_is_not_inferred_before_any_gateway_is_known)
{
    this->write_entry("e1", "1", R"("version":"new",)");
    auto& engine = this->state.dispatch.upstreams.begin()->second;
    engine.avoid_until = mono_now() + std::chrono::milliseconds{1'000};
    auto& call = this->add_stream(1, "second");
    call.caller_request.resumed_request = "first";
    call.caller_request.last_event = "3";
    begin_resumed(this->state, 1);
    EXPECT_FALSE(this->state.dispatch.waiting.contains(1));
}

// The same call goes on once a list has come that names no other gateway, and
// is refused if none comes.
TEST_F(origin_exchange, a_stream_waits_for_the_first_list_of_gateways)
{
    this->write_entry("e1", "1", R"("version":"new",)");
    auto& engine = this->state.dispatch.upstreams.begin()->second;
    engine.avoid_until = mono_now() + std::chrono::milliseconds{10'000};
    auto& call = this->add_stream(1, "second");
    call.caller_request.resumed_request = "first";
    call.caller_request.last_event = "3";
    call.arrived_at = mono_now();
    begin_resumed(this->state, 1);
    ASSERT_TRUE(this->state.origin_queries.contains(1));
    EXPECT_EQ(this->state.origin_queries.at(1).wait, origin_wait::gateways);
    this->report_gateways("10.0.1.1", {"10.0.0.1"});
    this->state.origin_queries.at(1).sent_at = mono_time{};
    expire_origin_queries(this->state);
    EXPECT_EQ(call.dispatch_call.software_version, "new");
    EXPECT_TRUE(this->state.dispatch.waiting.contains(1));
    // The next attempt of the same stream continues there as well (ORDER).
    EXPECT_EQ(find_origin(this->state.origins, origin_key_of("first")), "new");
    auto& late = this->add_stream(2, "third");
    late.caller_request.resumed_request = "another";
    late.caller_request.last_event = "3";
    late.arrived_at = mono_now() - std::chrono::milliseconds{10'000};
    this->state.gateway_hosts.clear();
    this->state.gateway_seen_at.clear();
    begin_resumed(this->state, 2);
    EXPECT_FALSE(this->state.active_calls.contains(2));
}

// Each resumed stream began a look-up as soon as the last one had ended: a
// burst of them exceeded what the store answers to all gateways.
TEST_F(origin_exchange, look_ups_of_many_streams_are_few)
{
    this->write_entry("e1", "1", R"("version":"old",)");
    this->write_entry("e2", "2", R"("version":"new",)");
    auto const begin = [this](dispatch::call_key key)
    {
        auto& call = this->add_stream(key, "again-" + std::to_string(key));
        call.caller_request.resumed_request = "s" + std::to_string(key);
        call.caller_request.last_event = "3";
        call.arrived_at = mono_now() - std::chrono::milliseconds{600};
        begin_resumed(this->state, key);
    };
    begin(1);
    auto& reads = this->state.origin_reads;
    ASSERT_TRUE(reads.began_at);
    // The look-up ends; the next stream comes at once.
    reads.began_at.reset();
    begin(2);
    EXPECT_FALSE(reads.began_at);
    ASSERT_TRUE(this->state.origin_queries.contains(2));
    reads.due_at = mono_now();
    expire_origin_queries(this->state);
    EXPECT_TRUE(reads.began_at);
    EXPECT_TRUE(this->state.origin_queries.contains(2));
}

// The list of gateways came while the store was read: the version was inferred
// without a query to them (ORDER).
TEST_F(origin_exchange, gateways_that_become_known_in_a_look_up_are_queried)
{
    this->write_entry("e1", "1", R"("version":"new",)");
    auto& call = this->add_stream(1, "second");
    call.caller_request.resumed_request = "first";
    call.caller_request.last_event = "3";
    call.arrived_at = mono_now() - std::chrono::milliseconds{600};
    begin_resumed(this->state, 1);
    ASSERT_TRUE(this->state.origin_queries.contains(1));
    ASSERT_EQ(this->state.origin_queries.at(1).wait, origin_wait::look_up);
    this->report_gateways("10.0.1.1", {"10.0.0.1", "10.0.0.2"});
    this->state.origin_queries.at(1).sent_at = mono_time{};
    expire_origin_queries(this->state);
    ASSERT_TRUE(this->state.origin_queries.contains(1));
    EXPECT_TRUE(this->state.origin_queries.at(1).open.contains("10.0.0.2"));
    EXPECT_FALSE(call.dispatch_call.software_version);
}

// A version whose upstreams are registered but whose entries were not written
// for a minute (the store is down) counted as gone, and the other one was
// inferred (ORDER).
TEST_F(origin_exchange, a_registered_version_counts_however_old_its_entry_is)
{
    this->write_entry("e1", "1", R"("version":"old",)");
    this->state.origins.software_in_use["engines"]["old"] =
        mono_now() - software_memory - std::chrono::milliseconds{1'000};
    this->write_entry("e2", "2", R"("version":"new",)");
    ASSERT_EQ(this->state.dispatch.upstreams.size(), 2U);
    EXPECT_EQ(this->decide(true).step, resume_step::refuse);
}

// After a minute without a new entry, streams of a pool of one version were
// refused (LOST).
TEST_F(origin_exchange, a_single_version_is_inferred_however_old_its_entry_is)
{
    this->write_entry("e1", "1", R"("version":"old",)");
    this->state.origins.software_in_use["engines"]["old"] =
        mono_now() - software_memory - std::chrono::milliseconds{1'000};
    EXPECT_EQ(this->decide(true).software_version, "old");
}

// An entry of another writer has no version; resumed streams of its pool were
// refused (LOST).
TEST_F(origin_exchange, an_entry_without_a_version_is_not_a_second_version)
{
    this->write_entry("e1", "1", R"("version":"old",)");
    this->write_entry("e2", "2", "");
    EXPECT_EQ(this->decide(true).software_version, "old");
}

// Answers of one gateway counted as those of several, so that a query ended
// before the gateway that knows the version had answered (LOST).
TEST_F(origin_exchange, repeated_answers_of_one_gateway_count_once)
{
    this->state.origin_queries[1] = {
        7, mono_now(), {"10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}};
    for (std::size_t number = 0; number < origin_query_targets; ++number)
        this->answer_unknown("10.0.0.2", 7);
    EXPECT_TRUE(this->state.origin_queries.contains(1));
}

// An agent that has just started knows only the gateways that have queried it
// so far. Its list replaced the whole one: streams that began then were
// announced to nobody, and resumed ones were decided without a query (ORDER,
// LOST).
TEST_F(origin_exchange, the_list_of_a_fresh_agent_does_not_hide_the_gateways)
{
    this->report_gateways("10.0.1.1",
                          {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});
    this->report_gateways("10.0.1.2", {"10.0.0.1"});
    EXPECT_EQ(origin_holders(known_gateways(this->state, mono_now()),
                             this->state.settings.ip, 7, origin_replicas)
                  .size(),
              origin_replicas);
}

// A stream that no upstream is left for used up retry budget that other streams
// needed (LOST).
TEST_F(origin_exchange, a_stream_without_a_candidate_spends_no_retry_budget)
{
    this->write_entry("e1", "1", R"("version":"new",)");
    auto& call = this->add_stream(1, "first");
    call.dispatch_call.software_version = "old";
    call.is_response_started = true;
    call.upstream_attempts = 1;
    call.possible_runs = 1;
    auto& budget = this->state.retry_budgets["engines"];
    for (int number = 0; number < 100; ++number)
        record_call(this->state, "engines", mono_now());
    double const before = budget.tokens;
    (void)acquire_retry(this->state, call, dispatch::send_outcome::cut,
                        mono_now());
    EXPECT_EQ(budget.tokens, before);
}

} // namespace jujubestand::gateway
