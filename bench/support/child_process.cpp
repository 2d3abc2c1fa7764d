#include <bench/support/child_process.hpp>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace jujubestand::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds poll_interval{5};
constexpr mode_t output_mode = 0644;
constexpr int cannot_run = 127;
constexpr std::uint64_t bytes_per_kilobyte = 1024;

void redirect(std::string const& path, int descriptor)
{
    int const file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, output_mode);
    ::dup2(file, descriptor);
    ::close(file);
}

[[noreturn]] void become(std::vector<std::string> const& arguments,
                         std::string const& output_base, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A group of its own keeps the terminal's Ctrl-C for the owner alone.
    ::setpgid(0, 0);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    if (::getppid() != parent)
        ::_exit(cannot_run);
    redirect(output_base + ".out", STDOUT_FILENO);
    redirect(output_base + ".err", STDERR_FILENO);
    std::vector<char*> words;
    words.reserve(arguments.size() + 1);
    for (std::string const& word : arguments)
        words.push_back(const_cast<char*>(word.c_str()));
    words.push_back(nullptr);
    ::execv(words[0], words.data());
    ::_exit(cannot_run);
}

std::optional<std::string> find_line(std::string const& path,
                                     std::string_view beginning)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line) && !file.eof())
    {
        if (line.starts_with(beginning))
            return line.substr(beginning.size());
    }
    return std::nullopt;
}

// The scheduler's own count: the ticks of /proc/PID/stat are too coarse for a
// process that does little.
std::chrono::microseconds processor_time_of(std::string const& folder)
{
    std::ifstream file(folder + "/schedstat");
    std::int64_t nanoseconds = 0;
    file >> nanoseconds;
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::nanoseconds(nanoseconds));
}

/// The number in the line that begins so; 0 if there is none.
std::uint64_t number_in(std::string const& path, std::string_view beginning)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line))
    {
        if (line.starts_with(beginning))
            return std::stoull(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

} // namespace

child_process::child_process(std::vector<std::string> command_line,
                             std::string output_path)
    : arguments(std::move(command_line))
    , output_base(std::move(output_path))
{
    this->start();
}

child_process::~child_process()
{
    this->kill();
}

child_process::child_process(child_process&& other) noexcept
    : arguments(std::move(other.arguments))
    , output_base(std::move(other.output_base))
    , child(std::exchange(other.child, -1))
    , status(other.status)
    , is_stopping(other.is_stopping)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(this->arguments, other.arguments);
    std::swap(this->output_base, other.output_base);
    std::swap(this->child, other.child);
    std::swap(this->status, other.status);
    std::swap(this->is_stopping, other.is_stopping);
    return *this;
}

void child_process::start()
{
    std::error_code ignored;
    std::filesystem::remove(this->output_base + ".out", ignored);
    pid_t const parent = ::getpid();
    this->child = ::fork();
    if (this->child < 0)
        throw std::runtime_error("cannot start " + this->arguments.at(0));
    if (this->child == 0)
        become(this->arguments, this->output_base, parent);
}

std::optional<std::string> child_process::wait_line(std::string_view beginning,
                                                    milliseconds limit)
{
    auto const end = steady_clock::now() + limit;
    while (true)
    {
        bool const was_running = this->is_running();
        auto line = find_line(this->output_base + ".out", beginning);
        if (line || !was_running || steady_clock::now() > end)
            return line;
        std::this_thread::sleep_for(poll_interval);
    }
}

bool child_process::reap(bool is_waiting)
{
    if (this->child <= 0)
        return true;
    pid_t const ended =
        ::waitpid(this->child, &this->status, is_waiting ? 0 : WNOHANG);
    if (ended != this->child)
        return false;
    this->child = -1;
    return true;
}

bool child_process::is_running()
{
    return !this->reap(false);
}

// A second SIGTERM would cut the drain that the first one began.
void child_process::begin_stop()
{
    if (!std::exchange(this->is_stopping, true))
        this->signal(SIGTERM);
}

int child_process::stop(milliseconds limit)
{
    this->begin_stop();
    auto const end = steady_clock::now() + limit;
    while (this->is_running() && steady_clock::now() < end)
        std::this_thread::sleep_for(poll_interval);
    this->kill();
    return WIFEXITED(this->status) ? WEXITSTATUS(this->status)
                                   : -WTERMSIG(this->status);
}

void child_process::kill()
{
    if (this->child <= 0)
        return;
    this->signal(SIGKILL);
    this->reap(true);
}

void child_process::signal(int number) const
{
    if (this->child > 0)
        ::kill(this->child, number);
}

pid_t child_process::pid() const noexcept
{
    return this->child;
}

process_usage child_process::usage() const
{
    process_usage result;
    if (this->child <= 0)
        return result;
    std::string const folder = "/proc/" + std::to_string(this->child);
    result.processor_time = processor_time_of(folder);
    auto const status_file = folder + "/status";
    result.resident_bytes =
        number_in(status_file, "VmRSS:") * bytes_per_kilobyte;
    result.peak_resident_bytes =
        number_in(status_file, "VmHWM:") * bytes_per_kilobyte;
    result.read_bytes = number_in(folder + "/io", "rchar:");
    result.written_bytes = number_in(folder + "/io", "wchar:");
    for (char const* ending : {".out", ".err"})
    {
        std::error_code error;
        auto const size =
            std::filesystem::file_size(this->output_base + ending, error);
        result.output_bytes += error ? 0 : size;
    }
    return result;
}

std::vector<std::string> const& child_process::command() const noexcept
{
    return this->arguments;
}

std::string const& child_process::output() const noexcept
{
    return this->output_base;
}

} // namespace jujubestand::bench
