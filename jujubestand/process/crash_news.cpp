// News go as fields of a question for tables: a process of an older release
// closes the link at a frame of a kind that it doesn't know, and reads past
// fields that it doesn't know.

#include <jujubestand/process/crash_news.hpp>

#include <algorithm>

namespace jujubestand::process
{

void take_list(crash_news_targets& targets, platform::instance_list const& list,
               instance_id const& self)
{
    targets.entries.clear();
    for (auto const& row : list.instances)
    {
        if (row.role == platform::listed_role::entry && row.instance != self)
            targets.entries.push_back(row.link);
    }
}

void send_news(crash_news_targets& targets, link::node& links,
               log_offset tables, crash_news const& news)
{
    if (news.evidence.empty() && news.culprits.empty())
        return;
    auto const message = link::to_frame(link::tables_wanted{
        tables, quarantine::pack(news.evidence), news.culprits});
    for (auto const& where : targets.entries)
    {
        auto const stream = links.open(where);
        links.send(stream, message);
        links.finish(stream);
        targets.open.push_back(stream);
    }
}

void take_answer(crash_news_targets& targets, link::node& links,
                 link::stream_id stream, link::frame const& frame)
{
    if (frame.kind == link::frame_kind::tables &&
        std::erase(targets.open, stream) > 0)
        links.reset(stream);
}

void take_closed(crash_news_targets& targets, link::stream_id stream)
{
    std::erase(targets.open, stream);
}

std::optional<crash_news> read_news(link::node& links, link::stream_id stream,
                                    link::frame const& frame)
{
    reason why;
    auto const message = link::from_frame<link::tables_wanted>(frame, why);
    if (!message || (message->crashes.empty() && message->culprits.empty()))
        return std::nullopt;
    links.consume(stream, frame.payload.size());
    links.finish(stream);
    crash_news news;
    news.culprits = message->culprits;
    if (auto evidence = quarantine::unpack(message->crashes, why))
        news.evidence = std::move(*evidence);
    return news;
}

} // namespace jujubestand::process
