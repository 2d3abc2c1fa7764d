#include <gtest/gtest.h>
#include <jujubestand/limits/permit_holder.hpp>
#include <jujubestand/limits/permit_issuer.hpp>
#include <set>

// Requests for permits and their answers, one by one.
namespace jujubestand::limits
{

namespace
{

mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{100'000 + ms}};
}

permit_request request_of(std::uint64_t incarnation = 1, double sent_before = 0)
{
    permit_request request;
    request.limit.upstream = upstream_id{"e1"};
    request.limit.incarnation = incarnation_id{incarnation};
    request.sent_before = sent_before;
    return request;
}

constexpr double rate = 2;

// Permits granted to gateways that request every 10 ms until a time.
std::uint32_t granted_until(permit_issuer& issuer, int from_ms, int until_ms,
                            permit_request const& request)
{
    std::uint32_t granted = 0;
    for (int ms = from_ms; ms < until_ms; ms += 10)
        granted += issue(issuer, "g" + std::to_string(ms / 10 % 3), request,
                         rate, at(ms), 0)
                       .granted;
    return granted;
}

permit_holder needing_holder(int ms)
{
    auto holder = begin_holding({}, 0, 4, at(ms));
    holder.needed_at = at(ms);
    return holder;
}

permit_answer granting(permit_request const& request, std::uint32_t permits)
{
    permit_answer answer;
    answer.number = request.number;
    answer.granted = permits;
    answer.share = 0.125;
    return answer;
}

} // namespace

TEST(permit_issuer, grants_the_rate_to_all_gateways_together)
{
    permit_issuer issuer;
    auto const granted = granted_until(issuer, 0, 10'000, request_of());
    EXPECT_GE(granted, 18U);
    EXPECT_LE(granted, 21U);
}

TEST(permit_issuer, saves_up_no_more_than_a_moment)
{
    permit_issuer issuer;
    granted_until(issuer, 0, 1'000, request_of());
    EXPECT_LE(granted_until(issuer, 60'000, 60'100, request_of()), 1U);
}

// Each gateway had a share of its own, so that those without calls kept theirs.
TEST(permit_issuer, gives_a_gateway_that_is_alone_in_need_the_whole_rate)
{
    permit_issuer issuer;
    std::uint32_t granted = 0;
    for (int ms = 0; ms < 10'000; ms += 10)
        granted += issue(issuer, "g1", request_of(), rate, at(ms), 0).granted;
    EXPECT_GE(granted, 18U);
    EXPECT_NEAR(issue(issuer, "g1", request_of(), rate, at(10'000), 0).share, 1,
                0.01);
}

// Calls that had been sent just before the limit was known came on top of it.
TEST(permit_issuer, makes_up_for_calls_that_were_sent_before)
{
    permit_issuer issuer;
    auto const granted = granted_until(issuer, 0, 2'500, request_of(1, 100));
    EXPECT_EQ(granted, 0U);
    EXPECT_GE(granted_until(issuer, 2'500, 4'500, request_of(1, 100)), 3U);
    permit_issuer idle;
    EXPECT_GE(granted_until(idle, 0, 2'500, request_of(1, 2)), 3U);
}

TEST(permit_issuer, starts_anew_for_another_start_of_the_upstream)
{
    permit_issuer issuer;
    granted_until(issuer, 0, 2'000, request_of(1));
    EXPECT_EQ(issue(issuer, "g1", request_of(2), rate, at(2'000), 0).granted,
              0U);
    EXPECT_GE(granted_until(issuer, 2'000, 4'000, request_of(2)), 3U);
}

// Calls took each permit before the order of an agent, which asks less often.
TEST(permit_issuer, keeps_the_next_permit_for_an_order)
{
    permit_issuer issuer;
    granted_until(issuer, 0, 1'100, request_of());
    auto order = request_of();
    order.is_for_order = true;
    auto const denied = issue(issuer, "a1", order, rate, at(1'105), 0.9);
    EXPECT_EQ(denied.granted, 0U);
    int const due_ms = 1'106 + static_cast<int>(denied.retry_in_us / 1'000);
    EXPECT_EQ(granted_until(issuer, 1'110, due_ms + 50, request_of()), 0U);
    EXPECT_EQ(issue(issuer, "a1", order, rate, at(due_ms + 60), 0).granted, 1U);
    EXPECT_GE(granted_until(issuer, due_ms + 70, due_ms + 700, request_of()),
              1U);
    // An agent that has gone holds up nobody for long.
    (void)issue(issuer, "a1", order, rate, at(due_ms + 701), 0);
    EXPECT_GE(granted_until(issuer, due_ms + 701, due_ms + 2'700, request_of()),
              2U);
}

TEST(permit_issuer, spreads_the_requests_of_many_gateways)
{
    permit_issuer issuer;
    constexpr int gateways = 390;
    for (int number = 0; number < gateways; ++number)
        (void)issue(issuer, "g" + std::to_string(number), request_of(), rate,
                    at(1), 0);
    auto const answer = issue(issuer, "g1", request_of(), rate, at(2), 0.99);
    EXPECT_EQ(answer.granted, 0U);
    EXPECT_GE(microseconds{answer.retry_in_us}, std::chrono::seconds{7});
}

TEST(permit_issuer, is_the_same_gateway_in_whatever_order_they_are_listed)
{
    upstream_id const upstream{"e1"};
    EXPECT_FALSE(issuer_of({}, upstream));
    EXPECT_EQ(issuer_of({"a", "b", "c", "d"}, upstream),
              issuer_of({"d", "b", "a", "c"}, upstream));
    std::set<std::string> issuers;
    for (int number = 0; number < 60; ++number)
        issuers.insert(*issuer_of({"a", "b", "c", "d"},
                                  upstream_id{std::to_string(number)}));
    EXPECT_EQ(issuers.size(), 4U);
}

TEST(permit_holder, requests_only_while_calls_could_use_a_permit)
{
    auto holder = begin_holding({}, 0, 4, at(0));
    EXPECT_FALSE(is_request_due(holder, at(0)));
    holder.needed_at = at(0);
    EXPECT_TRUE(is_request_due(holder, at(100)));
    EXPECT_FALSE(is_request_due(holder, at(2'000)));
    holder.needed_at = at(2'000);
    auto const request = begin_request(holder, {}, 1, at(2'000));
    EXPECT_FALSE(is_request_due(holder, at(2'010)));
    EXPECT_TRUE(on_answer(holder, granting(request, 1), at(2'010)));
    EXPECT_TRUE(has_permit(holder, at(2'010)));
    EXPECT_FALSE(is_request_due(holder, at(2'020)));
    use_permit(holder);
    EXPECT_FALSE(has_permit(holder, at(2'020)));
    EXPECT_TRUE(is_request_due(holder, at(2'020)));
}

// A gateway that stood still used what had been granted to it long before.
TEST(permit_holder, permits_expire_counted_from_their_request)
{
    auto holder = needing_holder(0);
    auto const request = begin_request(holder, {}, 2, at(0));
    EXPECT_TRUE(on_answer(holder, granting(request, 2), at(10)));
    EXPECT_TRUE(has_permit(holder, at(900)));
    EXPECT_FALSE(has_permit(holder, at(1'000)));
    auto const next = begin_request(holder, {}, 1, at(1'000));
    EXPECT_FALSE(on_answer(holder, granting(next, 1), at(5'000)));
    EXPECT_FALSE(has_permit(holder, at(5'000)));
}

TEST(permit_holder, an_answer_counts_once_and_only_to_the_last_request)
{
    auto holder = needing_holder(0);
    auto const first = begin_request(holder, {}, 1, at(0));
    expire_request(holder, at(500));
    auto const second = begin_request(holder, {}, 1, at(700));
    EXPECT_FALSE(on_answer(holder, granting(first, 1), at(710)));
    EXPECT_TRUE(on_answer(holder, granting(second, 1), at(720)));
    use_permit(holder);
    EXPECT_FALSE(on_answer(holder, granting(second, 1), at(730)));
    EXPECT_FALSE(has_permit(holder, at(730)));
}

TEST(permit_holder, expects_nothing_of_an_issuer_that_does_not_answer)
{
    auto holder = needing_holder(0);
    EXPECT_NEAR(expected_rate(holder, 8), 2, 0.01);
    for (int ms = 0; ms < 3'000; ms += 10)
    {
        holder.needed_at = at(ms);
        expire_request(holder, at(ms));
        if (is_request_due(holder, at(ms)))
            (void)begin_request(holder, {}, 1, at(ms));
    }
    EXPECT_EQ(expected_rate(holder, 8), 0);
    EXPECT_FALSE(has_permit(holder, at(3'000)));
    holder.needed_at = at(3'400);
    expire_request(holder, at(3'400));
    EXPECT_TRUE(is_request_due(holder, at(3'700)));
    auto const request = begin_request(holder, {}, 1, at(3'700));
    EXPECT_TRUE(on_answer(holder, granting(request, 1), at(3'710)));
    EXPECT_NEAR(expected_rate(holder, 8), 1, 0.01);
}

// Calls queued up by the whole limit at a gateway that asked first, and were
// refused late once the others asked as well.
TEST(permit_holder, its_share_falls_at_once_and_rises_slowly)
{
    auto holder = needing_holder(0);
    EXPECT_NEAR(expected_rate(holder, 8), 2, 0.01);
    auto answer = granting(begin_request(holder, {}, 1, at(0)), 1);
    answer.share = 1;
    on_answer(holder, answer, at(10));
    EXPECT_LE(expected_rate(holder, 8), 4);
    answer = granting(begin_request(holder, {}, 1, at(20)), 1);
    answer.share = 0.125;
    on_answer(holder, answer, at(30));
    EXPECT_NEAR(expected_rate(holder, 8), 1, 0.01);
}

// A limit that was named again let permits from before be used.
TEST(permit_holder, starts_without_permits_and_awaits_no_older_answer)
{
    auto holder = needing_holder(0);
    auto const request = begin_request(holder, {}, 3, at(0));
    auto next = begin_holding(holder, 7, 4, at(10));
    EXPECT_FALSE(on_answer(next, granting(request, 3), at(20)));
    EXPECT_FALSE(has_permit(next, at(20)));
    EXPECT_NEAR(begin_request(next, {}, 1, at(30)).sent_before, 7, 0.01);
    next.requested_at.reset();
    EXPECT_EQ(begin_request(next, {}, 1, at(9'000)).sent_before, 0);
}

} // namespace jujubestand::limits
