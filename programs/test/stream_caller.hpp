#ifndef JUJUBESTAND_PROGRAMS_TEST_STREAM_CALLER_HPP
#define JUJUBESTAND_PROGRAMS_TEST_STREAM_CALLER_HPP

#include <jujubestand/http1/client.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubestand::programs::test
{

/// \brief An answer as far as a caller has it.
struct caller_answer
{
    http1::call_id call;
    int status = 0;
    std::vector<http::field> fields;
    std::string body;
    std::optional<http1::call_end> end;

    /// \brief The data of the whole events.
    [[nodiscard]] std::vector<std::string> events() const
    {
        constexpr std::string_view mark = "data: ";
        std::vector<std::string> result;
        for (std::size_t at = 0;;)
        {
            auto const event_end = this->body.find("\n\n", at);
            if (event_end == std::string::npos)
                return result;
            auto const data = this->body.find(mark, at) + mark.size();
            result.push_back(this->body.substr(data, event_end - data));
            at = event_end + 2;
        }
    }

    [[nodiscard]] std::string field(std::string_view name) const
    {
        return std::string(http::find_header(this->fields, name).value_or(""));
    }
};

using answer_ptr = std::shared_ptr<caller_answer>;

/// \brief Data of the events from one number to another one.
inline std::vector<std::string>
events_of(std::string const& version, std::uint64_t first, std::uint64_t last)
{
    std::vector<std::string> result;
    for (auto number = first; number <= last; ++number)
        result.push_back(version + ' ' + std::to_string(number));
    return result;
}

/// \brief A stream that a caller asks for.
struct stream_call
{
    std::string request_id;
    std::string last_event;
    std::string resumes;
    std::string target = "/chat/new";
    /// Parts of the prompt as `ID:TOKENS,...`; empty: no prompt.
    std::string parts{};
    unsigned deadline_ms = 60'000;
    std::string key{};
};

/// \brief Fields of a call for a stream.
inline std::vector<http::field> fields_of(stream_call const& asked)
{
    std::vector<http::field> fields{
        {"Host", "engines.example"},
        {"X-Request-Id", asked.request_id},
        {"X-Deadline-Ms", std::to_string(asked.deadline_ms)}};
    if (!asked.last_event.empty())
        fields.push_back({"Last-Event-Id", asked.last_event});
    if (!asked.resumes.empty())
        fields.push_back({"Resumes", asked.resumes});
    if (!asked.key.empty())
        fields.push_back({"X-Api-Key", asked.key});
    if (!asked.parts.empty())
    {
        fields.push_back({"X-Model", "m1"});
        fields.push_back({"X-Token-Usage", "100,8"});
        fields.push_back({"X-Prompt-Prefix", asked.parts});
    }
    return fields;
}

/// \brief Starts a call; its answer is filled in from the loop.
inline answer_ptr start_call(http1::client& caller,
                             http1::client_request request)
{
    auto answer = std::make_shared<caller_answer>();
    http1::call_events events;
    events.on_head = [answer](http1::message_head const& head)
    {
        answer->status = head.status;
        answer->fields = head.fields;
    };
    events.on_body = [answer](std::string_view bytes)
    {
        answer->body += bytes;
    };
    events.on_end = [answer](http1::call_end const& end)
    {
        answer->end = end;
    };
    answer->call = caller.start(std::move(request), events);
    return answer;
}

} // namespace jujubestand::programs::test

#endif
