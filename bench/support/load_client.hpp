#ifndef JUJUBESTAND_BENCH_SUPPORT_LOAD_CLIENT_HPP
#define JUJUBESTAND_BENCH_SUPPORT_LOAD_CLIENT_HPP

#include <array>
#include <bench/support/answer_reader.hpp>
#include <bench/support/percentile.hpp>
#include <bench/support/workload.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http/client.hpp>
#include <map>
#include <random>
#include <standins/support/delays.hpp>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief How a call ended for its caller.
enum class call_outcome : std::uint8_t
{
    whole,      ///< the right answer, to its end
    refused,    ///< an error status
    failed,     ///< no answer, or a connection that broke before one
    incomplete, ///< an answer that broke off, told as such or not
    wrong,      ///< a whole answer that is not this request's
    left,       ///< the caller left early, as planned
};

/// \brief Names of the outcomes.
inline constexpr std::array<enum_name<call_outcome>, 6> call_outcome_names{{
    {call_outcome::whole, "whole"},
    {call_outcome::refused, "refused"},
    {call_outcome::failed, "failed"},
    {call_outcome::incomplete, "incomplete"},
    {call_outcome::wrong, "wrong"},
    {call_outcome::left, "left"},
}};

/// \brief One call's life, times from its planned beginning.
struct call_result
{
    planned_call call;
    call_outcome outcome = call_outcome::failed;
    int status = 0;
    std::uint32_t attempts = 0;
    std::uint32_t first_token_us = 0;
    std::uint32_t total_us = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::string idempotency_key;
    /// Verdict told last, and the reason with it.
    std::string verdict;
    std::string reason;
    /// Each attempt was answered with `not_run`.
    bool is_all_not_run = true;
    /// An incomplete stream said so by an error event or a cut connection.
    bool is_told_incomplete = false;
};

/// \brief Whom to load, and how callers behave.
struct load_options
{
    workload shape;
    /// Taken in turn, as a balancer would.
    std::vector<address> entries;
    /// 1 sends each call once.
    std::uint32_t attempts = 3;
    std::chrono::milliseconds first_retry_delay{100};
    std::chrono::milliseconds silence_limit{60'000};
    /// Compares answers with the stand-in engine's.
    bool checks_text = true;
    /// Run on the load's loop at their times from its beginning.
    std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>>
        actions;
};

/// \brief Everything that a load brought.
struct load_result
{
    std::vector<call_result> calls;
    /// Of whole completions.
    samples first_token_us;
    samples gaps_us;
    double seconds = 0;

    [[nodiscard]] std::size_t count(call_outcome outcome) const;
    /// \brief Cached share of all prompt tokens of whole answers.
    [[nodiscard]] double hit_rate() const;
    [[nodiscard]] std::uint64_t tokens() const;
    /// \brief Streams that ended short without saying so, and wrong answers.
    [[nodiscard]] std::size_t untrue() const;
};

/// \brief Sends a planned load in an open loop and checks every answer.
class load_client
{
public:
    load_client(event_base* base, load_options options);
    load_client(load_client const&) = delete;
    load_client& operator=(load_client const&) = delete;

    void start();

    /// \brief Calls under way.
    [[nodiscard]] std::size_t open_calls() const noexcept;

    [[nodiscard]] load_result const& result() const noexcept;

    /// \brief Emitted once, when the last call has ended.
    sigc::signal<void()> finished;

private:
    struct open_call
    {
        std::size_t index = 0;
        answer_reader reader;
        mono_time last_token;
        int status = 0;
        std::string verdict;
        std::string reason;
        std::uint32_t retry_after_s = 0;
        std::uint32_t first_token_us = 0;
        samples gaps_us;
    };

    void send_due();
    void send(std::size_t index);
    [[nodiscard]] http::request request_of(call_result const& target) const;
    void on_head(http::exchange_id id, http::response_head const& head);
    void on_data(http::exchange_id id, std::string const& bytes);
    void on_ended(http::exchange_id id, http::exchange_end const& how);
    void take_tokens(open_call& open, std::size_t more);
    void read_slowly(http::exchange_id id, std::size_t bytes);
    void leave(http::exchange_id id, open_call const& open);
    [[nodiscard]] call_outcome judge(open_call const& open,
                                     bool is_complete) const;
    void settle(open_call& open, bool is_complete);
    [[nodiscard]] bool wants_retry(call_result const& target) const;
    [[nodiscard]] std::chrono::milliseconds
    retry_delay(call_result const& target, open_call const& open);
    void call_over();
    [[nodiscard]] std::uint32_t since_planned(call_result const& target) const;

    load_options options;
    prompt_book book;
    http::client client;
    standins::delays delays;
    std::mt19937_64 random;
    load_result totals;
    std::map<http::exchange_id, open_call> open;
    std::size_t next_call = 0;
    std::size_t next_entry = 0;
    std::size_t over_calls = 0;
    mono_time began;
};

/// \brief Runs a load on a loop of its own until its last call has ended.
[[nodiscard]] load_result run_load(load_options options);

/// \brief Prints a load's figures, each name behind `prefix`.
void print_figures(load_result const& result, std::string const& prefix);

} // namespace jujubestand::bench

#endif
