#include <csignal>
#include <map>
#include <programs/test/gateways_fixture.hpp>
#include <standins/relay/tcp_relay.hpp>
#include <standins/service/holding_service.hpp>

// Callers leave while a gateway or its link to a service is in trouble. What
// they asked for must not be worked on half a second later.
namespace jujubestand::programs::test
{

namespace
{

/// How a caller leaves.
enum class leave_kind
{
    close,
    reset,
};

class left_calls : public gateways_test
{
protected:
    static constexpr milliseconds work_limit{500};

    /// \brief Starts a gateway before services on links that can be cut.
    void start(std::size_t service_count)
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        for (std::size_t number = 0; number < service_count; ++number)
            this->add_holding_service(number);
        this->wait_ready();
        auto const last = "upstream=book-" + std::to_string(service_count - 1);
        this->wait_logged(0, "member_live", last);
    }

    /// \brief Connects to the gateway and sends a call there.
    void send(std::string const& id)
    {
        int const made = ::socket(AF_INET, SOCK_STREAM, 0);
        auto const where = *http1::to_sockaddr(this->gateways.front().callers);
        ASSERT_EQ(::connect(made, reinterpret_cast<sockaddr const*>(&where),
                            sizeof where),
                  0);
        std::string const text =
            "POST /status/" + id + " HTTP/1.1\r\nHost: engines.example\r\n" +
            "X-Request-Id: " + id +
            "\r\nX-Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
        ASSERT_EQ(::send(made, text.data(), text.size(), 0),
                  static_cast<ssize_t>(text.size()));
        this->callers[id] = made;
    }

    void leave(std::string const& id, leave_kind kind)
    {
        if (kind == leave_kind::reset)
            http1::set_reset_on_close(this->callers.at(id));
        ::close(this->callers.at(id));
        this->callers.erase(id);
    }

    void run_for(milliseconds time)
    {
        this->run_until(
            []
            {
                return false;
            },
            time);
    }

    void wait_arrived(std::string const& id)
    {
        ASSERT_TRUE(this->run_until(
            [&]
            {
                return this->arrived.contains(id);
            }))
            << id;
    }

    /// \brief Checks that the service has learned in time that a caller left.
    void expect_left(std::string const& id)
    {
        EXPECT_TRUE(this->run_until(
            [&]
            {
                return this->left.contains(id);
            },
            work_limit))
            << id;
    }

    ~left_calls() override
    {
        for (auto const& [id, socket] : this->callers)
            ::close(socket);
    }

    void signal_gateway(int number)
    {
        this->gateways.front().process->signal(number);
    }

    std::map<std::string, int> callers;
    std::map<std::string, std::size_t> arrived;
    std::map<std::string, std::size_t> left;
    std::vector<std::unique_ptr<standins::holding_service>> services;
    std::vector<std::unique_ptr<standins::tcp_relay>> links;

private:
    static constexpr std::size_t first_service = 200;

    void add_holding_service(std::size_t number)
    {
        standins::holding_events events;
        events.arrived = [this](std::string const& id)
        {
            ++this->arrived[id];
        };
        events.left = [this](std::string const& id)
        {
            ++this->left[id];
        };
        address const where{host(first_service + number), 0};
        this->services.push_back(std::make_unique<standins::holding_service>(
            this->base.get(), where, events));
        this->links.push_back(std::make_unique<standins::tcp_relay>(
            this->base.get(), where, this->services.back()->bound(), where,
            standins::relay_switches{}));
        this->add_service("book-" + std::to_string(number),
                          this->links.back()->bound());
    }
};

class left_calls_of_both_kinds : public left_calls,
                                 public testing::WithParamInterface<leave_kind>
{
};

std::string name_of(testing::TestParamInfo<leave_kind> const& info)
{
    return info.param == leave_kind::close ? "close" : "reset";
}

} // namespace

// Services worked on for callers that had left (GONE).
TEST_P(left_calls_of_both_kinds, a_service_learns_of_it)
{
    this->start(1);
    this->send("first");
    this->wait_arrived("first");
    this->leave("first", this->GetParam());
    this->expect_left("first");
}

// A gateway that stood still learned late of callers that had left, and went on
// with what they had asked for (GONE).
TEST_P(left_calls_of_both_kinds,
       a_service_learns_of_it_after_the_gateway_paused)
{
    constexpr milliseconds pause{1'500};
    this->start(1);
    this->send("first");
    this->wait_arrived("first");
    this->signal_gateway(SIGSTOP);
    this->send("second");
    this->leave("first", this->GetParam());
    this->leave("second", this->GetParam());
    this->run_for(pause);
    this->signal_gateway(SIGCONT);
    this->expect_left("first");
    this->run_for(work_limit);
    EXPECT_FALSE(this->arrived.contains("second"));
}

// A gateway that was told to stop, and is not ready, still carries the news
// (GONE).
TEST_P(left_calls_of_both_kinds,
       a_service_learns_of_it_from_a_gateway_that_stops)
{
    this->start(1);
    this->send("first");
    this->wait_arrived("first");
    this->signal_gateway(SIGTERM);
    this->run_for(milliseconds{500});
    this->leave("first", this->GetParam());
    this->expect_left("first");
}

// The way from the gateway to a service was cut when the caller left; it lasted
// until the way was back (GONE).
TEST_P(left_calls_of_both_kinds, a_service_learns_of_it_once_its_link_is_back)
{
    this->start(1);
    this->send("first");
    this->wait_arrived("first");
    standins::relay_switches faults;
    faults.stall = true;
    this->links.front()->set(faults);
    this->leave("first", this->GetParam());
    this->run_for(milliseconds{1'000});
    EXPECT_FALSE(this->left.contains("first"));
    this->links.front()->set({});
    this->expect_left("first");
}

// Calls that waited for room were sent though their callers had left (GONE).
TEST_P(left_calls_of_both_kinds, a_call_that_waits_is_not_sent)
{
    constexpr std::size_t more_than_room = 60;
    this->start(1);
    for (std::size_t number = 0; number < more_than_room; ++number)
        this->send("call-" + std::to_string(number));
    this->run_for(milliseconds{500});
    ASSERT_GT(this->arrived.size(), 0U);
    ASSERT_LT(this->arrived.size(), more_than_room);
    auto const sent = this->arrived;
    for (std::size_t number = 0; number < more_than_room; ++number)
    {
        auto const id = "call-" + std::to_string(number);
        if (!sent.contains(id))
            this->leave(id, this->GetParam());
    }
    this->run_for(milliseconds{200});
    this->services.front()->answer_all();
    this->run_for(work_limit);
    EXPECT_EQ(this->arrived.size(), sent.size());
}

// A call was sent again after its service had ended, though its caller had left
// (GONE).
TEST_P(left_calls_of_both_kinds, a_call_is_not_sent_again)
{
    this->start(2);
    this->send("first");
    this->wait_arrived("first");
    this->signal_gateway(SIGSTOP);
    for (auto const& link : this->links)
    {
        standins::relay_switches faults;
        faults.cut = true;
        link->set(faults);
    }
    this->leave("first", this->GetParam());
    this->run_for(milliseconds{100});
    for (auto const& link : this->links)
        link->set({});
    this->signal_gateway(SIGCONT);
    this->run_for(work_limit);
    EXPECT_EQ(this->arrived["first"], 1U);
}

// The time of a call ran out at its gateway; the service worked on (GONE).
TEST_F(left_calls, a_service_learns_of_the_end_of_a_calls_time)
{
    constexpr milliseconds timeout{4'000};
    this->start(1);
    this->send("first");
    this->wait_arrived("first");
    this->run_for(timeout);
    this->expect_left("first");
    EXPECT_EQ(this->arrived["first"], 1U);
}

INSTANTIATE_TEST_SUITE_P(callers_leave, left_calls_of_both_kinds,
                         testing::Values(leave_kind::close, leave_kind::reset),
                         name_of);

} // namespace jujubestand::programs::test
