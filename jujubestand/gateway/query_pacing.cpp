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
    auto& query = queries[host];
    if (last == queries.end())
        query.first_sent_at = now;
    query.sent_at = now;
    query.is_answered = false;
    return true;
}

void on_query_answered(query_map& queries, std::string const& host,
                       mono_time now)
{
    auto const found = queries.find(host);
    if (found == queries.end())
        return;
    found->second.is_answered = true;
    found->second.answered_at = now;
}

std::vector<std::string> select_targets(query_map const& queries,
                                        std::vector<query_target> targets,
                                        std::size_t idle_limit)
{
    auto const idle = std::partition(targets.begin(), targets.end(),
                                     [](query_target const& target)
                                     {
                                         return target.is_in_use;
                                     });
    auto const last_sent_at = [&](query_target const& target)
    {
        auto const last = queries.find(target.host);
        return last == queries.end() ? mono_time{} : last->second.sent_at;
    };
    std::sort(idle, targets.end(),
              [&](query_target const& left, query_target const& right)
              {
                  auto const left_at = last_sent_at(left);
                  auto const right_at = last_sent_at(right);
                  return left_at != right_at ? left_at < right_at
                                             : left.host < right.host;
              });
    auto const idle_count = static_cast<std::size_t>(targets.end() - idle);
    if (idle_count > idle_limit)
        targets.resize(targets.size() - (idle_count - idle_limit));
    std::vector<std::string> hosts;
    hosts.reserve(targets.size());
    for (auto& target : targets)
        hosts.push_back(std::move(target.host));
    return hosts;
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
