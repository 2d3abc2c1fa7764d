#ifndef JUJUBESTAND_LIMITS_TEST_QUOTA_FLEET_HPP
#define JUJUBESTAND_LIMITS_TEST_QUOTA_FLEET_HPP

#include <functional>
#include <jujubestand/limits/quota_exchange.hpp>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

/// \brief Gateways that share the quotas of teams, over messages that are
/// delayed and lost, with agents that tell them of each other.
namespace jujubestand::limits::test
{

using std::chrono::milliseconds;

inline mono_time const start{std::chrono::seconds{100}};

/// \brief Gateways at which the calls of a team arrive.
enum class placement : std::uint8_t
{
    everywhere, ///< evenly at all
    one,        ///< at a single one
    moving,     ///< at a single one, another each 2 s
};

/// \brief A kind of calls of a team.
struct call_mix
{
    double cost = 1;
    /// Part of the team's calls.
    double part = 1;
};

/// \brief A team and its calls.
struct team_plan
{
    std::string name = "team";
    quota_terms quota;
    /// Cost of its calls per second.
    double demand = 0;
    std::vector<call_mix> calls;
    placement where = placement::everywhere;
};

/// \brief What is played.
struct fleet_plan
{
    std::size_t gateways = 27;
    std::vector<team_plan> teams;
    double loss = 0.01;
    milliseconds duration{30'000};
    unsigned seed = 1;
    /// Part of the accepted calls that end as not run, up to 1 s later.
    double not_run_part = 0;
    /// Agents with an even number never hear of gateways with a number that
    /// four divides.
    bool lists_differ = false;
};

/// \brief A call that was accepted and has run.
struct run_call
{
    mono_time at{};
    double cost = 0;
};

/// \brief What became of a team's calls.
struct team_result
{
    std::vector<run_call> offered;
    std::vector<run_call> run;
    std::size_t calls = 0;
    std::size_t waited = 0;
    std::size_t unavailable = 0;
};

/// \brief The simulated gateways.
class quota_fleet
{
public:
    explicit quota_fleet(fleet_plan chosen);

    /// \brief Does something at a time from the start on.
    void at(milliseconds time, std::function<void()> action);
    /// \brief Plays the whole plan.
    void run();

    void kill(std::size_t number);
    /// \brief Ends a gateway after a notice.
    void stop(std::size_t number);
    /// \brief Starts a gateway, or starts it again.
    void launch(std::size_t number);
    void freeze(std::size_t number, milliseconds span);
    /// \brief Cuts gateways and agents with even numbers off from the others.
    void set_divided(bool is_divided);
    /// \brief Changes a team's quota, at the gateways within 1 s.
    void change_quota(std::size_t team, quota_terms const& quota);

    /// \brief Number of the gateway that issues a team's tokens.
    [[nodiscard]] std::size_t issuer(std::size_t team) const;

    std::vector<team_result> teams;
    /// Bytes of quota messages sent and received, by gateway.
    std::vector<std::size_t> bytes;
    std::size_t messages = 0;

private:
    struct gateway
    {
        bool is_running = false;
        mono_time frozen_until{};
        quota_exchange exchange;
    };

    struct agent
    {
        /// When it last heard of each gateway.
        std::map<std::size_t, mono_time> heard_at;
        std::vector<std::string> list;
    };

    struct arriving_call
    {
        std::size_t team = 0;
        double cost = 0;
        mono_time offered_at{};
    };

    struct not_run_call
    {
        std::size_t team = 0;
        quota_refund charge;
    };

    struct event
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<quota_request, quota_answer, arriving_call, not_run_call>
            what;
    };

    struct open_call
    {
        std::size_t team = 0;
        double cost = 0;
        std::size_t gateway = 0;
    };

    double draw();
    [[nodiscard]] bool is_reachable(std::size_t from, std::size_t to) const;
    [[nodiscard]] std::map<std::string, quota_terms> quotas() const;
    void send(std::size_t from, std::size_t to, event sent,
              std::string const& datagram);
    void deliver();
    void receive(event const& received);
    void apply(std::size_t number, quota_effects const& effects);
    void decide(std::size_t number, quota_decision const& decision);
    void make_calls();
    void make_call(std::size_t team);
    std::size_t place(team_plan const& team);
    void tell_agent(agent& told, std::size_t number);
    void exchange_lists(std::size_t number);
    void review(std::size_t number);

    fleet_plan plan;
    std::mt19937_64 random;
    mono_time now = start;
    std::vector<gateway> gateways;
    /// By IP address.
    std::map<std::string, std::size_t> numbers;
    bool is_divided = false;
    std::vector<agent> agents;
    std::multimap<mono_time, event> events;
    std::multimap<mono_time, std::function<void()>> actions;
    std::map<std::uint64_t, open_call> open;
    std::uint64_t last_call = 0;
};

/// \brief Most that calls cost in any window that begins in a time.
[[nodiscard]] double most_in_window(std::vector<run_call> const& calls,
                                    microseconds window, mono_time from = start,
                                    mono_time until = mono_time::max());

/// \brief Cost that the rule allows in a window.
[[nodiscard]] double allowed_in_window(quota_terms const& quota);

/// \brief Part of what one bucket for all gateways would have accepted.
[[nodiscard]] double part_served(team_result const& result,
                                 quota_terms const& quota, mono_time from);

} // namespace jujubestand::limits::test

#endif
