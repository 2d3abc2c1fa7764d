#ifndef JUJUBESTAND_REVIEW_PROCESS_HPP
#define JUJUBESTAND_REVIEW_PROCESS_HPP

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <review/standins/http.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// \brief One of the project's programs, started as the deploy file does.
class process
{
public:
    /// \param role `gateway` or `agent`
    /// \param settings file that the platform writes
    process(std::string const& role, std::string settings)
        : role(role)
        , settings(std::move(settings))
    {
        this->start();
    }
    ~process()
    {
        this->kill();
    }
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void start()
    {
        this->child = fork();
        if (this->child != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = ::open((this->settings + ".out").c_str(),
                               O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        setenv("JUJUBESTAND_NODE_FILE", this->settings.c_str(), 1);
        execl("target/jujubestand_node", "target/jujubestand_node",
              this->role.c_str(), nullptr);
        _exit(127);
    }

    void signal(int number) const
    {
        if (this->child > 0)
            ::kill(this->child, number);
    }

    void kill()
    {
        if (this->child <= 0)
            return;
        ::kill(this->child, SIGKILL);
        waitpid(this->child, nullptr, 0);
        this->child = -1;
    }

    /// \brief Whether it still runs; if not, how it ended.
    bool is_running()
    {
        if (this->child <= 0)
            return false;
        int status = 0;
        if (waitpid(this->child, &status, WNOHANG) != this->child)
            return true;
        this->child = -1;
        this->end = WIFSIGNALED(status)
                        ? "signal " + std::to_string(WTERMSIG(status))
                        : "exit " + std::to_string(WEXITSTATUS(status));
        return false;
    }

    /// \brief Resident memory.
    [[nodiscard]] std::size_t memory_kb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->child) + "/status");
        for (std::string line; std::getline(file, line);)
        {
            if (line.starts_with("VmRSS:"))
                return std::stoul(line.substr(6));
        }
        return 0;
    }

    [[nodiscard]] std::string const& ended() const
    {
        return this->end;
    }

private:
    std::string role;
    std::string settings;
    std::string end;
    pid_t child = -1;
};

/// \brief Loopback addresses of this process alone.
inline std::string host(unsigned number)
{
    auto const id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + id / 256 % 250) + '.' +
           std::to_string(id % 256) + '.' + std::to_string(number);
}

/// \brief A stand-in that this program runs as a process of its own, so that it
/// can be killed.
class child
{
public:
    explicit child(std::vector<std::string> arguments)
    {
        this->id = fork();
        if (this->id != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::vector<char*> given;
        for (auto& argument : arguments)
            given.push_back(argument.data());
        given.push_back(nullptr);
        execv("/proc/self/exe", given.data());
        _exit(127);
    }
    ~child()
    {
        this->kill();
    }
    child(child const&) = delete;
    child& operator=(child const&) = delete;

    void kill()
    {
        if (this->id <= 0)
            return;
        ::kill(this->id, SIGKILL);
        waitpid(this->id, nullptr, 0);
        this->id = -1;
    }

private:
    pid_t id = -1;
};

inline std::string make_folder()
{
    char name[] = "/tmp/jujubestand-review-XXXXXX";
    if (mkdtemp(name) == nullptr)
        throw std::runtime_error("no temporary folder");
    return name;
}

/// \brief Bounds of a small deployment.
struct bounds
{
    unsigned memory_mb = 110;
    unsigned grace_s = 8;
    unsigned version_ms = 6'000;
};

inline std::string settings_head(std::string const& name,
                                 std::string const& machine_class,
                                 std::string const& ip, std::uint16_t port)
{
    return "node-name = \"" + name + "\"\nmachine-class = \"" + machine_class +
           "\"\nip = \"" + ip +
           "\"\nzone = \"almaty-a\"\nregion = \"kz-south\"\n"
           "internal-port-range = [" +
           std::to_string(port) + "," + std::to_string(port + 15) +
           "]\nbootstrap = true\nheartbeat-ms = 1200\n";
}

inline std::string settings_rest(endpoint const& store, bounds const& given)
{
    return "[zones]\nalmaty-a = \"kz-south\"\n[limits]\ncpu-share = 0.19\n"
           "cpu-cores = 1\nmemory-mb = " +
           std::to_string(given.memory_mb) +
           "\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
           "[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\n"
           "ack-timeout-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\n"
           "grace-s = " +
           std::to_string(given.grace_s) +
           "\nloss-slack-ms = 200\nconfig-apply-ms = 2000\n"
           "rollback-slack-ms = 250\nmax-stretch-ms = 5000\n"
           "strict-revoke = true\nrevoke-ms = 5000\n"
           "retry-budget-ratio = 0.2\nbudget-window-s = 10\n"
           "budget-slack = 54\nrecovery-s = 12\ntransit-ms = 120\n"
           "retry-after-s = 10\nfencing-required = true\nlease-ms = 3000\n"
           "thaw-slack-ms = 300\nversion-ms = " +
           std::to_string(given.version_ms) +
           "\nversion-all-ms = 8400\n[platform]\naddress = \"" +
           to_text(store) +
           "\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\n"
           "parts = 16\nappend-ms = 3.0\nkeep_s = 300\npart-mb = 200\n"
           "ttl-min-ms = 1000\n";
}

/// \brief Writes the settings of a gateway.
inline std::string
gateway_settings(std::string const& folder, std::string const& name,
                 endpoint const& front, std::uint16_t ready_port,
                 std::uint16_t internal_port, endpoint const& store,
                 bounds const& given = {})
{
    auto const path = folder + '/' + name + ".toml";
    std::ofstream(path) << settings_head(name, "front", front.host,
                                         internal_port)
                        << "serves = [\"front\"]\n[listen-addrs]\nfront = \""
                        << to_text(front) << "\"\nready = \"" << front.host
                        << ':' << ready_port << "\"\n"
                        << settings_rest(store, given);
    return path;
}

/// \brief Writes the settings of an agent beside a worker.
inline std::string
agent_settings(std::string const& folder, std::string const& name,
               endpoint const& worker, std::string const& service,
               std::uint16_t internal_port, endpoint const& store,
               bounds const& given = {})
{
    auto const path = folder + '/' + name + ".toml";
    std::ofstream(path) << settings_head(name, "side", worker.host,
                                         internal_port)
                        << "serves = [\"side\"]\napp = \"" << to_text(worker)
                        << "\"\nservice = \"" << service << "\"\n"
                        << settings_rest(store, given);
    return path;
}

/// \brief The record of a run: `record.txt` in the folder of the case.
class record
{
public:
    explicit record(std::string const& path)
        : file(path)
        , began(clock::now())
    {
    }

    void line(std::string const& text)
    {
        std::lock_guard const lock(this->mutex);
        this->file << std::chrono::duration_cast<milliseconds>(clock::now() -
                                                               this->began)
                          .count()
                   << " ms " << text << '\n'
                   << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    clock::time_point began;
};

inline bool is_troubled()
{
    char const* const given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

/// \brief Answer as a client sees it.
struct answer
{
    message got;
    bool has_head = false;
    clock::time_point sent_at;
    clock::time_point ended_at;
};

/// \brief Sends one request on a new connection and waits for its answer.
inline answer send_request(endpoint const& where, std::string const& start,
                           std::vector<field> fields, std::string const& body,
                           milliseconds limit)
{
    answer result;
    result.sent_at = clock::now();
    connection open(connect_to(where));
    if (open.native() < 0)
    {
        result.ended_at = clock::now();
        return result;
    }
    if (!start.starts_with("GET"))
        fields.push_back({"Content-Length", std::to_string(body.size())});
    open.write(head_of(start + " HTTP/1.1", fields) + body);
    result.has_head = open.read(result.got, true, result.sent_at + limit);
    result.ended_at = clock::now();
    return result;
}

inline bool wait_until(std::function<bool()> const& done, milliseconds limit)
{
    auto const end = clock::now() + limit;
    while (!done())
    {
        if (clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds{20});
    }
    return true;
}

/// \brief Waits until a gateway says that it is ready.
inline bool wait_ready(endpoint const& ready, milliseconds limit)
{
    return wait_until(
        [&]
        {
            return send_request(ready, "GET /ready", {{"Host", "ready"}}, "",
                                milliseconds{500})
                       .got.status() == 200;
        },
        limit);
}

} // namespace review

#endif
