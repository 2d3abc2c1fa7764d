#ifndef REVIEW_SUPPORT_3_WORLD_HPP
#define REVIEW_SUPPORT_3_WORLD_HPP

#include "wire.hpp"

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <map>
#include <sys/types.h>

// A small deployment on loopback addresses: the platform's store, workers, and
// the project's programs as processes.
namespace review
{

/// Interval of the status reports of workers.
inline constexpr milliseconds heartbeat{1'200};

/// \brief Writes what happens to `record.txt`, with the time since the start.
class record
{
public:
    explicit record(std::filesystem::path const& file);

    void write(std::string const& line);
    [[nodiscard]] milliseconds now() const;

private:
    std::ofstream out;
    std::mutex mutex;
    steady::time_point begun = steady::now();
};

/// \brief The platform's store: topics of records, and the newest record of
/// each key. Entries of workers end after three status reports of silence.
class store
{
public:
    explicit store(std::string const& host);
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    void put(std::string const& topic, std::string const& key,
             std::string const& value);

    /// \brief Writes the entry of a worker, as one of its status reports.
    void beat(std::string const& worker, std::string const& entry);

    [[nodiscard]] address bound() const
    {
        return this->front.bound();
    }

private:
    struct newest_record
    {
        std::string value;
        std::uint64_t offset = 0;
    };

    struct topic
    {
        std::vector<std::string> records;
        std::map<std::string, newest_record> newest;
    };

    void handle(request const& asked, connection& peer);
    void append(request const& asked, connection& peer);
    void read(request const& asked, connection& peer);
    void list(request const& asked, connection& peer);
    void add(std::string const& name, std::string const& bytes);
    void end_silent_entries();

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic> topics;
    std::map<std::string, steady::time_point> beats;
    std::atomic<bool> is_ended{false};
    std::thread expiry;
    server front;
};

/// \brief An order that a worker was sent.
struct order
{
    milliseconds at{0};
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t version = 0;
    int status = 0;
};

/// \brief A request that a worker ran.
struct run
{
    milliseconds at{0};
    std::string worker;
    std::string software;
    std::string request_id;
};

/// \brief A cached part of a prompt that a run has used.
struct part_use
{
    std::string part;
    /// The tenants that made it and that used it.
    std::string maker;
    std::string user;
};

/// \brief What a worker is.
struct worker_traits
{
    std::string id;
    std::string service;
    address where;
    std::string software = "v1";
    bool is_engine = false;
    /// Whether orders with a lower fence than one before are refused.
    bool checks_fences = false;
    std::uint64_t events = 8;
    milliseconds event_interval{30};
    /// Text in the path of requests that make it crash.
    std::string crashing;
};

/// \brief A worker: a model engine, or a plain service.
class worker
{
public:
    worker(store& platform, record& log, worker_traits traits);
    ~worker();
    worker(worker const&) = delete;
    worker& operator=(worker const&) = delete;

    /// \brief Starts its process: registers it, then serves.
    void start();

    /// \brief Ends its process: connections break, status reports end.
    void crash();

    /// \brief The same, from within one of its requests.
    void crash_later();

    /// \brief What it is from its next start on.
    void change(std::function<void(worker_traits&)> const& change);

    [[nodiscard]] bool is_running() const
    {
        return this->is_up;
    }

    [[nodiscard]] std::uint64_t weights() const
    {
        return this->loaded;
    }

    [[nodiscard]] std::vector<order> orders() const;
    [[nodiscard]] std::vector<run> runs() const;

    /// \brief Cached parts that runs of other tenants than their makers used.
    [[nodiscard]] std::vector<part_use> shared_parts() const;

    /// \brief Times at which it ended with a request that it had run but not
    /// answered.
    [[nodiscard]] std::vector<milliseconds> unanswered() const;

    /// \brief Times at which it crashed by itself.
    [[nodiscard]] std::vector<milliseconds> crashes() const;

private:
    void handle(request const& asked, connection& peer);
    void report(connection& peer);
    void take_order(request const& asked, connection& peer);
    void run_stream(request const& asked, connection& peer);
    void run_plain(request const& asked, connection& peer);
    bool refuse_misdirected(request const& asked, connection& peer) const;
    void note_run(request const& asked);
    void use_cache(request const& asked);
    void beat();
    [[nodiscard]] std::string entry();
    [[nodiscard]] std::string models() const;

    store& platform;
    record& log;
    worker_traits traits;
    mutable std::mutex mutex;
    std::atomic<bool> is_up{false};
    std::atomic<bool> is_ended{false};
    std::atomic<std::uint64_t> loaded{1};
    std::atomic<bool> is_busy{false};
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    std::uint64_t beat_number = 0;
    std::uint64_t highest_fence = 0;
    std::vector<order> taken;
    std::vector<run> run_list;
    /// Tenants that made the cached parts, by text of the cache and part.
    std::map<std::pair<std::string, std::string>, std::string> cache;
    std::vector<part_use> uses;
    std::vector<milliseconds> crash_times;
    std::vector<milliseconds> unanswered_times;
    std::thread beats;
    std::thread crasher;
    server front;
};

/// \brief A process of the project.
class process
{
public:
    process(std::vector<std::string> command, std::string settings,
            std::string output);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void signal(int number) const;

    /// \brief SIGKILL.
    void kill();

    [[nodiscard]] bool is_running();

private:
    pid_t id = -1;
};

/// \brief Bounds of the deployment, as in the settings file.
struct bounds
{
    unsigned contact_ms = 3'000;
    unsigned drain_ms = 2'000;
    unsigned config_apply_ms = 2'000;
    unsigned budget_slack = 54;
    bool is_fencing_required = true;
    unsigned lease_ms = 3'000;
    unsigned thaw_slack_ms = 300;
    unsigned version_ms = 6'000;
};

/// \brief A machine with a gateway.
struct front_machine
{
    std::string name;
    std::string host;
    address callers;
    address readiness;
    std::unique_ptr<process> gateway;
};

/// \brief A machine with an agent and a model engine.
struct side_machine
{
    std::string name;
    std::string host;
    std::unique_ptr<worker> engine;
    std::unique_ptr<process> agent;
};

/// \brief The whole deployment.
class world
{
public:
    world(record& log, bounds limits);
    ~world();
    world(world const&) = delete;
    world& operator=(world const&) = delete;

    void add_front();
    void add_side(worker_traits traits);
    worker& add_service(worker_traits traits);

    void start_gateway(front_machine& machine) const;
    void start_agent(side_machine& machine) const;

    /// \brief Waits until all gateways are ready; throws if one is not in time.
    void wait_ready();

    store platform;
    std::vector<std::unique_ptr<front_machine>> fronts;
    std::vector<std::unique_ptr<side_machine>> sides;
    std::vector<std::unique_ptr<worker>> services;

private:
    [[nodiscard]] std::string common_settings(std::string const& name,
                                              std::string const& role,
                                              std::string const& host) const;
    [[nodiscard]] std::string bounds_text() const;

    record& log;
    bounds limits;
    std::vector<std::string> hosts;
    std::uint16_t internal_port = 0;
    std::filesystem::path folder;
};

/// \brief A loopback host of the deployment.
[[nodiscard]] std::string host(unsigned number);

void pause_for(milliseconds time);

/// \brief Waits until a condition holds; false if it doesn't in time.
bool wait_until(std::function<bool()> const& condition, milliseconds within);

} // namespace review

#endif
