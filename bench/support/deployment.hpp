#ifndef JUJUBESTAND_BENCH_SUPPORT_DEPLOYMENT_HPP
#define JUJUBESTAND_BENCH_SUPPORT_DEPLOYMENT_HPP

#include <bench/support/child_process.hpp>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/address.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief What a deployment is made of.
struct deployment_plan
{
    std::size_t entries = 2;
    std::size_t engines = 3;
    std::size_t services = 1;
    std::size_t teams = 8;
    /// Instances are spread over them in turn.
    std::vector<std::string> data_centres{"almaty-a", "almaty-b", "shymkent-a"};
    std::vector<std::string> engine_arguments;
    std::vector<std::string> log_arguments;
    std::int64_t list_lag_ms = 200;
    /// Extra settings by section, for instance `{"queue", "slots = 8"}`.
    std::map<std::string, std::string> entry_settings{
        {"limits", "drain_notice_ms = 0"}};
    std::map<std::string, std::string> sidecar_settings{
        {"limits", "drain_notice_ms = 0"}};
    /// Published before the processes start; empty: `default_tables`.
    std::optional<config::tables> tables;
    /// Where settings and outputs go; empty: a new temporary folder, removed
    /// at the end.
    std::filesystem::path folder;
    std::chrono::milliseconds start_limit{30'000};
    std::chrono::milliseconds stop_limit{20'000};
};

/// \brief Name of one of several processes or upstreams of a kind.
[[nodiscard]] std::string numbered(std::string const& name, std::size_t index);

/// \brief One route for completions, and one, not idempotent, under
/// `/bookings` where there are services.
[[nodiscard]] config::tables default_tables(deployment_plan const& plan);

/// \brief One program of a deployment.
struct deployed_process
{
    std::string name;
    std::vector<std::string> arguments;
    std::optional<child_process> child;
    /// Where it is asked over HTTP.
    address http;
    /// Entries and sidecars only.
    address link;
    /// Entries and sidecars only: its row of the instance list.
    std::string role;
    std::string data_centre;
    std::string upstream;
};

/// \brief Starts the whole path on loopback, and stops it in reverse order.
class deployment
{
public:
    /// \brief Starts all and waits until each is ready.
    /// \throws std::runtime_error if one does not start; those that did are
    /// stopped
    explicit deployment(deployment_plan chosen);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    /// \brief Asks all to stop, in reverse order, and kills what stays.
    /// \returns names of those that did not exit with 0
    std::vector<std::string> stop();

    /// \brief Starts a process again at its old addresses.
    void restart(deployed_process& process);

    /// \brief Appends an edit of the tables to the log.
    void publish(config::tables const& wanted, log_offset base);

    /// \brief Shows a process as live or leaving, or takes it off the list.
    void list_as(deployed_process const& process, std::string const& state);
    void unlist(deployed_process const& process);

    [[nodiscard]] std::vector<address> entry_addresses() const;
    [[nodiscard]] std::filesystem::path const& folder() const noexcept;
    [[nodiscard]] deployment_plan const& plan() const noexcept;

    deployed_process log;
    deployed_process list;
    deployed_process store;
    std::vector<deployed_process> engines;
    std::vector<deployed_process> services;
    /// The engines' in their order, then the services'.
    std::vector<deployed_process> sidecars;
    std::vector<deployed_process> entries;

private:
    void stop_one(deployed_process& process,
                  std::vector<std::string>& unclean) const;
    void start_platform();
    void start_upstreams();
    void start_sidecars();
    void start_entries();
    void start_standin(deployed_process& process);
    void start_daemon(deployed_process& process);
    void wait_ready(deployed_process const& process);
    void add_sidecar(deployed_process const& upstream, std::string const& kind);
    void write_settings(deployed_process const& process,
                        std::string const& more) const;
    [[nodiscard]] std::string
    common_settings(deployed_process const& process) const;
    [[nodiscard]] std::string output_of(std::string const& name) const;

    deployment_plan planned;
    bool owns_folder = false;
};

} // namespace jujubestand::bench

#endif
