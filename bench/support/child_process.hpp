#ifndef JUJUBESTAND_BENCH_SUPPORT_CHILD_PROCESS_HPP
#define JUJUBESTAND_BENCH_SUPPORT_CHILD_PROCESS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace jujubestand::bench
{

/// \brief What a child has used so far.
struct process_usage
{
    std::chrono::microseconds processor_time{0};
    std::uint64_t resident_bytes = 0;
    std::uint64_t peak_resident_bytes = 0;
    /// By its read and write calls, sockets and files alike.
    std::uint64_t read_bytes = 0;
    std::uint64_t written_bytes = 0;
    /// Of those written, what went to its two output files.
    std::uint64_t output_bytes = 0;
};

/// \brief A program that a bench started; it is stopped with its owner, and
/// by the kernel if the bench itself dies.
class child_process
{
public:
    /// \param arguments the program's path and its arguments
    /// \param output_base its standard output goes to `output_base.out`, its
    /// standard error to `output_base.err`
    /// \throws std::runtime_error if it can't be started
    child_process(std::vector<std::string> arguments, std::string output_base);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// \brief Waits for a line of its standard output that begins so.
    /// \returns the rest of the line; nothing if it ended or time ran out
    [[nodiscard]] std::optional<std::string>
    wait_line(std::string_view beginning, std::chrono::milliseconds limit);

    /// \brief Asks it to stop without waiting.
    void begin_stop();

    /// \brief Asks it to stop unless `begin_stop` has, and kills it if it does
    /// not within `limit`. \returns its exit code, or minus the signal that
    /// ended it
    int stop(std::chrono::milliseconds limit);

    /// \brief Kills it at once, as a crash would.
    void kill();

    /// \brief Sends a signal, for instance to pause or continue it.
    void signal(int number) const;

    [[nodiscard]] bool is_running();
    [[nodiscard]] pid_t pid() const noexcept;
    [[nodiscard]] process_usage usage() const;
    [[nodiscard]] std::vector<std::string> const& command() const noexcept;
    [[nodiscard]] std::string const& output() const noexcept;

private:
    void start();
    bool reap(bool is_waiting);

    std::vector<std::string> arguments;
    std::string output_base;
    pid_t child = -1;
    int status = 0;
    bool is_stopping = false;
};

} // namespace jujubestand::bench

#endif
