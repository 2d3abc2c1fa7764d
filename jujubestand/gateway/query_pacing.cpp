#include <jujubestand/gateway/query_pacing.hpp>

#include <algorithm>

namespace jujubestand::gateway
{

namespace
{

/// Time after which an unanswered query is repeated. Repeating earlier would
/// lengthen the queue of answers on a narrow link.
constexpr std::chrono::milliseconds answer_wait{400};

/// Time without an answer after which another reader is followed.
constexpr std::chrono::milliseconds reader_timeout{1'000};

} // namespace

bool begin_query(query_map& queries, std::string const& host, mono_time now)
{
    auto const last = queries.find(host);
    bool const is_open = last != queries.end() && !last->second.is_answered &&
                         now - last->second.sent_at < answer_wait;
    if (is_open)
        return false;
    queries[host] = {now, false};
    return true;
}

void on_query_answered(query_map& queries, std::string const& host)
{
    auto const found = queries.find(host);
    if (found != queries.end())
        found->second.is_answered = true;
}

void update_followed_reader(followed_reader& followed,
                            std::vector<std::string> const& readers,
                            mono_time now)
{
    auto const current =
        std::find(readers.begin(), readers.end(), followed.host);
    bool const is_reader = current != readers.end();
    bool const is_timed_out = now - followed.last_answer_at > reader_timeout;
    if (readers.empty() || (is_reader && !is_timed_out))
        return;
    bool const has_next = is_reader && current + 1 != readers.end();
    followed.host = has_next ? *(current + 1) : readers.front();
    followed.last_answer_at = now;
}

} // namespace jujubestand::gateway
