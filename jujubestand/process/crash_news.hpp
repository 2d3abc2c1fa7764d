#ifndef JUJUBESTAND_PROCESS_CRASH_NEWS_HPP
#define JUJUBESTAND_PROCESS_CRASH_NEWS_HPP

#include <jujubestand/link/messages.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <jujubestand/quarantine/strike.hpp>
#include <optional>
#include <vector>

/// \brief News on what crashes engines, from one process to all entries.
namespace jujubestand::process
{

/// \brief Where news go.
struct crash_news_targets
{
    std::vector<address> entries;
    /// Streams on which news went out and that are still open.
    std::vector<link::stream_id> open;
};

/// \brief What a process tells the entries.
struct crash_news
{
    quarantine::notice evidence;
    std::vector<link::culprit> culprits;
};

/// \brief Takes the entries other than `self` from a list.
void take_list(crash_news_targets& targets, platform::instance_list const& list,
               instance_id const& self);

/// \brief Sends news to all entries. Nothing is sent if there are none.
/// \param tables version of this process's tables
void send_news(crash_news_targets& targets, link::node& links,
               log_offset tables, crash_news const& news);

/// \brief Ends a stream of ours that a process of an older release answers.
void take_answer(crash_news_targets& targets, link::node& links,
                 link::stream_id stream, link::frame const& frame);

/// \brief Forgets a stream that was closed.
void take_closed(crash_news_targets& targets, link::stream_id stream);

/// \brief Reads a frame of `send_news` and ends its stream.
/// \returns nothing for a frame that carries no news
[[nodiscard]] std::optional<crash_news>
read_news(link::node& links, link::stream_id stream, link::frame const& frame);

} // namespace jujubestand::process

#endif
