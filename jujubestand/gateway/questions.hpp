#ifndef JUJUBESTAND_GATEWAY_QUESTIONS_HPP
#define JUJUBESTAND_GATEWAY_QUESTIONS_HPP

#include <jujubestand/core/time.hpp>
#include <map>
#include <string>
#include <vector>

/// \brief When a gateway asks other processes, and which gateway it follows.
namespace jujubestand::gateway
{

/// \brief The last question to one process.
struct sent_question
{
    mono_time at{};
    bool is_answered = false;
};

/// \brief Questions by the host that was asked.
using questions = std::map<std::string, sent_question>;

/// \brief Whether to ask a process again: not while a question is open.
/// Counts as a question sent if so.
bool may_ask(questions& sent, std::string const& host, mono_time now);

/// \brief A process answered.
void on_answered(questions& sent, std::string const& host);

/// \brief The gateway whose knowledge of the stores of parts is followed. One
/// at a time: what two of them have read differs in its order.
struct followed_reader
{
    /// Empty: none yet.
    std::string host;
    mono_time heard_at{};
};

/// \brief Turns to another reader if the followed one is silent or reads no
/// more.
/// \param readers IP numbers of the gateways that read
void follow_reader(followed_reader& followed,
                   std::vector<std::string> const& readers, mono_time now);

} // namespace jujubestand::gateway

#endif
