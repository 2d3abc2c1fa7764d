#ifndef JUJUBESTAND_STANDINS_STORE_WEIGHT_STORE_HPP
#define JUJUBESTAND_STANDINS_STORE_WEIGHT_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <jujubestand/core/time.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief Limits and faults of the weight store.
struct store_switches
{
    /// What one load takes while no more than `full_speed_loads` run.
    std::int64_t load_ms = 1'000;
    std::size_t full_speed_loads = 2;
    bool outage = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(store_switches, load_ms,
                                                full_speed_loads, outage)

/// \brief The weight store: beyond a number of loads at once, all slow down.
class weight_store
{
public:
    weight_store(event_base* base, address const& where,
                 store_switches const& initial);
    weight_store(weight_store const&) = delete;
    weight_store& operator=(weight_store const&) = delete;

    [[nodiscard]] address bound() const;

private:
    /// \brief A load under way, with what is left of it at full speed.
    struct load
    {
        std::uint64_t held = 0;
        double left_ms = 0;
    };

    void handle_load(http_call const& call);
    void handle_stats(http_call const& call);
    void advance();
    void schedule();

    http_server server;
    store_switches switches;
    held_requests held;
    delays later;
    std::map<std::uint64_t, load> loads;
    std::uint64_t next_load = 1;
    std::uint64_t finished = 0;
    std::size_t most_at_once = 0;
    mono_time advanced;
    std::optional<std::uint64_t> timer;
};

} // namespace jujubestand::standins

#endif
