#include <gtest/gtest.h>
#include <jujubestand/http1/test/sockets.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <jujubestand/platform/test/fake_log.hpp>

namespace jujubestand::platform
{

namespace
{

using test::fake_log;
using test::fake_server;

http_result fetch(fake_server& server, http_request request)
{
    http_client client(server.base());
    std::optional<http_result> result;
    client.start(request,
                 [&result](http_result const& answer)
                 {
                     result = answer;
                 });
    EXPECT_FALSE(result);
    EXPECT_TRUE(server.run_until(
        [&result]
        {
            return result.has_value();
        }));
    return result.value_or(http_result{});
}

address closed_port()
{
    return fake_server().where;
}

struct log_fixture
{
    explicit log_fixture(address service, fake_server& loop)
        : http(loop.base())
        , client(loop.base(), this->http, options_for(service))
    {
        this->client.received.connect(
            [this](tail_id, log_batch const& batch)
            {
                for (auto const& one : batch.records)
                    this->records.push_back(one);
                ++this->batches;
            });
        this->client.gap.connect(
            [this](tail_id, log_offset first)
            {
                this->gaps.push_back(first);
            });
        this->client.noted.connect(
            [this](event_note const& note)
            {
                this->notes.push_back(note.number);
            });
    }

    static log_client_options options_for(address service)
    {
        log_client_options options;
        options.service = std::move(service);
        options.backoff.limit = std::chrono::milliseconds(20);
        options.append_timeout = std::chrono::milliseconds(200);
        options.budget.burst = 4;
        return options;
    }

    append_result append(fake_server& loop, std::string const& bytes)
    {
        std::optional<append_result> result;
        reason why;
        EXPECT_TRUE(this->client.append(
            "s", append_kind::claims, bytes,
            [&result](append_result const& end)
            {
                result = end;
            },
            why));
        EXPECT_TRUE(loop.run_until(
            [&result]
            {
                return result.has_value();
            }));
        return result.value_or(append_result{});
    }

    http_client http;
    log_client client;
    std::vector<log_record> records;
    std::vector<log_offset> gaps;
    std::vector<event_number> notes;
    int batches = 0;
};

} // namespace

// evhttp reads the size of a chunk without a limit: it took all memory.
TEST(http_client, the_size_of_a_chunk_without_end_is_given_up)
{
    http1::flooding_peer const peer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;");
    fake_server loop;
    http_request request;
    request.server = peer.where;
    request.answer_limit_bytes = 64U << 10U;
    auto const result = fetch(loop, request);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.why.code, reason_code::answer_too_large);
}

TEST(http_client, returns_status_headers_and_body)
{
    fake_server server;
    server.handle = [](evhttp_request* request)
    {
        evhttp_add_header(evhttp_request_get_output_headers(request), "X-Kind",
                          "echo");
        fake_server::reply(request, 201, fake_server::body_of(request));
    };
    http_request request;
    request.server = server.where;
    request.method = http_method::post;
    request.target = "/x?y=1";
    request.body = std::string("a\0b", 3);
    auto const result = fetch(server, request);
    EXPECT_EQ(result.status, 201);
    EXPECT_EQ(result.body, request.body);
    EXPECT_EQ(find_header(result, "x-kind"), "echo");
    EXPECT_TRUE(result.may_have_sent);
}

TEST(http_client, a_refused_connection_sent_nothing)
{
    fake_server loop;
    http_request request;
    request.server = closed_port();
    request.target = "/";
    auto const result = fetch(loop, request);
    EXPECT_EQ(result.status, 0);
    EXPECT_FALSE(result.may_have_sent);
    EXPECT_EQ(result.why.code, reason_code::upstream_unreachable);
}

TEST(http_client, a_silent_server_may_have_been_sent_to)
{
    fake_server server;
    std::vector<evhttp_request*> held;
    server.handle = [&held](evhttp_request* request)
    {
        held.push_back(request);
    };
    http_request request;
    request.server = server.where;
    request.target = "/";
    request.timeout = std::chrono::milliseconds(50);
    auto const result = fetch(server, request);
    EXPECT_EQ(result.why.code, reason_code::upstream_timeout);
    EXPECT_TRUE(result.may_have_sent);
}

TEST(http_client, a_long_answer_is_cut_off)
{
    fake_server server;
    server.handle = [](evhttp_request* request)
    {
        fake_server::reply(request, 200, std::string(10'000, 'x'));
    };
    http_request request;
    request.server = server.where;
    request.target = "/";
    request.answer_limit_bytes = 1'000;
    auto const result = fetch(server, request);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.why.code, reason_code::answer_too_large);
}

TEST(http_client, a_cancelled_request_calls_nothing_back)
{
    fake_server server;
    int handled = 0;
    server.handle = [&handled](evhttp_request* request)
    {
        ++handled;
        fake_server::reply(request, 200, "");
    };
    http_client client(server.base());
    http_request request;
    request.server = server.where;
    request.target = "/";
    bool called = false;
    auto const first = client.start(request,
                                    [&called](http_result const&)
                                    {
                                        called = true;
                                    });
    client.cancel(first);
    bool second_done = false;
    client.start(request,
                 [&second_done](http_result const&)
                 {
                     second_done = true;
                 });
    EXPECT_TRUE(server.run_until(
        [&second_done]
        {
            return second_done;
        }));
    EXPECT_FALSE(called);
}

TEST(log_client, appends_and_reads_back)
{
    fake_log log;
    log_fixture fixture(log.server.where, log.server);
    auto const end = fixture.append(log.server, "one");
    EXPECT_EQ(end.outcome, append_outcome::done);
    EXPECT_EQ(end.offset, log_offset(1));
    fixture.client.tail("s", log_offset(0));
    log.append("s", "two");
    EXPECT_TRUE(log.server.run_until(
        [&fixture]
        {
            return fixture.records.size() == 2;
        }));
    EXPECT_EQ(fixture.records.at(1).bytes, "two");
    EXPECT_EQ(fixture.records.at(1).appended.time_since_epoch().count(), 1'000);
}

TEST(log_client, tells_refused_from_unknown)
{
    fake_log log;
    log_fixture fixture(log.server.where, log.server);
    log.lose_answers = true;
    EXPECT_EQ(fixture.append(log.server, "x").outcome, append_outcome::unknown);
    log.out = true;
    EXPECT_EQ(fixture.append(log.server, "x").outcome, append_outcome::unknown);
    log_fixture unreachable(closed_port(), log.server);
    EXPECT_EQ(unreachable.append(log.server, "x").outcome,
              append_outcome::refused);
}

TEST(log_client, a_truncated_log_is_a_gap_and_reading_goes_on)
{
    fake_log log;
    for (int count = 0; count < 5; ++count)
        log.append("s", std::to_string(count));
    log.truncate("s", 4);
    log_fixture fixture(log.server.where, log.server);
    fixture.client.tail("s", log_offset(2));
    EXPECT_TRUE(log.server.run_until(
        [&fixture]
        {
            return fixture.records.size() == 2;
        }));
    EXPECT_EQ(fixture.gaps, std::vector<log_offset>{log_offset(4)});
    EXPECT_EQ(fixture.records.front().offset, log_offset(4));
}

TEST(log_client, an_outage_is_noted_once_and_survived)
{
    fake_log log;
    log.append("s", "one");
    log.out = true;
    log_fixture fixture(log.server.where, log.server);
    fixture.client.tail("s", log_offset(1));
    EXPECT_TRUE(log.server.run_until(
        [&fixture]
        {
            return !fixture.client.is_reachable();
        }));
    log.out = false;
    EXPECT_TRUE(log.server.run_until(
        [&fixture]
        {
            return fixture.records.size() == 1;
        }));
    EXPECT_EQ(fixture.notes,
              (std::vector<event_number>{event_number::log_unreachable,
                                         event_number::log_reachable}));
}

TEST(log_client, a_stopped_tail_is_silent)
{
    fake_log log;
    log_fixture fixture(log.server.where, log.server);
    auto const tail = fixture.client.tail("s", log_offset(1));
    EXPECT_TRUE(log.server.run_until(
        [&fixture]
        {
            return fixture.batches > 0;
        }));
    fixture.client.stop(tail);
    log.append("s", "late");
    auto const other = fixture.client.tail("other", log_offset(1));
    int const before = fixture.batches;
    EXPECT_TRUE(log.server.run_until(
        [&fixture, before]
        {
            return fixture.batches > before + 2;
        }));
    fixture.client.stop(other);
    EXPECT_TRUE(fixture.records.empty());
}

TEST(log_client, a_spent_budget_refuses_before_sending)
{
    fake_log log;
    log_fixture fixture(log.server.where, log.server);
    reason why;
    int granted = 0;
    while (granted < 10 &&
           fixture.client.append(
               "s", append_kind::claims, "x", [](append_result const&) {}, why))
        ++granted;
    EXPECT_EQ(granted, 4);
    EXPECT_EQ(why.code, reason_code::log_budget_spent);
}

// One odd row among those of another writer took the whole list with it, so
// that entries and sidecars stopped following it (LOST).
TEST(instance_list, an_odd_row_takes_no_other_with_it)
{
    std::string const good =
        R"({"instance":"a1","role":"sidecar","data_centre":"almaty-a",)"
        R"("link":"127.0.0.1:1","http":"127.0.0.1:2","upstream":"e1",)"
        R"("state":"leaving"})";
    std::string const head = R"({"version":7,"instances":[)";
    reason why;
    auto const list = parse_instance_list(head + good + "]}", why);
    ASSERT_TRUE(list) << to_text(why);
    EXPECT_EQ(list->version, 7U);
    EXPECT_EQ(list->instances.at(0).state, listed_state::leaving);
    EXPECT_EQ(list->instances.at(0).link.port, 1);
    EXPECT_TRUE(list->unreadable.empty());
    auto const with = [](std::string const& link, std::string const& more)
    {
        return R"({"instance":"a2","role":"entry","data_centre":"a","link":")" +
               link + R"(","http":"127.0.0.1:2","state":"live","more":)" +
               more + "}";
    };
    std::string const usual = "127.0.0.1:1";
    ASSERT_EQ(parse_instance_list(head + with(usual, "1") + "]}", why)
                  .value()
                  .instances.size(),
              1U);
    constexpr std::size_t depth = 5'000;
    std::string const nested =
        std::string(depth, '[') + std::string(depth, ']');
    for (auto const& odd :
         {std::string(R"({"instance":"a2"})"), std::string("7"),
          with("127.0.0.1:70000", "1"), with("127.0.0.1:0", "1"),
          with(usual, "1e999"), with(usual, "99999999999999999999999"),
          with(usual, nested), nested})
    {
        std::string json = head;
        json.append(good).append(",").append(odd);
        json.append(",").append(good).append("]}");
        auto const read = parse_instance_list(json, why);
        ASSERT_TRUE(read) << odd.substr(0, 200);
        EXPECT_EQ(read->instances.size(), 2U) << odd.substr(0, 200);
        EXPECT_EQ(read->unreadable.size(), 1U) << odd.substr(0, 200);
    }
    EXPECT_FALSE(parse_instance_list("{", why));
}

// Such a row doesn't say that its instance is gone.
TEST(instance_list, an_instance_with_an_unreadable_row_is_kept)
{
    std::string const row =
        R"({"instance":"a1","role":"sidecar","data_centre":"almaty-a",)"
        R"("link":"127.0.0.1:1","http":"127.0.0.1:2","state":"live"})";
    std::string const odd = R"({"instance":"a1"},{"instance":"a2"})";
    std::string const head = R"({"version":7,"instances":[)";
    reason why;
    auto const before = parse_instance_list(head + row + "]}", why);
    auto after = parse_instance_list(head + odd + "]}", why);
    ASSERT_TRUE(before && after);
    keep_unreadable_rows(*after, *before);
    ASSERT_EQ(after->instances.size(), 1U);
    EXPECT_EQ(after->instances.at(0).instance, instance_id("a1"));
}

TEST(instance_list, a_long_list_is_read_less_often)
{
    list_client_options const options;
    EXPECT_EQ(list_period(options, 100).count(), 2'000);
    EXPECT_EQ(list_period(options, 180'000).count(), 90'000);
}

TEST(list_client, polls_and_survives_a_bad_answer)
{
    fake_server server;
    int answers = 0;
    server.handle = [&answers](evhttp_request* request)
    {
        ++answers;
        fake_server::reply(request, answers == 1 ? 503 : 200,
                           R"({"version":3,"instances":[]})");
    };
    http_client http(server.base());
    list_client_options options;
    options.service = server.where;
    options.period = std::chrono::milliseconds(10);
    options.backoff.limit = std::chrono::milliseconds(10);
    list_client client(server.base(), http, options);
    int failures = 0;
    int lists = 0;
    client.failed.connect(
        [&failures](reason const&)
        {
            ++failures;
        });
    client.received.connect(
        [&lists](instance_list const& list)
        {
            lists += list.version == 3 ? 1 : 0;
        });
    client.start();
    EXPECT_TRUE(server.run_until(
        [&lists]
        {
            return lists >= 2;
        }));
    EXPECT_EQ(failures, 1);
}

} // namespace jujubestand::platform
