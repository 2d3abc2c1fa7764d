#ifndef JUJUBESTAND_NODE_SETTINGS_HPP
#define JUJUBESTAND_NODE_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <optional>
#include <string>

namespace jujubestand::node
{

/// \brief Times and shares that the deployment promises; defaults hold where
/// it is silent.
struct bounds
{
    /// A removed key must not be honoured for longer.
    std::chrono::milliseconds key_removal{5'000};
    /// A new configuration must be in force after this.
    std::chrono::milliseconds configuration_lag{2'000};
    /// A leaving upstream must get no work after this.
    std::chrono::milliseconds leaving_lag{2'000};
    /// From SIGTERM until the process is killed.
    std::chrono::milliseconds stop_grace{8'000};
    /// No call may begin on older weights after this.
    std::chrono::milliseconds weights_lag{6'000};
    /// Two holders must not send orders to one engine within this time.
    std::chrono::milliseconds order_lease{3'000};
    /// Repeated sends per call of a pool, over `retry_window`.
    double retry_ratio = 0.2;
    std::chrono::milliseconds retry_window{10'000};
    /// Repeated sends that are always allowed in a window, over all
    /// instances.
    double retry_reserve = 50;
    /// The quota of a team must hold in each window of this length; 0: not
    /// told, and then no part of the tolerance depends on it.
    std::chrono::milliseconds quota_window{0};
    /// Part of a quota by which it may be exceeded.
    double quota_overage = 0;
    /// What a quota may be exceeded by beside that.
    double quota_slack = 0;
};

/// \brief What a process learns of itself and its surroundings at start.
struct settings
{
    std::string name;
    std::string data_center;
    std::string ip;
    /// Where callers connect; gateways only.
    std::optional<address> callers;
    /// Where the balancer asks whether to send callers.
    std::optional<address> readiness;
    /// First port for our processes' own messages; the same on all instances.
    std::uint16_t internal_port = 0;
    /// The upstream on this instance; agents only.
    std::optional<address> upstream;
    std::string upstream_pool;
    /// The platform's store.
    address store;
    /// Partitions of the store's topics without keys.
    std::size_t store_partitions = 1;
    /// How long the store keeps the records of topics without keys.
    std::chrono::milliseconds store_retention{300'000};
    /// The process is ended if it takes more.
    std::size_t memory_bytes = 128U << 20U;
    /// The process may open no more, files among them; 0: as many as the system
    /// allows it.
    std::size_t descriptors = 0;
    /// Longest time from the head of a caller's request to its last byte.
    std::chrono::milliseconds body_timeout{30'000};
    /// Width of the instance's link, in Mbit/s; 0: not told.
    double link_mbps = 0;
    /// Interval at which upstreams renew their records.
    std::chrono::milliseconds heartbeat{1'200};
    bounds limits;
};

} // namespace jujubestand::node

#endif
