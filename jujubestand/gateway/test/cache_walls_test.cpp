#include <gtest/gtest.h>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/apply_records.hpp>
#include <jujubestand/gateway/calls.hpp>
#include <jujubestand/gateway/prompts.hpp>
#include <jujubestand/gateway/sends.hpp>
#include <jujubestand/logs/log.hpp>
#include <platform/calls.hpp>
#include <rapidcheck/gtest.h>

// What a head says of its prompt decides on no wall between teams: each send to
// an engine has the cache scope of its team.
namespace jujubestand::gateway
{

namespace
{

std::string scope_field(std::vector<http::field> const& fields)
{
    return std::string(http::find_header(fields, "X-Cache-Salt").value_or(""));
}

/// A gateway with one engine, and its configuration.
class one_engine
{
public:
    one_engine()
    {
        traffic::upstream_record record;
        record.id = "e1";
        record.pool = "engines";
        record.where = {"127.0.0.1", 1};
        record.slots = 64;
        record.versions["m1"] = 3;
        dispatch::on_upstream_record(this->state.dispatch, record);
        this->state.tables.emplace();
        auto& pool = this->state.tables->pools["engines"];
        pool.engine.emplace();
        pool.engine->models = {"m1"};
        this->state.shared_cache_owner = "all-but-alpha";
    }

    /// \brief Fields of a team's send; empty if the call is not sent.
    std::vector<http::field> send(std::vector<http::field> const& fields,
                                  std::string const& team)
    {
        http1::server_request request;
        request.head.method = "POST";
        request.head.target = "/reply/2f";
        request.head.fields = fields;
        active_call call;
        call.caller_request = platform::read_call(std::move(request));
        call.route.has_prompts = this->has_prompts;
        call.team.name = team;
        call.team.is_isolated = team == "alpha";
        call.arrived_at = mono_now();
        call.deadline = call.arrived_at + std::chrono::milliseconds{5'000};
        call.dispatch_call =
            make_dispatch_call(this->state, call, ++this->last, "engines");
        auto const decision = dispatch::submit(
            this->state.dispatch, call.dispatch_call, call.arrived_at);
        if (decision.next_action != dispatch::action::send)
            return {};
        auto result = platform::upstream_fields(
            call.caller_request,
            send_terms_of(this->state, call, decision, call.arrived_at));
        dispatch::on_send_end(this->state.dispatch, this->last,
                              dispatch::send_outcome::cancelled, mono_now());
        return result;
    }

    gateway_state state;
    bool has_prompts = true;

private:
    dispatch::call_key last = 0;
};

rc::Gen<std::string> field_text()
{
    return rc::gen::oneOf(
        rc::gen::element<std::string>(
            "m1", "m1", "100,8", "100", "-1,8", "99999999999,8", "5c:800",
            "5c1e07a29f3b64d80a7be1c455d2f1e9:800,91bd3f06:20", "5c:800,,e4:1",
            "5c;800", ":", "", " 5c:800 , e4:1 "),
        rc::gen::string<std::string>());
}

rc::Gen<std::vector<http::field>> heads()
{
    auto const name = rc::gen::element<std::string>(
        "X-Model", "x-model", "X-Token-Usage", "X-Prompt-Prefix",
        "X-Cache-Salt", "X-Length-Hint", "Connection");
    return rc::gen::container<std::vector<http::field>>(rc::gen::apply(
        [](std::string const& key, std::string const& value)
        {
            return http::field{key, value};
        },
        name, field_text()));
}

} // namespace

// An isolated team's parts were used for another one, since a prompt that can't
// be read was sent without a salt (WALL).
RC_GTEST_PROP(cache_walls, each_send_to_an_engine_has_the_scope_of_its_team, ())
{
    auto const head = *heads();
    one_engine gateway;
    gateway.has_prompts = *rc::gen::arbitrary<bool>();
    auto const alone = gateway.send(head, "alpha");
    auto const shared = gateway.send(head, "beta");
    RC_ASSERT(alone.empty() == shared.empty());
    RC_CLASSIFY(alone.empty());
    if (alone.empty())
        return;
    RC_ASSERT(scope_field(alone).starts_with("team alpha."));
    RC_ASSERT(scope_field(shared).starts_with("all-but-alpha."));
}

TEST(cache_walls, a_prompt_that_cannot_be_read_runs_on_the_weights_of_its_model)
{
    one_engine gateway;
    auto const fields =
        gateway.send({{"X-Model", "m1"}, {"X-Prompt-Prefix", "?"}}, "alpha");
    EXPECT_EQ(scope_field(fields), "team alpha.3");
    EXPECT_EQ(http::find_header(fields, "X-Expect-Version"), "3");
}

// Neither the configuration nor the engine's record says that it is an engine.
TEST(cache_walls, a_call_with_a_prompt_has_a_scope_at_any_upstream)
{
    one_engine gateway;
    gateway.has_prompts = false;
    gateway.state.tables->pools.clear();
    gateway.state.dispatch.upstreams.begin()->second.versions.clear();
    auto const fields = gateway.send({{"X-Prompt-Prefix", "5c:80"}}, "alpha");
    EXPECT_TRUE(scope_field(fields).starts_with("team alpha."));
}

TEST(cache_walls, a_plain_call_has_no_scope)
{
    one_engine gateway;
    gateway.has_prompts = false;
    gateway.state.tables->pools.clear();
    gateway.state.dispatch.upstreams.begin()->second.versions.clear();
    EXPECT_EQ(scope_field(gateway.send({{"X-Request-Id", "r"}}, "alpha")), "");
}

// A caller that states no sizes must not fill an engine's memory.
TEST(cache_walls, a_prompt_that_cannot_be_read_counts_by_its_text)
{
    active_call call;
    call.route.has_prompts = true;
    call.caller_request.stated.names_model = true;
    call.caller_request.stated.model = "m1";
    call.caller_request.body.assign(4'000, 'a');
    auto const prompt = dispatch_prompt(call, nullptr);
    ASSERT_TRUE(prompt);
    EXPECT_EQ(prompt->input_tokens, 1'000U);
    EXPECT_GT(prompt->output_tokens_limit, 0U);
}

} // namespace jujubestand::gateway
