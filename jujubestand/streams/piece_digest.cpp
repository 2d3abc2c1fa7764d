#include <jujubestand/streams/piece_digest.hpp>

#include <jujubestand/streams/answer_body.hpp>
#include <jujubestand/streams/sse.hpp>
#include <simdjson.h>
#include <vector>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jujubestand::streams
{

std::uint64_t piece_digest(std::string_view bytes)
{
    sse_splitter splitter;
    std::vector<sse_event> events;
    reason why;
    bool const is_event = feed(splitter, bytes, events, why) &&
                          events.size() == 1 && events.front().has_data;
    if (is_event)
    {
        auto const body = read_answer_body(events.front().data);
        if (body && body->choices_digest != 0)
            return body->choices_digest;
    }
    return XXH3_64bits(bytes.data(), bytes.size());
}

bool is_repeatable(std::string_view body)
{
    simdjson::dom::parser parser;
    simdjson::dom::element document;
    if (parser.parse(body.data(), body.size()).get(document) !=
        simdjson::SUCCESS)
        return false;
    std::int64_t seed = 0;
    if (document["seed"].get(seed) == simdjson::SUCCESS)
        return true;
    double temperature = 1;
    return document["temperature"].get(temperature) == simdjson::SUCCESS &&
           temperature == 0;
}

} // namespace jujubestand::streams
