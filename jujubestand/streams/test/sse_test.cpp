#include <gtest/gtest.h>

#include <jujubestand/streams/sse.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::streams
{

namespace
{

struct plain_event
{
    std::optional<std::uint64_t> id;
    std::string data;

    bool operator==(plain_event const&) const = default;
};

/// The naive reading: all line ends made alike, then cut at blank lines.
std::vector<plain_event> read_naively(std::string const& text)
{
    std::string same;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] == '\n' && at > 0 && text[at - 1] == '\r')
            continue;
        same += text[at] == '\r' ? '\n' : text[at];
    }
    std::vector<plain_event> events;
    plain_event next;
    bool has_data = false;
    std::size_t begin = 0;
    for (auto end = same.find('\n'); end != std::string::npos;
         begin = end + 1, end = same.find('\n', begin))
    {
        std::string const line = same.substr(begin, end - begin);
        if (line.empty() && has_data)
            events.push_back(next);
        if (line.empty())
        {
            next = {};
            has_data = false;
        }
        else if (line.starts_with("data: "))
        {
            next.data += (has_data ? "\n" : "") + line.substr(6);
            has_data = true;
        }
        else if (line.starts_with("id: "))
            next.id = std::stoull(line.substr(4));
    }
    return events;
}

rc::Gen<std::string> any_line()
{
    return rc::gen::element<std::string>("data: {}", "data: two words",
                                         "data: ", "id: 0", "id: 18", ": note",
                                         "event: x", "", "", "other: 1");
}

} // namespace

RC_GTEST_PROP(sse, random_cuts_give_the_naive_reading, ())
{
    std::string text;
    auto const lines =
        *rc::gen::container<std::vector<std::string>>(any_line());
    for (auto const& line : lines)
        text += line + *rc::gen::element<std::string>("\n", "\n", "\r\n", "\r");
    sse_splitter splitter;
    std::vector<sse_event> events;
    reason why;
    for (std::size_t at = 0; at < text.size();)
    {
        auto const step = *rc::gen::inRange<std::size_t>(1, 12);
        RC_ASSERT(feed(splitter, std::string_view(text).substr(at, step),
                       events, why));
        at += step;
    }
    std::vector<plain_event> found;
    std::string raw;
    for (auto const& event : events)
    {
        raw += event.raw;
        if (event.has_data)
            found.push_back({event.id, event.data});
    }
    RC_ASSERT(found == read_naively(text));
    RC_ASSERT(raw + splitter.next.raw == text);
}

TEST(sse, an_id_that_is_no_number_is_marked)
{
    sse_splitter splitter;
    std::vector<sse_event> events;
    reason why;
    ASSERT_TRUE(feed(splitter, "id: 1x\ndata: a\n\n", events, why));
    EXPECT_TRUE(events.at(0).has_malformed_id);
    EXPECT_FALSE(events.at(0).id);
}

TEST(sse, an_event_without_end_is_cut_off_at_the_limit)
{
    sse_splitter splitter;
    splitter.event_limit_bytes = 100;
    std::vector<sse_event> events;
    reason why;
    EXPECT_FALSE(feed(splitter, std::string(101, 'x'), events, why));
    EXPECT_EQ(why.code, reason_code::answer_too_large);
}

TEST(sse, half_an_event_is_seen)
{
    sse_splitter splitter;
    std::vector<sse_event> events;
    reason why;
    ASSERT_TRUE(feed(splitter, "data: a\n\n", events, why));
    EXPECT_TRUE(is_between_events(splitter));
    ASSERT_TRUE(feed(splitter, "data: b\n", events, why));
    EXPECT_FALSE(is_between_events(splitter));
}

} // namespace jujubestand::streams
