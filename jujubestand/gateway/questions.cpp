#include <jujubestand/gateway/questions.hpp>

#include <algorithm>

namespace jujubestand::gateway
{

namespace
{

/// Time after which an unanswered query is repeated. Repeating earlier would
/// lengthen the queue of answers on a narrow link.
constexpr std::chrono::milliseconds answer_wait{400};

/// Silence after which another reader is followed.
constexpr std::chrono::milliseconds reader_silence{1'000};

} // namespace

bool may_ask(questions& sent, std::string const& host, mono_time now)
{
    auto const last = sent.find(host);
    bool const is_open = last != sent.end() && !last->second.is_answered &&
                         now - last->second.at < answer_wait;
    if (is_open)
        return false;
    sent[host] = {now, false};
    return true;
}

void on_answered(questions& sent, std::string const& host)
{
    auto const found = sent.find(host);
    if (found != sent.end())
        found->second.is_answered = true;
}

void follow_reader(followed_reader& followed,
                   std::vector<std::string> const& readers, mono_time now)
{
    auto const current =
        std::find(readers.begin(), readers.end(), followed.host);
    bool const is_reader = current != readers.end();
    bool const is_silent = now - followed.heard_at > reader_silence;
    if (readers.empty() || (is_reader && !is_silent))
        return;
    bool const has_next = is_reader && current + 1 != readers.end();
    followed.host = has_next ? *(current + 1) : readers.front();
    followed.heard_at = now;
}

} // namespace jujubestand::gateway
