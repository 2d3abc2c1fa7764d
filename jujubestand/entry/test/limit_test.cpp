#include <algorithm>
#include <jujubestand/entry/test/path_fixture.hpp>

// An upstream that states how many requests a second it takes, behind its
// sidecar.
namespace jujubestand::entry::test
{

namespace
{

using std::chrono::milliseconds;

class limit_test : public path_test
{
protected:
    // Answers what the upstream was asked, and states its limit.
    void answer_all(std::string const& limit)
    {
        auto& pair = this->pairs.front();
        for (; this->answered < pair.seen.size(); ++this->answered)
        {
            this->arrivals.push_back(mono_now());
            std::vector<http::field> headers;
            if (!limit.empty())
                headers.push_back({"Server-Limit", limit});
            pair.upstream->reply(pair.seen[this->answered].caller, 200, headers,
                                 "done");
        }
    }

    void play(milliseconds duration, std::string const& limit)
    {
        constexpr milliseconds interval{20};
        auto const end = mono_now() + duration;
        while (mono_now() < end)
        {
            this->sent.push_back(this->post("/status/new", "{}"));
            auto const next = mono_now() + interval;
            this->run_until(
                [&]
                {
                    this->answer_all(limit);
                    return mono_now() >= next;
                });
        }
    }

    std::size_t arrivals_from(mono_time from) const
    {
        return static_cast<std::size_t>(std::count_if(this->arrivals.begin(),
                                                      this->arrivals.end(),
                                                      [from](mono_time at)
                                                      {
                                                          return at >= from;
                                                      }));
    }

    std::size_t answered = 0;
    std::vector<mono_time> arrivals;
    std::vector<http::exchange_id> sent;
};

} // namespace

// A sidecar passed every request on to an upstream that had named a limit
// (LIMIT).
TEST_F(limit_test, a_sidecar_keeps_the_limit_of_its_upstream)
{
    config::route status;
    status.id = route_id("status");
    status.pool = pool_id("engines");
    status.path_prefix = "/status/";
    status.deadline_ms = 1'500;
    this->routes.push_back(status);
    this->start_path(1);
    this->play(milliseconds{300}, "2");
    auto const named_at = mono_now();
    this->play(milliseconds{5'000}, "2");
    EXPECT_LE(this->arrivals_from(named_at), 12U);
    EXPECT_GE(this->arrivals_from(named_at), 4U);
    std::size_t refused = 0;
    for (auto const& id : this->sent)
    {
        auto const& seen = this->answer(id);
        if (seen.head.status != 503)
            continue;
        ++refused;
        EXPECT_NE(seen.header("Retry-After"), "");
    }
    EXPECT_GE(refused, 100U);
}

} // namespace jujubestand::entry::test
