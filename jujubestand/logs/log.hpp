#ifndef JUJUBESTAND_LOGS_LOG_HPP
#define JUJUBESTAND_LOGS_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/time.hpp>
#include <string>
#include <string_view>

namespace jujubestand::logs
{

/// \brief One `key=value` of a line; numbers are written as such.
struct field
{
    std::string_view key;
    std::string value;

    field(std::string_view name, std::string_view text);
    field(std::string_view name, std::int64_t number);
};

/// \brief How much may be written.
struct rate_limit
{
    /// Lines per second in the long run.
    double lines_per_second = 150;
    /// Lines that may come at once.
    double burst_lines = 600;
};

/// \brief Lines that may still be written.
struct rate_state
{
    double allowance = 600;
    mono_time refilled_at{};
    /// Lines left out since the last one that says so.
    std::uint64_t dropped = 0;
};

/// \brief Whether one more line may be written; counts it if not.
[[nodiscard]] bool admit(rate_state& state, rate_limit const& limit,
                         mono_time now);

/// \brief One line: `WALL_MS E1100 request_accepted request=... key=value`.
/// Values with blanks or quotes are quoted.
[[nodiscard]] std::string to_line(wall_time at, event_number number,
                                  std::string_view request,
                                  std::initializer_list<field> fields);

/// \brief Writes lines to a descriptor and never waits for its reader.
class log
{
public:
    /// \param target descriptor that lines go to; not owned
    explicit log(int target, rate_limit rates = {});

    /// \brief Writes one line, or counts it as left out.
    /// \param request id of the call that it is about; may be empty
    void write(event_number number, std::string_view request,
               std::initializer_list<field> fields);

private:
    void put(std::string const& line);

    int descriptor;
    rate_limit limit;
    rate_state rate;
};

} // namespace jujubestand::logs

#endif
