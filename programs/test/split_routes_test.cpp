#include <algorithm>
#include <programs/test/gateways_fixture.hpp>

// A route is split over two pools of different software, its weights change,
// and callers resume their streams at other gateways.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::uint64_t begun = 3;

constexpr auto whole = standins::stream_engine::stream_events;

/// \brief A configuration whose route for resumable streams is split.
/// \param old_weight of 100, for the pool `engines`; the rest is for `next`
std::string split_configuration(std::uint64_t version, unsigned old_weight)
{
    constexpr unsigned weights = 100;
    auto result = nlohmann::json::parse(configuration(version));
    auto& route = result["routes"][0];
    route.erase("service");
    route["traffic-split"] = nlohmann::json::array();
    for (auto const& [pool, weight] : {std::pair{"engines", old_weight},
                                       std::pair{"next", weights - old_weight}})
    {
        if (weight > 0)
            route["traffic-split"].push_back(
                {{"service", pool}, {"weight", weight}});
    }
    nlohmann::json const engine{
        {"slots", 64},
        {"kv-capacity-tokens", 90'000},
        {"models", nlohmann::json::array({{{"name", "m1"}}})}};
    result["services"] =
        nlohmann::json::array({{{"name", "engines"}, {"engine", engine}},
                               {{"name", "next"}, {"engine", engine}},
                               {{"name", "books"}}});
    return result.dump();
}

/// \brief A stream as its caller holds it.
struct held_stream
{
    std::string request_id;
    std::string version;
};

/// \brief What became of streams that callers resumed.
struct outcome
{
    std::size_t served = 0;
    std::size_t joined = 0;
};

class split_routes : public gateways_test
{
protected:
    static constexpr std::size_t gateway_count = 3;
    static constexpr std::size_t stream_count = 24;

    /// \brief Starts gateways and two engines, with agents, in each pool.
    void start(unsigned old_weight)
    {
        this->store.put("keyed.op", "config",
                        split_configuration(1, old_weight));
        this->start_gateways(gateway_count);
        for (std::string const pool : {"engines", "next"})
        {
            for (int count = 0; count < 2; ++count)
                this->start_agent(this->add_engine(
                    pool == "engines" ? "v1" : "v2", near, pool));
        }
        // Names the gateways; it is sent nothing.
        this->add_engine("none", far, "unused");
        this->wait_ready();
        for (std::size_t gateway = 0; gateway < gateway_count; ++gateway)
            this->wait_live(gateway);
    }

    void wait_live(std::size_t gateway)
    {
        for (std::size_t engine = 0; engine + 1 < this->engines.size();
             ++engine)
            this->wait_logged(gateway, "member_live", engine);
    }

    void configure(std::uint64_t version, unsigned old_weight)
    {
        this->store.put("keyed.op", "config",
                        split_configuration(version, old_weight));
        for (std::size_t gateway = 0; gateway < gateway_count; ++gateway)
            this->wait_logged(gateway, "tables_applied",
                              "version=" + std::to_string(version));
    }

    /// \brief Begins streams at a gateway; they break off after some events.
    void begin_streams(std::size_t gateway)
    {
        this->pause_all_after(begun);
        for (std::size_t number = 0; number < stream_count; ++number)
        {
            auto const name = "first-" + std::to_string(number);
            auto const answer = this->ask(gateway, {name, "", ""});
            ASSERT_TRUE(this->run_to_events(answer, begun));
            auto const version = answer->events().front().substr(0, 2);
            this->streams.push_back({name, version});
            this->caller.cancel(answer->call);
        }
        this->pause_no_more();
    }

    void restart(std::size_t gateway)
    {
        this->restart_gateway(gateway);
        ASSERT_TRUE(this->run_until(
            [&]
            {
                return this->is_ready(this->gateways[gateway]);
            }));
        this->wait_live(gateway);
    }

    /// \brief Resumes the streams at a gateway, as callers do that come back
    /// while they are refused.
    outcome resume_streams(std::size_t gateway)
    {
        outcome result;
        for (auto const& stream : this->streams)
        {
            auto const again = this->ask_until_accepted(
                gateway, {"again-" + stream.request_id, std::to_string(begun),
                          stream.request_id});
            this->add(result, stream, again);
        }
        return result;
    }

    /// \brief Resumes the streams, once each, without a name of the request
    /// that began them.
    outcome resume_unnamed(std::size_t gateway)
    {
        outcome result;
        for (auto const& stream : this->streams)
            this->add(result, stream,
                      this->ask(gateway, {"unnamed-" + stream.request_id,
                                          std::to_string(begun), ""}));
        return result;
    }

    [[nodiscard]] std::size_t streams_of(std::string const& version) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->streams.begin(), this->streams.end(),
                          [&](held_stream const& stream)
                          {
                              return stream.version == version;
                          }));
    }

    std::vector<held_stream> streams;

private:
    void add(outcome& into, held_stream const& stream, answer_ptr const& again)
    {
        EXPECT_TRUE(this->run_to_end(again));
        auto const events = again->events();
        into.served +=
            events == events_of(stream.version, begun + 1, whole) ? 1 : 0;
        into.joined +=
            std::any_of(events.begin(), events.end(),
                        [&](std::string const& event)
                        {
                            return !event.starts_with(stream.version + ' ');
                        })
                ? 1
                : 0;
    }
};

} // namespace

// Streams that were taken up after a change of weights were looked for in the
// pool of the draw alone, and refused (LOST).
TEST_F(split_routes, resumed_streams_go_on_after_a_change_of_weights)
{
    this->start(95);
    this->begin_streams(0);
    this->configure(2, 5);
    this->gateways[0].process->kill();
    for (std::size_t gateway = 1; gateway < gateway_count; ++gateway)
    {
        auto const result = this->resume_streams(gateway);
        EXPECT_EQ(result.served, stream_count) << gateway;
        EXPECT_EQ(result.joined, 0U) << gateway;
    }
}

// The same at a gateway that has seen only the later configuration.
TEST_F(split_routes, a_gateway_that_starts_after_the_change_resumes_streams)
{
    this->start(95);
    this->begin_streams(0);
    this->configure(2, 5);
    this->restart(1);
    auto const result = this->resume_streams(1);
    EXPECT_EQ(result.served, stream_count);
    EXPECT_EQ(result.joined, 0U);
}

// The version of the pool of the draw, the only one there, was taken for that
// of a stream that nobody knew: two versions were joined (ORDER).
TEST_F(split_routes, no_version_is_inferred_from_one_of_two_pools)
{
    this->start(50);
    this->begin_streams(0);
    ASSERT_GT(this->streams_of("v1"), 0U);
    ASSERT_GT(this->streams_of("v2"), 0U);
    EXPECT_EQ(this->resume_unnamed(1).joined, 0U);
}

// The same after the route was moved to the other pool as a whole, at gateways
// that know where it went before and at one that does not.
TEST_F(split_routes, no_version_is_inferred_after_a_route_was_moved)
{
    this->start(100);
    this->begin_streams(0);
    this->configure(2, 0);
    EXPECT_EQ(this->resume_unnamed(1).joined, 0U);
    this->restart(2);
    EXPECT_EQ(this->resume_unnamed(2).joined, 0U);
}

} // namespace jujubestand::programs::test
