#ifndef JUJUBESTAND_STREAMS_TEST_ANSWER_HPP
#define JUJUBESTAND_STREAMS_TEST_ANSWER_HPP

#include <jujubestand/core/ids.hpp>
#include <jujubestand/streams/sse.hpp>
#include <string>
#include <vector>

namespace jujubestand::streams
{

inline constexpr request_id mine{1, 2};
inline constexpr request_id other{3, 4};

inline sse_event to_event(std::string const& text)
{
    sse_splitter splitter;
    std::vector<sse_event> events;
    reason why;
    static_cast<void>(feed(splitter, text, events, why));
    return events.at(0);
}

/// \brief An engine's event number `number` with one token.
inline std::string token_text(request_id const& request, std::uint64_t number,
                              std::string const& token,
                              std::string const& finish = "null",
                              std::string const& created = "1")
{
    return "id: " + std::to_string(number) + "\ndata: {\"id\":\"cmpl-" +
           to_text(request) + "\",\"created\":" + created +
           ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + token +
           "\"},\"finish_reason\":" + finish + "}]}\n\n";
}

inline std::string done_text(std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: [DONE]\n\n";
}

/// \brief A whole answer of `tokens` tokens and the end.
inline std::vector<std::string> answer_of(request_id const& request,
                                          std::uint64_t tokens)
{
    std::vector<std::string> events;
    for (std::uint64_t number = 0; number < tokens; ++number)
        events.push_back(
            token_text(request, number, std::to_string(number),
                       number + 1 == tokens ? "\"stop\"" : "null"));
    events.push_back(done_text(tokens));
    return events;
}

} // namespace jujubestand::streams

#endif
