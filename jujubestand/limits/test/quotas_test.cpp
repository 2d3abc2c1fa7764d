#include <gtest/gtest.h>
#include <jujubestand/limits/permit_issuer.hpp>
#include <jujubestand/limits/test/quota_plans.hpp>

// Requests for the tokens of a team and their answers, one by one.
namespace jujubestand::limits::test
{

namespace
{

constexpr double rate = 1'000;
constexpr char const* own = "10.0.0.1";
constexpr char const* other = "10.0.0.2";

mono_time at(int ms)
{
    return start + milliseconds{ms};
}

/// \brief Terms without any tolerance.
quota_terms strict_terms()
{
    auto result = terms_of(rate, rate);
    result.overage = 0;
    result.slack = 0;
    return result;
}

/// \brief Terms with a tolerance of 8,000, a quarter of which the rate earns in
/// 2 s.
quota_terms wide_terms()
{
    auto result = strict_terms();
    result.slack = 8'000;
    return result;
}

quota_request request_of(std::uint64_t number, std::uint64_t wanted)
{
    quota_request request;
    request.team = "team";
    request.counts_tokens = true;
    request.number = number;
    request.wanted = wanted;
    request.least = wanted;
    return request;
}

issue_terms issuing_since(mono_time since,
                          quota_terms const& quota = strict_terms())
{
    issue_terms result;
    result.quota = quota;
    result.since = since;
    return result;
}

/// \brief A gateway that is the only one, or the issuer of `team` for two.
quota_exchange issuing_exchange(std::vector<std::string> const& hosts,
                                quota_terms const& quota)
{
    auto result = begin_exchange(own, start);
    result.is_current = true;
    static_cast<void>(set_quotas(result, {{"team", quota}}, start));
    set_listed(result.gateways, hosts, own, start);
    return result;
}

quota_answer answer_of(quota_request const& request, std::uint64_t granted,
                       int retry_in_ms = 0)
{
    quota_answer answer;
    answer.team = request.team;
    answer.number = request.number;
    answer.is_decided = true;
    answer.granted = granted;
    answer.retry_in_us = microseconds{milliseconds{retry_in_ms}}.count();
    return answer;
}

} // namespace

// A restarted issuer had a full bucket each time.
TEST(quota_issuer, begins_with_what_the_rate_brings_after_the_takeover)
{
    quota_issuer issuer;
    auto const terms = issuing_since(start);
    EXPECT_EQ(issue(issuer, own, request_of(1, 100), terms, at(300), 0).granted,
              0U);
    EXPECT_EQ(issue(issuer, own, request_of(2, 100), terms, at(590), 0).granted,
              0U);
    EXPECT_EQ(issue(issuer, own, request_of(3, 100), terms, at(601), 0).granted,
              100U);
    quota_issuer later;
    EXPECT_EQ(
        issue(later, own, request_of(1, 600), terms, at(1'101), 0).granted,
        600U);
    quota_issuer latest;
    EXPECT_EQ(
        issue(latest, own, request_of(1, 1'001), terms, at(60'000), 0).granted,
        1'001U);
    EXPECT_EQ(
        issue(latest, own, request_of(2, 1), terms, at(60'000), 0).granted, 0U);
}

// A request that was sent again was granted again.
TEST(quota_issuer, answers_a_repeated_request_with_the_same_answer)
{
    quota_issuer issuer;
    auto const terms = issuing_since(start - milliseconds{10'000});
    auto const first = issue(issuer, own, request_of(1, 600), terms, start, 0);
    EXPECT_EQ(first.granted, 600U);
    EXPECT_EQ(issue(issuer, own, request_of(1, 600), terms, start, 0).granted,
              600U);
    EXPECT_EQ(issue(issuer, other, request_of(1, 400), terms, start, 0).granted,
              400U);
    EXPECT_FALSE(
        issue(issuer, own, request_of(0, 1), terms, start, 0).is_decided);
}

// Gateways with few calls held what others could have used.
TEST(quota_issuer, tokens_that_are_held_take_up_room_in_the_bucket)
{
    quota_issuer issuer;
    auto const terms = issuing_since(start - milliseconds{10'000});
    auto request = request_of(1, 0);
    request.advance = 400;
    request.least = 0;
    EXPECT_EQ(issue(issuer, own, request, terms, start, 0).granted, 400U);
    EXPECT_EQ(
        issue(issuer, other, request_of(1, 700), terms, at(900), 0).granted,
        0U);
    refill(issuer.teams.at("team"), terms, at(1'100));
    EXPECT_EQ(
        issue(issuer, other, request_of(2, 700), terms, at(1'300), 0).granted,
        700U);
}

TEST(quota_issuer, other_terms_add_no_tokens)
{
    quota_issuer issuer;
    auto const terms = issuing_since(start - milliseconds{10'000});
    static_cast<void>(issue(issuer, own, request_of(1, 900), terms, start, 0));
    auto& issued = issuer.teams.at("team");
    auto higher = strict_terms();
    higher.rate *= 10;
    higher.burst *= 10;
    change_terms(issued, higher);
    EXPECT_NEAR(issued.bucket.tokens, 100, 1);
    auto lower = strict_terms();
    lower.burst = 50;
    change_terms(issued, lower);
    EXPECT_NEAR(issued.bucket.tokens, 50, 1);
    lower.counts_tokens = false;
    change_terms(issued, lower);
    EXPECT_EQ(issued.bucket.tokens, 0);
}

TEST(quota_issuer, does_not_grant_calls_where_tokens_are_counted)
{
    quota_issuer issuer;
    auto request = request_of(1, 1);
    request.counts_tokens = false;
    EXPECT_FALSE(issue(issuer, own, request,
                       issuing_since(start - milliseconds{10'000}), start, 0)
                     .is_decided);
    EXPECT_TRUE(issuer.teams.empty());
}

TEST(quota_holder, holds_tokens_for_a_second_from_its_request)
{
    quota_holder holder;
    auto const terms = strict_terms();
    EXPECT_EQ(on_call(holder, terms, 0, 1, 10, at(0)).step, quota_step::wait);
    auto const request = due_request(holder, terms, at(0));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->wanted, 10U);
    auto const settled = on_answer(holder, answer_of(*request, 100), at(100));
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_EQ(settled[0].step, quota_step::accept);
    EXPECT_EQ(settled[0].charge, 10U);
    EXPECT_EQ(on_call(holder, terms, 0, 2, 10, at(999)).step,
              quota_step::accept);
    EXPECT_EQ(on_call(holder, terms, 0, 3, 10, at(1'000)).step,
              quota_step::wait);
}

// An answer that comes after a pause of the process granted old tokens.
TEST(quota_holder, ignores_a_late_grant)
{
    quota_holder holder;
    auto const terms = strict_terms();
    static_cast<void>(on_call(holder, terms, 0, 1, 10, at(0)));
    auto const request = due_request(holder, terms, at(0));
    ASSERT_TRUE(request);
    EXPECT_TRUE(on_answer(holder, answer_of(*request, 100), at(1'000)).empty());
    EXPECT_EQ(holder.balance, 0U);
}

TEST(quota_holder, refuses_until_the_issuer_may_be_asked_again)
{
    quota_holder holder;
    auto const terms = strict_terms();
    static_cast<void>(on_call(holder, terms, 0, 1, 10, at(0)));
    auto const request = due_request(holder, terms, at(0));
    ASSERT_TRUE(request);
    auto const settled = on_answer(holder, answer_of(*request, 0, 400), at(10));
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_EQ(settled[0].step, quota_step::refuse);
    EXPECT_EQ(settled[0].retry_in, milliseconds{400});
    auto const next = on_call(holder, terms, 0, 2, 10, at(110));
    EXPECT_EQ(next.step, quota_step::refuse);
    EXPECT_EQ(next.retry_in, milliseconds{300});
    EXPECT_FALSE(due_request(holder, terms, at(110)));
    EXPECT_EQ(on_call(holder, terms, 0, 3, 10, at(410)).step, quota_step::wait);
}

TEST(quota_holder, asks_twice_and_then_reports_the_issuer_as_unavailable)
{
    quota_holder holder;
    auto const terms = strict_terms();
    static_cast<void>(on_call(holder, terms, 0, 1, 10, at(0)));
    auto const request = due_request(holder, terms, at(0));
    ASSERT_TRUE(request);
    EXPECT_FALSE(due_request(holder, terms, at(149)));
    auto const again = due_request(holder, terms, at(150));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->number, request->number);
    EXPECT_TRUE(expire(holder, at(299)).empty());
    auto const settled = expire(holder, at(300));
    ASSERT_EQ(settled.size(), 1U);
    EXPECT_EQ(settled[0].step, quota_step::unavailable);
    EXPECT_GT(settled[0].retry_in, microseconds{0});
}

// The charges of old calls came back in windows that they were not part of.
TEST(quota_holder, returns_only_charges_of_recent_calls)
{
    quota_holder holder;
    auto const terms = wide_terms();
    refund(holder, {30, at(900)});
    refund(holder, {70, at(1'100)});
    auto const request = due_request(holder, terms, at(3'000));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->returned, 70U);
}

// A gateway that had never received calls of a team kept them waiting.
TEST(quota_holder, uses_a_credit_before_it_has_asked_and_reports_it)
{
    quota_holder holder;
    auto const terms = wide_terms();
    EXPECT_EQ(on_call(holder, terms, 100, 1, 60, at(0)).step,
              quota_step::accept);
    auto const request = due_request(holder, terms, at(0));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->credit_used, 60U);
    EXPECT_EQ(on_call(holder, terms, 100, 2, 60, at(10)).step,
              quota_step::wait);
    static_cast<void>(on_answer(holder, answer_of(*request, 0), at(20)));
    EXPECT_EQ(holder.credit_unreported, 0U);
    EXPECT_EQ(on_call(holder, terms, 100, 3, 60, at(7'000)).step,
              quota_step::wait);
}

TEST(quota_terms, a_call_over_the_burst_is_charged_more_or_never_fits)
{
    auto terms = wide_terms();
    EXPECT_EQ(charge_for(terms, 3'000), 3'000U);
    EXPECT_EQ(charge_for(terms, 3'500), 4'000U);
    EXPECT_FALSE(charge_for(terms, 9'000));
    EXPECT_EQ(charge_for(strict_terms(), 200.5), 201U);
}

// What was issued before a pause was issued once more after it.
TEST(quota_exchange, issues_nothing_from_before_a_pause)
{
    auto exchange = issuing_exchange({own}, strict_terms());
    for (int ms = 100; ms <= 5'000; ms += 100)
        static_cast<void>(review_quotas(exchange, at(ms), 0));
    EXPECT_EQ(on_quota_request(exchange, own, request_of(1, 500), at(5'050), 0)
                  .granted,
              500U);
    EXPECT_EQ(
        on_quota_request(exchange, own, request_of(2, 1), at(8'050), 0).granted,
        0U);
}

// A gateway that nobody reaches took itself for the issuer.
TEST(quota_exchange, decides_nothing_if_it_hears_nobody_or_is_not_the_issuer)
{
    std::vector<std::string> const hosts{own, other};
    bool const is_own = *issuer_of(hosts, std::string_view("team")) == own;
    auto exchange = issuing_exchange(hosts, strict_terms());
    exchange.received_at = at(4'900);
    for (int ms = 100; ms <= 5'000; ms += 100)
        static_cast<void>(review_quotas(exchange, at(ms), 0));
    EXPECT_EQ(on_quota_request(exchange, other, request_of(1, 1), at(5'050), 0)
                  .is_decided,
              is_own);
    exchange.received_at = at(3'000);
    EXPECT_FALSE(
        on_quota_request(exchange, other, request_of(2, 1), at(5'050), 0)
            .is_decided);
    exchange.received_at = at(5'050);
    exchange.is_current = false;
    EXPECT_FALSE(
        on_quota_request(exchange, other, request_of(3, 1), at(5'050), 0)
            .is_decided);
}

// A machine that was restarted begins with lower numbers; its requests were
// taken for old ones and its calls refused without end.
TEST(quota_exchange, accepts_lower_numbers_of_a_requester_that_was_away)
{
    auto exchange = issuing_exchange({own}, strict_terms());
    for (int ms = 100; ms <= 9'100; ms += 100)
    {
        exchange.received_at = at(ms);
        static_cast<void>(review_quotas(exchange, at(ms), 0));
        if (ms == 5'000)
        {
            EXPECT_TRUE(on_quota_request(exchange, other, request_of(1'000, 1),
                                         at(ms), 0)
                            .is_decided);
        }
    }
    EXPECT_TRUE(
        on_quota_request(exchange, other, request_of(1, 1), at(9'150), 0)
            .is_decided);
}

// The bucket of a team without a request began anew with each change of the
// list of gateways: after a restart of all of them calls within the quota were
// refused.
TEST(quota_exchange, a_bucket_fills_while_the_list_of_gateways_changes)
{
    std::vector<std::string> hosts{own};
    auto exchange = issuing_exchange(hosts, strict_terms());
    for (int ms = 100; ms <= 5'000; ms += 100)
    {
        auto more = hosts;
        more.push_back("10.0.9." + std::to_string(ms / 100));
        if (*issuer_of(more, std::string_view("team")) == own)
            hosts = more;
        set_listed(exchange.gateways, hosts, own, at(ms));
        exchange.received_at = at(ms);
        static_cast<void>(review_quotas(exchange, at(ms), 0));
    }
    ASSERT_GT(hosts.size(), 2U);
    EXPECT_EQ(on_quota_request(exchange, own, request_of(1, 500), at(5'050), 0)
                  .granted,
              500U);
}

// Waiting calls of a team whose quota went waited on.
TEST(quota_exchange, calls_go_on_when_their_quota_is_gone)
{
    auto exchange = begin_exchange(own, start);
    static_cast<void>(set_quotas(exchange, {{"team", strict_terms()}}, start));
    // No list of gateways is known yet.
    EXPECT_TRUE(
        on_quota_call(exchange, "team", 7, 10, start, 0).decisions.empty());
    auto const effects = set_quotas(exchange, {}, at(10));
    ASSERT_EQ(effects.decisions.size(), 1U);
    EXPECT_EQ(effects.decisions[0].call, 7U);
    EXPECT_EQ(effects.decisions[0].step, quota_step::accept);
    EXPECT_TRUE(exchange.holders.empty());
}

TEST(gateway_list, counts_gateways_that_are_gone_without_a_notice)
{
    std::vector<std::string> const all{"a", "b", "c", "d"};
    gateway_list gateways;
    set_listed(gateways, all, "a", at(0));
    on_ending(gateways, "d", at(0));
    set_listed(gateways, {"a", "b"}, "a", at(100));
    EXPECT_EQ(gateways.members.size(), 4U);
    set_listed(gateways, {"a", "b"}, "a", at(1'700));
    EXPECT_EQ(gateways.members.size(), 2U);
    EXPECT_EQ(gateways.changed_at, at(1'700));
    EXPECT_DOUBLE_EQ(rate_share(gateways), 2.0 / 3);
    set_listed(gateways, all, "a", at(2'000));
    EXPECT_DOUBLE_EQ(rate_share(gateways), 1);
}

} // namespace jujubestand::limits::test
