#include <jujubestand/logs/log.hpp>

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace jujubestand::logs
{

namespace
{

/// A pipe that is ready takes this many bytes at once (PIPE_BUF on Linux).
constexpr std::size_t line_limit_bytes = 4'096;

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \t\"=\r\n") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (char const letter : value)
    {
        bool const is_control = static_cast<unsigned char>(letter) < ' ';
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += is_control ? ' ' : letter;
    }
    line += '"';
}

} // namespace

field::field(std::string_view name, std::string_view text)
    : key(name)
    , value(text)
{
}

field::field(std::string_view name, std::int64_t number)
    : key(name)
    , value(std::to_string(number))
{
}

bool admit(rate_state& state, rate_limit const& limit, mono_time now)
{
    std::chrono::duration<double> const since = now - state.refilled_at;
    state.refilled_at = now;
    state.allowance =
        std::min(limit.burst_lines,
                 state.allowance + limit.lines_per_second * since.count());
    if (state.allowance < 1)
    {
        ++state.dropped;
        return false;
    }
    state.allowance -= 1;
    return true;
}

std::string to_line(wall_time at, event_number number, std::string_view request,
                    std::initializer_list<field> fields)
{
    std::string line = std::to_string(at.time_since_epoch().count());
    line += " E" + std::to_string(static_cast<unsigned>(number)) + ' ';
    line += to_name(number);
    if (!request.empty())
    {
        line += " request=";
        append_value(line, request);
    }
    for (auto const& one : fields)
    {
        line += ' ';
        line += one.key;
        line += '=';
        append_value(line, one.value);
    }
    line.resize(std::min(line.size(), line_limit_bytes - 1));
    line += '\n';
    return line;
}

log::log(int target, rate_limit rates)
    : descriptor(target)
    , limit(rates)
{
}

void log::write(event_number number, std::string_view request,
                std::initializer_list<field> fields)
{
    if (!admit(this->rate, this->limit, mono_now()))
        return;
    if (this->rate.dropped > 0)
    {
        auto const count = static_cast<std::int64_t>(this->rate.dropped);
        this->rate.dropped = 0;
        this->put(to_line(machine_wall_now(), event_number::lines_dropped, {},
                          {{"count", count}}));
    }
    this->put(to_line(machine_wall_now(), number, request, fields));
}

// The descriptor may be shared, so it stays in blocking mode; a reader that
// has stopped is found by asking first.
void log::put(std::string const& line)
{
    pollfd ready{this->descriptor, POLLOUT, 0};
    bool const is_ready =
        poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    if (!is_ready || ::write(this->descriptor, line.data(), line.size()) < 0)
        ++this->rate.dropped;
}

} // namespace jujubestand::logs
