#include <programs/test/gateways_fixture.hpp>
#include <set>
#include <standins/service/holding_service.hpp>

// A planned stop in calm. Calls arrive in each tenth of the grace period, on
// connections from before the stop and on new ones, and their upstreams take
// longer than the stop.
namespace jujubestand::programs::test
{

namespace
{

class planned_stop : public gateways_test
{
protected:
    static constexpr milliseconds grace{8'000};
    static constexpr int steps = 10;

    void start()
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        standins::holding_events events;
        events.arrived = [this](std::string const& id)
        {
            this->arrived.insert(id);
        };
        events.left = [](std::string const&) {};
        this->service = std::make_unique<standins::holding_service>(
            this->base.get(), address{host(service_number), 0}, events);
        this->add_service("book-0", this->service->bound());
        this->wait_ready();
        this->wait_logged(0, "member_live", std::string("upstream=book-0"));
    }

    void send(http1::client& from, std::string const& id,
              std::string const& target)
    {
        http1::client_request request;
        request.server = this->gateways[0].callers;
        request.method = "POST";
        request.target = target;
        request.fields = fields_of({id, "", ""});
        this->answers[id] = start_call(from, std::move(request));
    }

    void wait_for(milliseconds time)
    {
        this->run_until(
            []
            {
                return false;
            },
            time);
    }

    static constexpr std::size_t service_number = 200;

    std::set<std::string> arrived;
    std::map<std::string, answer_ptr> answers;
    std::unique_ptr<standins::holding_service> service;
};

} // namespace

// Calls that came late in the grace period were passed on and cut at its end
// without an answer, among them some that may run once only (LOST).
TEST_F(planned_stop, each_call_that_was_passed_on_is_answered)
{
    this->start();
    http1::client fresh(this->base.get());
    this->gateways[0].process->begin_stop();
    for (int step = 0; step < steps; ++step)
    {
        auto const name = std::to_string(step);
        this->send(this->caller, "kept-once-" + name, "/book/new");
        this->send(this->caller, "kept-again-" + name, "/status/new");
        this->send(fresh, "fresh-once-" + name, "/book/new");
        this->send(fresh, "fresh-again-" + name, "/status/new");
        this->wait_for(grace / steps);
    }
    this->wait_for(milliseconds{500});
    EXPECT_FALSE(this->gateways[0].process->is_running());
    EXPECT_GT(this->arrived.size(), 4U);
    for (auto const& id : this->arrived)
    {
        auto const& answer = this->answers.at(id);
        ASSERT_TRUE(answer->end) << id;
        EXPECT_TRUE(answer->end->is_complete) << id;
        EXPECT_EQ(answer->status, 504) << id;
    }
    RecordProperty("passed_on", static_cast<int>(this->arrived.size()));
}

// A prompt that an engine had not begun to answer was cut as well.
TEST_F(planned_stop, a_prompt_without_output_is_answered_at_the_end)
{
    this->start();
    this->pause_all_after(0);
    this->gateways[0].process->begin_stop();
    this->wait_for(milliseconds{500});
    stream_call asked{"prompt", "", "", "/once/new"};
    asked.parts = "aaaa:30,c1:40,1001:10";
    auto const answer = this->ask(0, asked);
    ASSERT_TRUE(this->run_to_end(answer));
    EXPECT_TRUE(answer->end->is_complete);
    EXPECT_EQ(answer->status, 504);
    EXPECT_EQ(this->sent_to("v1"), 1U);
}

} // namespace jujubestand::programs::test
