#include <programs/test/gateways_fixture.hpp>
#include <standins/service/recording_service.hpp>

// Services that refuse all calls as not run, for want of room, while no agent
// is left whose datagrams would reach the gateway.
namespace jujubestand::programs::test
{

namespace
{

class held_retries : public gateways_test
{
protected:
    static constexpr std::size_t service_count = 3;
    static constexpr std::size_t first_service_number = 200;
    static constexpr std::uint64_t seed = 20261207;

    /// \brief Starts a gateway and takes the only agent away once it has named
    /// the gateway.
    void start()
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        standins::service_faults full;
        full.refused = 1;
        standins::service_events events;
        events.arrived = [this](std::string const& id)
        {
            ++this->arrived[id];
        };
        events.run = [](std::string const&) {};
        for (std::size_t number = 0; number < service_count; ++number)
        {
            address const where{host(first_service_number + number), 0};
            this->services.push_back(
                std::make_unique<standins::recording_service>(
                    this->base.get(), where, seed + number, full, events));
            this->add_service("book-" + std::to_string(number),
                              this->services.back()->bound());
        }
        this->wait_ready();
        this->crash_engine(0);
        this->engines[0].agent.reset();
        this->wait_logged(0, "member_gone", 0);
    }

    std::map<std::string, unsigned> arrived;
    std::vector<std::unique_ptr<standins::recording_service>> services;
};

} // namespace

// Such a call was held for another attempt and never reviewed again: it got no
// answer, neither at the time limit of its route nor later (CONFIG, review/9).
TEST_F(held_retries, calls_that_all_services_refuse_are_answered_without_agents)
{
    this->start();
    constexpr milliseconds route_timeout{4'000};
    for (std::string const target : {"/book/new", "/status/new"})
    {
        stream_call asked{"call" + std::to_string(target.size()), "", ""};
        asked.target = target;
        auto const answer = this->ask(0, asked);
        EXPECT_TRUE(this->run_until(
            [&]
            {
                return answer->end.has_value();
            },
            route_timeout))
            << target;
        EXPECT_GE(answer->status, HTTP_INTERNAL) << target;
        EXPECT_GE(this->arrived[asked.request_id], service_count) << target;
    }
}

} // namespace jujubestand::programs::test
