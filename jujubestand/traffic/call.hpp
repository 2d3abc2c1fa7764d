#ifndef JUJUBESTAND_TRAFFIC_CALL_HPP
#define JUJUBESTAND_TRAFFIC_CALL_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/http/message.hpp>
#include <jujubestand/traffic/prompt.hpp>
#include <jujubestand/traffic/stated_limit.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::traffic
{

/// \brief A caller's call, decoded.
struct caller_call
{
    std::string request_id;
    std::string method;
    /// Path and query.
    std::string target;
    /// Path without query.
    std::string path;
    std::string host;
    std::string key;
    /// Time until the caller's timeout, from when the call was read.
    std::optional<std::chrono::milliseconds> time_left;
    /// The prompt, if all its fields can be read.
    std::optional<prompt> asked;
    stated_prompt stated;
    /// Tokens of the prompt and limit of those of the output, if stated.
    std::optional<std::uint64_t> stated_tokens;
    /// Last event that the caller has of a stream which it resumes.
    std::string last_event;
    /// Id of the request that brought the first event of that stream.
    std::string resumed_request;
    /// Fields that go on to the upstream as they are.
    std::vector<http::field> passed;
    std::string body;
};

/// \brief Fields of one send of a call to its upstream.
struct send_terms
{
    /// The upstream refuses the call if it is another one.
    std::string upstream;
    std::string team;
    std::chrono::milliseconds time_left{0};
    /// Engines only: weights that the call must run on.
    std::optional<std::uint64_t> weights;
    /// Engines only: cached parts are found only under the same text.
    std::string cache_scope;
    /// 0 is the most urgent.
    std::optional<std::uint8_t> priority;
    /// Another upstream that may hold parts of the prompt.
    std::optional<address> fetch_from;
    /// A store that the parts are to be kept in as well.
    std::optional<address> save_to;
    /// The stream goes on after this event.
    std::string last_event;
};

/// \brief Decoded head of an upstream's answer.
struct answer_head
{
    int status = 0;
    std::string request_id;
    /// The upstream signed it as its own.
    bool is_signed = false;
    /// The upstream states that it did not run the call, and won't.
    bool is_not_run = false;
    /// Id of the upstream that answered instead of the one that was meant.
    std::string other_upstream;
    /// Its bytes are not those that the upstream made.
    bool is_encoded = false;
    /// Version of the weights it ran on, if reported.
    std::optional<std::uint64_t> weights;
    /// What the upstream states on the calls that it takes.
    stated_limit limit;
    /// The upstream states that it takes no new calls before its end.
    bool is_leaving = false;
    /// For how long the upstream wants no calls from this process.
    stated_pause pause;
    /// Fields that go on to the caller as they are.
    std::vector<http::field> passed;
};

} // namespace jujubestand::traffic

#endif
