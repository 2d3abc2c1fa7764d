#include <programs/test_clients/clients_fixture.hpp>
#include <standins/service/recording_service.hpp>

// Heads of very many short fields, requests that are read ahead, and responses
// that are not read. None of these was counted: a field of four bytes takes
// 64 bytes and more, and each connection read 64 KB ahead.
namespace jujubestand::programs::test
{

namespace
{

enum class head_end
{
    whole_request,
    body_missing,
    end_missing,
};

struct head_kind
{
    std::string name;
    head_end end = head_end::whole_request;

    friend std::ostream& operator<<(std::ostream& out, head_kind const& shown)
    {
        return out << shown.name;
    }
};

std::vector<head_kind> head_kinds()
{
    return {{"whole_request", head_end::whole_request},
            {"body_missing", head_end::body_missing},
            {"end_missing", head_end::end_missing}};
}

std::string bytes_of(head_kind const& kind, std::string const& path)
{
    switch (kind.end)
    {
    case head_end::whole_request:
        return head_of_short_fields("GET", path, "") + "\r\n";
    case head_end::body_missing:
        return head_of_short_fields("POST", path, "Content-Length: 9\r\n") +
               "\r\n";
    case head_end::end_missing:
        break;
    }
    return head_of_short_fields("GET", path, "");
}

class heads
    : public clients_test,
      public testing::WithParamInterface<std::tuple<head_kind, client_target>>
{
};

class unread : public clients_test,
               public testing::WithParamInterface<client_target>
{
};

} // namespace

TEST_P(heads, memory_is_kept_and_callers_are_served)
{
    auto const& [kind, target] = GetParam();
    bool const is_parsed = kind.end != head_end::end_missing;
    this->start(is_parsed ? instance_limits{60, 800}
                          : instance_limits{40, 8'200});
    std::size_t const client_count = is_parsed ? 300 : 2'000;
    this->add_clients(this->address_of(target),
                      script_of(bytes_of(kind, target.path)), client_count);
    this->run_load();
    this->expect_sound();
}

INSTANTIATE_TEST_SUITE_P(clients, heads,
                         testing::Combine(testing::ValuesIn(head_kinds()),
                                          testing::ValuesIn(client_targets())),
                         [](auto const& given)
                         {
                             return std::get<0>(given.param).name + "_to_" +
                                    std::get<1>(given.param).name;
                         });

TEST_P(unread, pipelined_requests_keep_memory)
{
    constexpr std::size_t client_count = 700;
    constexpr std::size_t sent_bytes = 300'000;
    auto const& target = GetParam();
    this->start({40, 2'000});
    client_script script;
    script.beginning = head_of("GET", target.path) + "\r\n";
    while (script.repeated.size() + script.beginning.size() < head_limit_bytes)
        script.repeated += script.beginning;
    script.total_bytes = sent_bytes;
    this->add_clients(this->address_of(target), script, client_count);
    this->run_load();
    this->expect_sound();
}

INSTANTIATE_TEST_SUITE_P(clients, unread, testing::ValuesIn(client_targets()),
                         [](auto const& given)
                         {
                             return given.param.name;
                         });

// Whole responses that are read a byte at a time.
TEST_F(clients_test, responses_that_are_read_slowly_keep_memory)
{
    constexpr std::size_t client_count = 60;
    constexpr std::size_t requests = 20;
    constexpr std::size_t answer_bytes = 1'000'000;
    constexpr milliseconds slow_time{5'000};
    this->start({60, 600}, "HTTP/1.1 200 OK\r\nX-Response-Stamp: service\r\n"
                           "X-Request-Id: call\r\nConnection: close\r\n"
                           "Content-Length: " +
                               std::to_string(answer_bytes) + "\r\n\r\n" +
                               std::string(answer_bytes, 'x'));
    client_script script;
    for (std::size_t number = 0; number < requests; ++number)
        script.beginning += head_of("GET", "/book/new") + "\r\n";
    script.total_bytes = script.beginning.size();
    script.read_bytes = 1;
    script.pause = milliseconds{100};
    this->add_clients(this->gateways[0].callers, script, client_count);
    this->run_load(slow_time);
    this->expect_sound();
}

// The limits must not refuse what the configuration allows: each of these
// clients is alone.
TEST_F(clients_test, a_request_at_each_limit_is_served)
{
    this->start_gateway_only({60, 300});
    standins::recording_service const sound(
        this->base.get(), address{host(201), 0}, 1, {},
        {[](std::string const&) {}, [](std::string const&) {}});
    this->add_service("sound", sound.bound());
    this->wait_ready();
    http1::client_request large;
    large.server = this->gateways[0].callers;
    large.method = "POST";
    large.target = "/book/new";
    large.fields = fields_of({"large", "", "", "/book/new"});
    large.body = std::string(body_limit_bytes, 'x');
    auto many = large;
    many.fields = fields_of({"many", "", "", "/book/new"});
    many.body.clear();
    // The line, Host, Content-Length and the numbers take less than this.
    constexpr std::size_t other_bytes = 200;
    constexpr std::string_view short_field = "a: \r\n";
    for (std::size_t at = 0;
         at < (head_limit_bytes - other_bytes) / short_field.size(); ++at)
        many.fields.push_back({"a", ""});
    for (auto const& request : {large, many})
    {
        auto const answer = start_call(this->caller, request);
        EXPECT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, HTTP_OK) << answer->body;
    }
    this->expect_sound();
}

} // namespace jujubestand::programs::test
