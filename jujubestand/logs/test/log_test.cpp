#include <array>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <jujubestand/logs/log.hpp>
#include <string>
#include <unistd.h>

namespace jujubestand::logs
{

namespace
{

std::string drain(int descriptor)
{
    std::string text;
    std::array<char, 65'536> bytes{};
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    for (ssize_t size = 0;
         (size = read(descriptor, bytes.data(), bytes.size())) > 0;)
        text.append(bytes.data(), static_cast<std::size_t>(size));
    return text;
}

} // namespace

TEST(log, a_line_holds_number_name_request_and_fields)
{
    EXPECT_EQ(to_line(wall_time{std::chrono::milliseconds{5}},
                      event_number::request_refused, "ab",
                      {{"status", 503}, {"why", "no \"room\" now"}}),
              "5 E1101 request_refused request=ab status=503 "
              "why=\"no \\\"room\\\" now\"\n");
}

TEST(log, a_value_cannot_forge_a_line)
{
    auto const line =
        to_line(wall_time{}, event_number::request_refused, "a\nb", {});
    EXPECT_EQ(line.find('\n'), line.size() - 1);
}

TEST(log, lines_over_the_rate_are_counted)
{
    rate_limit const limit{10, 5};
    rate_state state;
    state.allowance = 5;
    mono_time now{};
    int admitted = 0;
    for (int line = 0; line < 100; ++line)
        admitted += admit(state, limit, now) ? 1 : 0;
    EXPECT_EQ(admitted, 5);
    EXPECT_EQ(state.dropped, 95U);
    now += std::chrono::seconds{1};
    EXPECT_TRUE(admit(state, limit, now));
}

// Without the question whether the pipe is ready, this test never ends.
TEST(log, a_reader_that_stops_does_not_stop_the_writer)
{
    std::array<int, 2> pipe_ends{};
    ASSERT_EQ(pipe(pipe_ends.data()), 0);
    log out(pipe_ends[1], {1'000'000, 1'000'000});
    std::string const text(1'000, 'x');
    for (int line = 0; line < 500; ++line)
        out.write(event_number::request_finished, text, {});
    drain(pipe_ends[0]);
    out.write(event_number::process_ready, {}, {});
    auto const told = drain(pipe_ends[0]);
    EXPECT_NE(told.find("lines_dropped count="), std::string::npos);
    EXPECT_NE(told.find("process_ready"), std::string::npos);
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

} // namespace jujubestand::logs
