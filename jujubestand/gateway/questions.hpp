#ifndef JUJUBESTAND_GATEWAY_QUESTIONS_HPP
#define JUJUBESTAND_GATEWAY_QUESTIONS_HPP

#include <jujubestand/core/time.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief Pacing of status queries to other processes, and the choice of the
/// gateway to follow.
namespace jujubestand::gateway
{

/// \brief The last query sent to a host.
struct sent_question
{
    mono_time at{};
    bool is_answered = false;
};

/// \brief Last query by host.
using questions = std::map<std::string, sent_question>;

/// \brief Whether a query may be sent to a host, which is not so while one is
/// outstanding. If so, records the query as sent.
bool may_ask(questions& sent, std::string const& host, mono_time now);

/// \brief Marks the query to a host as answered.
void on_answered(questions& sent, std::string const& host);

/// \brief The reading gateway from which the contents of the part stores are
/// taken. Only one at a time, since the readers order changes differently.
struct followed_reader
{
    /// Empty until a reader is chosen.
    std::string host;
    mono_time heard_at{};
};

/// \brief Switches to the next reader if the followed one has timed out or no
/// longer reads.
/// \param readers IP addresses of the gateways that read the store
void follow_reader(followed_reader& followed,
                   std::vector<std::string> const& readers, mono_time now);

} // namespace jujubestand::gateway

#endif
