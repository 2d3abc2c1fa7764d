#ifndef JUJUBESTAND_STANDINS_LIST_INSTANCE_LIST_HPP
#define JUJUBESTAND_STANDINS_LIST_INSTANCE_LIST_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief What can be made to go wrong with the instance list.
struct list_switches
{
    /// Age of what is shown.
    std::int64_t lag_ms = 2'000;
    std::int64_t slow_ms = 0;
    /// Answers 503.
    bool outage = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(list_switches, lag_ms, slow_ms,
                                                outage)

/// \brief The platform's list of live and leaving instances, which lags.
class instance_list
{
public:
    instance_list(event_base* base, address const& where,
                  list_switches const& initial);
    instance_list(instance_list const&) = delete;
    instance_list& operator=(instance_list const&) = delete;

    [[nodiscard]] address bound() const;

private:
    void handle_put(http_call const& call);
    void handle_delete(http_call const& call);
    void handle_read(http_call const& call);
    void publish();

    http_server server;
    list_switches switches;
    held_requests held;
    delays later;
    std::map<std::string, nlohmann::json> instances;
    std::uint64_t version = 0;
    std::string shown;
};

} // namespace jujubestand::standins

#endif
