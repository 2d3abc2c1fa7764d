#ifndef JUJUBESTAND_BENCH_PLACEMENT_LOAD_RUN_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_LOAD_RUN_HPP

#include <bench/placement/cluster.hpp>
#include <bench/placement/policy.hpp>
#include <bench/support/answer_reader.hpp>
#include <bench/support/percentile.hpp>
#include <bench/support/workload.hpp>
#include <functional>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http/client.hpp>
#include <jujubestand/loop/timer.hpp>
#include <map>
#include <vector>

namespace jujubestand::bench
{

/// \brief What became of one request.
struct answer_sample
{
    /// Since the run's start.
    double sent_s = 0;
    std::uint32_t first_token_us = 0;
    bool is_whole = false;
    int status = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    /// The most that any live engine held when the request was sent.
    std::uint32_t held_tokens = 0;
};

/// \brief Something done to the cluster in the course of a run.
struct action
{
    double at_s = 0;
    std::function<void()> carry_out;
};

/// \brief One run: an open stream of requests at a given rate.
struct run_plan
{
    policy chooser = policy::ours;
    /// Requests per second from a time on, in order of time.
    std::vector<std::pair<double, double>> rates;
    double warm_up_s = 5;
    double measured_s = 10;
    std::uint64_t seed = 1;
    std::vector<action> actions;
};

/// \brief All that a run saw.
struct run_result
{
    std::vector<answer_sample> answers;
    /// Time between two pieces of an answer.
    samples gaps_us;
};

/// \brief Sends requests to a cluster's entries and times their answers.
class load_run
{
public:
    load_run(event_base* base, fleet const& size, cluster& target,
             run_plan plan);

    /// \brief Carries the plan out, to the last answer or its limit.
    [[nodiscard]] run_result run();

    /// \brief The engine takes no new pins while it is down.
    void set_down(std::size_t engine, bool is_down);

    /// \brief Its cache is another one now.
    void engine_restarted(std::size_t engine);

    /// \brief Makes other texts the popular ones.
    void shift_popularity();

private:
    struct pending
    {
        mono_time sent;
        mono_time last_piece;
        bool is_measured = false;
        bool has_first = false;
        std::optional<std::size_t> engine;
        std::size_t missed_tokens = 0;
        answer_reader reader;
        answer_sample seen;
    };

    void arrive();
    void send(planned_call const& planned);
    void act();
    void schedule_next();
    [[nodiscard]] double elapsed_s() const;
    void on_head(http::exchange_id exchange, http::response_head const& head);
    void on_data(http::exchange_id exchange, std::string const& bytes);
    void on_ended(http::exchange_id exchange, http::exchange_end const& end);
    void take_first(pending& of, mono_time now);
    void release(pending const& of);

    event_base* base;
    fleet size;
    cluster* target;
    run_plan plan;
    prompt_book book;
    std::vector<planned_call> calls;
    std::size_t next_call = 0;
    std::uint32_t shift = 0;
    cache_mirror caches;
    policy_state chooser;
    std::vector<engine_load> loads;
    http::client client;
    loop::timer arrivals;
    loop::timer act_timer;
    mono_time began;
    std::size_t next_action = 0;
    std::size_t next_entry = 0;
    std::map<http::exchange_id, pending> open;
    run_result result;
};

} // namespace jujubestand::bench

#endif
