#ifndef JUJUBESTAND_PLATFORM_LIST_CLIENT_HPP
#define JUJUBESTAND_PLATFORM_LIST_CLIENT_HPP

#include <array>
#include <chrono>
#include <cstdint>
#include <jujubestand/core/enum_table.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/platform/backoff.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace jujubestand::platform
{

/// \brief What the platform says of an instance.
enum class listed_state : std::uint8_t
{
    live,
    leaving,
};

/// \brief What a process on an instance does.
enum class listed_role : std::uint8_t
{
    entry,
    sidecar,
};

/// \brief Names of the states, as the list writes them.
inline constexpr std::array<enum_name<listed_state>, 2> listed_state_names{{
    {listed_state::live, "live"},
    {listed_state::leaving, "leaving"},
}};

/// \brief Names of the roles, as the list writes them.
inline constexpr std::array<enum_name<listed_role>, 2> listed_role_names{{
    {listed_role::entry, "entry"},
    {listed_role::sidecar, "sidecar"},
}};

/// \brief One row of the instance list.
struct listed_instance
{
    instance_id instance;
    listed_role role = listed_role::sidecar;
    data_centre_id data_centre;
    address link;
    address http;
    /// Empty for an entry.
    upstream_id upstream;
    listed_state state = listed_state::live;
};

/// \brief A row of the instance list that cannot be read.
struct unreadable_row
{
    /// Empty if not even this can be read.
    instance_id instance;
    std::string why;
};

/// \brief The instance list, some seconds old.
struct instance_list
{
    std::uint64_t version = 0;
    std::vector<listed_instance> instances;
    std::vector<unreadable_row> unreadable{};
};

/// \brief Reads the list's JSON. Rows that cannot be read are named apart, so
/// that they don't take the others with them.
[[nodiscard]] std::optional<instance_list>
parse_instance_list(std::string const& json, reason& why);

/// \brief Adds the rows of a previous list whose instances the list names in
/// rows that cannot be read: such a row does not say that they are gone.
void keep_unreadable_rows(instance_list& list, instance_list const& previous);

/// \brief Where the list is, and how often to read it.
struct list_client_options
{
    address service;
    std::chrono::milliseconds period{2'000};
    /// A long list is read less often, to stay within this.
    std::uint32_t bytes_per_second = 2'000;
    backoff_options backoff;
    std::uint64_t seed = 1;
};

/// \brief Wait between two reads of a list of `bytes`.
[[nodiscard]] std::chrono::milliseconds
list_period(list_client_options const& options, std::size_t bytes) noexcept;

/// \brief Polls the platform's instance list.
class list_client
{
public:
    /// \param base the process's loop; must outlive the client
    /// \param http carries the requests; must outlive the client
    list_client(event_base* base, http_client& http,
                list_client_options options);
    ~list_client();
    list_client(list_client const&) = delete;
    list_client& operator=(list_client const&) = delete;
    list_client(list_client&&) = delete;
    list_client& operator=(list_client&&) = delete;

    /// \brief Reads the list now, and then every period.
    void start();

    /// \brief A list that was read.
    sigc::signal<void(instance_list const&)> received;
    /// \brief A read that failed; the next follows after a back-off. Also a row
    /// that cannot be read, of a list that was received.
    sigc::signal<void(reason const&)> failed;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::platform

#endif
