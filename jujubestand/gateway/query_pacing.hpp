#ifndef JUJUBESTAND_GATEWAY_QUERY_PACING_HPP
#define JUJUBESTAND_GATEWAY_QUERY_PACING_HPP

#include <jujubestand/core/time.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief Pacing of status queries to other processes, and the choice of the
/// gateway to follow.
namespace jujubestand::gateway
{

/// \brief The last query sent to a host.
struct sent_query
{
    mono_time sent_at{};
    bool is_answered = false;
    mono_time first_sent_at{};
    /// Time of the last answer.
    mono_time answered_at{};
};

/// \brief Last query by host.
using query_map = std::map<std::string, sent_query>;

/// \brief Whether a query may be sent to a host, which is not so while one is
/// outstanding. If so, records the query as sent.
bool begin_query(query_map& queries, std::string const& host, mono_time now);

/// \brief Marks the query to a host as answered.
void on_query_answered(query_map& queries, std::string const& host,
                       mono_time now);

/// \brief An agent that may be queried.
struct query_target
{
    std::string host;
    /// This gateway uses the agent's engine.
    bool is_in_use = false;
};

/// \brief The agents to query now: those of engines in use, and of the others
/// those whose last query is the longest ago, up to a limit.
[[nodiscard]] std::vector<std::string>
select_targets(query_map const& queries, std::vector<query_target> targets,
               std::size_t idle_limit);

/// \brief The reading gateway from which the contents of the part stores are
/// taken. Only one at a time, since the readers order changes differently.
struct followed_reader
{
    /// Empty until a reader is chosen.
    std::string host;
    mono_time last_answer_at{};
};

/// \brief Switches to the next reader if the followed one has timed out or no
/// longer reads.
/// \param readers IP addresses of the gateways that read the store
void update_followed_reader(followed_reader& followed,
                            std::vector<std::string> const& readers,
                            mono_time now);

} // namespace jujubestand::gateway

#endif
