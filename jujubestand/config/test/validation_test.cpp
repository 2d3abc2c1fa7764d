#include <gtest/gtest.h>
#include <jujubestand/config/matching.hpp>
#include <jujubestand/config/test/fold_model.hpp>
#include <jujubestand/config/validation.hpp>
#include <limits>
#include <rapidcheck/gtest.h>

namespace jujubestand::config
{

using namespace test;

namespace
{

team_id const depot("depot");
team_id const lab("lab");
model_id const small("small");
model_id const large("large");

tables base_tables()
{
    tables content;
    content.pools[pool_id("p")] = set_pool("p").pool_row;
    content.routes[route_id("r")] =
        set_route("r", "p", {depot}, {small}).route_row;
    return content;
}

std::string refusal(std::vector<change> changes)
{
    reason why;
    edit made;
    made.changes = std::move(changes);
    if (apply(base_tables(), made, why))
        return "accepted";
    EXPECT_EQ(why.code, reason_code::edit_invalid);
    return why.place + ": " + why.text;
}

std::string route_refusal(void (*spoil)(route&))
{
    auto made = set_route("n", "p", {lab});
    spoil(made.route_row);
    return refusal({made});
}

std::string pool_refusal(void (*spoil)(pool&))
{
    auto made = set_pool("n");
    spoil(made.pool_row);
    return refusal({made});
}

// Every route tried against the query, the best by the stated order.
route const* naive_match(tables const& content, route_query const& query,
                         bool& tie)
{
    route const* best = nullptr;
    tie = false;
    auto const rank = [](route const& row)
    {
        return std::tuple(row.path_prefix.size(), !row.teams.empty(),
                          !row.models.empty());
    };
    auto const names = [](auto const& ids, std::string_view wanted)
    {
        bool found = ids.empty();
        for (auto const& id : ids)
            found = found || id.text == wanted;
        return found;
    };
    for (auto const& [id, row] : content.routes)
    {
        auto const& prefix = row.path_prefix;
        bool fits = query.is_completion == prefix.empty() &&
                    names(row.teams, query.team) &&
                    names(row.models, query.model);
        if (!query.is_completion && fits)
        {
            auto const rest =
                query.path.substr(std::min(prefix.size(), query.path.size()));
            fits = query.path.starts_with(prefix) &&
                   (rest.empty() || rest[0] == '/' || prefix.back() == '/');
        }
        if (fits && best != nullptr && rank(row) == rank(*best))
            tie = true;
        if (fits && (best == nullptr || rank(row) > rank(*best)))
        {
            best = &row;
            tie = false;
        }
    }
    return best;
}

template <class Id>
std::vector<Id> draw_names(std::uint32_t bits, char const* prefix)
{
    std::vector<Id> names;
    for (std::uint32_t at = 0; at < 3; ++at)
    {
        if ((bits >> at & 1U) != 0)
            names.push_back(Id(prefix + std::to_string(at)));
    }
    return names;
}

} // namespace

TEST(validation, accepts_what_breaks_no_rule)
{
    EXPECT_EQ(refusal({set_route("n", "p", {lab}, {small})}), "accepted");
    EXPECT_EQ(refusal({set_pool("q"), set_route("r", "q"), delete_pool("p")}),
              "accepted");
    EXPECT_EQ(refusal({delete_route("r"), delete_pool("p")}), "accepted");
}

TEST(validation, keys_of_calls_that_may_run_once_do_not_move)
{
    tables before = base_tables();
    before.routes.at(route_id("r")).is_idempotent = false;
    auto const told = [&before](change const& one)
    {
        reason why;
        edit made;
        made.changes = {set_pool("q"), one};
        return apply(before, made, why) ? "accepted" : why.text;
    };
    auto wider = set_pool("p");
    wider.pool_row.claim_streams = 2;
    EXPECT_EQ(told(wider),
              "claim_streams moves keys of calls that may run once");
    EXPECT_EQ(told(set_route("r", "q", {depot}, {small})),
              "the pool moves keys of calls that may run once");
    EXPECT_EQ(told(set_route("r", "p", {depot}, {small})), "accepted");
    before.routes.at(route_id("r")).is_idempotent = true;
    EXPECT_EQ(told(wider), "accepted");
    EXPECT_EQ(told(set_route("r", "q", {depot}, {small})), "accepted");
}

TEST(validation, names_the_row_and_the_rule)
{
    EXPECT_EQ(refusal({}), ": no changes");
    EXPECT_EQ(refusal({set_route("n", "x", {lab})}), "route n: unknown pool x");
    EXPECT_EQ(refusal({set_route("n", "p", {lab, depot}, {small})}),
              "route n: overlaps route r");
    EXPECT_EQ(refusal({delete_pool("p")}), "pool p: in use by route r");
    EXPECT_EQ(refusal({delete_pool("x")}), "pool x: no such pool");
    EXPECT_EQ(refusal({delete_route("x")}), "route x: no such route");
    EXPECT_EQ(refusal({set_route("N", "p", {lab})}),
              "route N: name must be [a-z0-9.-]+");
    EXPECT_EQ(refusal({set_route("n", "p", {lab, lab})}),
              "route n: a team or model is named twice");
    EXPECT_EQ(refusal({set_route("n", "p", {}, {}, "x")}),
              "route n: path_prefix must start with /");
    EXPECT_EQ(refusal({set_route("n", "p", {}, {small}, "/x")}),
              "route n: a plain service has no models");
}

TEST(validation, ranges_are_held)
{
    EXPECT_NE(route_refusal(
                  [](route& row)
                  {
                      row.deadline_ms = 0;
                  }),
              "accepted");
    EXPECT_NE(route_refusal(
                  [](route& row)
                  {
                      row.priority = 16;
                  }),
              "accepted");
    EXPECT_NE(route_refusal(
                  [](route& row)
                  {
                      row.body_limit_bytes = 0;
                  }),
              "accepted");
    EXPECT_NE(route_refusal(
                  [](route& row)
                  {
                      row.first_token_deadline_ms = row.deadline_ms + 1;
                  }),
              "accepted");
    EXPECT_NE(pool_refusal(
                  [](pool& row)
                  {
                      row.tail_weight =
                          std::numeric_limits<double>::quiet_NaN();
                  }),
              "accepted");
    EXPECT_NE(pool_refusal(
                  [](pool& row)
                  {
                      row.tail_weight = 1.1;
                  }),
              "accepted");
    EXPECT_NE(pool_refusal(
                  [](pool& row)
                  {
                      row.concurrent_weight_loads = 0;
                  }),
              "accepted");
    EXPECT_NE(pool_refusal(
                  [](pool& row)
                  {
                      row.claim_streams = 0;
                  }),
              "accepted");
    EXPECT_NE(pool_refusal(
                  [](pool& row)
                  {
                      row.roles = {{upstream_id("e"), "prefill"}};
                  }),
              "accepted");
}

TEST(validation, pools_of_one_upstream_want_the_same_weights)
{
    auto left = set_pool("a");
    auto right = set_pool("b");
    left.pool_row.upstreams = {upstream_id("e")};
    right.pool_row.upstreams = {upstream_id("e")};
    EXPECT_EQ(refusal({left, right}), "accepted");
    right.pool_row.weights_version = "2";
    EXPECT_NE(refusal({left, right}), "accepted");
}

// Over random accepted tables the index finds what trying every route finds,
// so no two routes that passed the checks compete for one call.
RC_GTEST_PROP(matching, agrees_with_trying_every_route, ())
{
    auto const numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        24, rc::gen::resize(rc::kNominalSize,
                            rc::gen::inRange<std::uint32_t>(0, 1'000'000)));
    std::vector<std::string> const prefixes{"", "/a", "/a/b", "/a/", "/ab"};
    std::vector<std::string> const paths{"/a",   "/a/b", "/a/bc", "/ab",
                                         "/a/x", "/",    "/a/b/c"};
    tables content;
    content.pools[pool_id("p")] = set_pool("p").pool_row;
    for (auto const number : numbers)
    {
        edit made;
        auto const& prefix = prefixes[number % prefixes.size()];
        made.changes = {set_route(
            "r" + std::to_string(number % 9), "p",
            draw_names<team_id>(number >> 4U, "t"),
            draw_names<model_id>(prefix.empty() ? number >> 8U : 0, "m"),
            prefix)};
        reason why;
        content = apply(content, made, why).value_or(content);
    }
    auto const index = make_route_index(content);
    for (auto const number : numbers)
    {
        std::string const team = "t" + std::to_string(number % 4);
        bool const is_completion = number % 2 == 0;
        std::string const model =
            is_completion ? "m" + std::to_string(number / 4 % 4) : "";
        route_query const query{team, model, paths[number / 16 % paths.size()],
                                is_completion};
        auto const* found = match(index, content, query);
        bool tie = false;
        auto const* wanted = naive_match(content, query, tie);
        RC_ASSERT(!tie);
        RC_ASSERT((found == nullptr) == (wanted == nullptr));
        if (found != nullptr)
            RC_ASSERT(found->id == wanted->id);
    }
}

} // namespace jujubestand::config
