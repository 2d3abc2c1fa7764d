#ifndef JUJUBESTAND_BENCH_PLACEMENT_CLUSTER_HPP
#define JUJUBESTAND_BENCH_PLACEMENT_CLUSTER_HPP

#include <bench/placement/fleet.hpp>
#include <bench/support/child_process.hpp>
#include <jujubestand/core/address.hpp>
#include <string>
#include <vector>

struct event_base;

namespace jujubestand::bench
{

/// \brief Where programs are and files go, and the engines' faults.
struct cluster_options
{
    std::string binaries;
    std::string folder;
    std::uint32_t events_gap_per_1000 = 0;
};

/// \brief A deployment as real processes on loopback.
///
/// Each data centre has an entry and its own instance list, in which the
/// sidecars of other data centres stand behind delaying relays; callers
/// reach the entries through relays too.
class cluster
{
public:
    /// \throws std::runtime_error if a process does not start
    cluster(event_base* base, fleet const& size, cluster_options options);

    /// \brief Addresses that callers use, one per entry.
    [[nodiscard]] std::vector<address> const& entries() const noexcept;

    /// \brief Addresses of the engines, by number.
    [[nodiscard]] std::vector<address> const& engines() const noexcept;

    /// \brief Kills an engine; `restart_engine` brings it back empty.
    void crash_engine(std::size_t engine);
    void restart_engine(std::size_t engine);

    /// \brief Stops and continues an engine's process.
    void pause_engine(std::size_t engine);
    void resume_engine(std::size_t engine);

    /// \brief Kills all entries and starts them anew, at their addresses.
    void restart_entries();

    /// \brief Processor time that the entries and sidecars have used.
    [[nodiscard]] std::chrono::microseconds entry_processor_time() const;
    [[nodiscard]] std::chrono::microseconds sidecar_processor_time() const;

    /// \brief HTTP addresses of the entries themselves, past the relays.
    [[nodiscard]] std::vector<address> const& entry_pages() const noexcept;

private:
    [[nodiscard]] std::string path_of(std::string const& program) const;
    [[nodiscard]] std::string centre_of(std::size_t number) const;
    [[nodiscard]] std::string write_settings(std::string const& name,
                                             std::string const& text) const;
    [[nodiscard]] std::vector<std::string>
    engine_arguments(std::size_t engine, address const& listen) const;
    [[nodiscard]] std::string common_settings(std::string const& instance,
                                              std::string const& centre,
                                              address const& list,
                                              address const& http) const;
    address start_standin(std::vector<child_process>& into,
                          std::vector<std::string> arguments);
    child_process start(std::vector<std::string> arguments,
                        std::string const& name) const;
    address start_relay(address const& target, std::int64_t distance_us);
    void start_platform();
    void publish_tables();
    void set_faults(std::size_t engine);
    void start_sidecar(std::size_t engine);
    void list_sidecar(std::size_t engine, address const& link,
                      address const& http);
    child_process start_entry(std::size_t entry, address& http) const;
    void start_entries();
    void wait_until_ready(address const& http);

    event_base* base;
    fleet size;
    cluster_options options;
    address log;
    std::vector<address> lists;
    std::vector<address> engine_addresses;
    std::vector<address> entry_addresses;
    std::vector<address> entry_relays;
    std::vector<child_process> platform;
    std::vector<child_process> engine_processes;
    std::vector<child_process> sidecar_processes;
    std::vector<child_process> relay_processes;
    std::vector<child_process> entry_processes;
};

} // namespace jujubestand::bench

#endif
