#ifndef REVIEW_SUPPORT_2_RIG_HPP
#define REVIEW_SUPPORT_2_RIG_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// \brief Stand-ins for the scripts of this review: the platform's store, HTTP
/// servers and clients on loopback addresses, and processes of the project.
namespace review
{

using std::chrono::milliseconds;

/// \brief Milliseconds since the start of this program.
std::int64_t now_ms();

void sleep_for(milliseconds time);

/// \brief Sleeps until a time since the start of this program.
void sleep_until_ms(std::int64_t time_ms);

/// \brief Milliseconds since the epoch.
std::int64_t wall_ms();

/// \brief Lines of `record.txt`, each with the time since the start.
class record_file
{
public:
    explicit record_file(std::string const& path);
    void line(std::string const& text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// \brief The head and the body of a message.
struct message
{
    /// First line, without its line end.
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string const& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
    /// \brief A value of the query of the target.
    [[nodiscard]] std::string query(std::string const& name) const;
};

/// \brief A connected socket with what was read from it.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// \brief Reads a head. \returns false at the end
    bool read_head(message& into);
    /// \brief Reads a head and its body. \returns false at the end
    bool read_message(message& into, bool is_request);
    /// \brief Reads more bytes. \returns false at the end
    bool read_more(int timeout_ms = -1);
    bool write(std::string const& bytes);
    void reset();
    void close();
    /// \brief Whether the peer has closed or reset the connection.
    [[nodiscard]] bool has_left() const;
    [[nodiscard]] int socket() const
    {
        return this->descriptor;
    }

    std::string input;

private:
    bool read_chunks(std::string& body);
    int descriptor;
    int timeout = -1;
};

/// \brief A socket that listens, and a thread for each connection.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(std::string const& host, std::uint16_t port, handler serve);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return this->bound_port;
    }
    [[nodiscard]] std::string address() const;

private:
    void accept_all();

    std::string host;
    handler serve;
    int listener = -1;
    std::uint16_t bound_port = 0;
    std::atomic<bool> is_ending{false};
    std::mutex mutex;
    std::vector<std::shared_ptr<connection>> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/// \brief The platform's store.
class store
{
public:
    explicit store(std::string const& host);

    /// \brief Writes a keyed record; an empty value removes the key.
    void put(std::string const& topic, std::string const& key,
             std::string const& value);
    [[nodiscard]] std::string address() const;
    /// \brief Asked before each call; true: the call gets 503.
    std::function<bool(message const&, std::string const& peer)> refuses;
    /// \brief Asked for each append that was done; true: the answer is lost.
    std::function<bool(message const&)> loses_answer;
    /// \brief Value of a keyed record; empty if there is none.
    std::string value(std::string const& topic, std::string const& key);

private:
    struct row
    {
        std::string value;
        std::uint64_t offset = 0;
    };
    struct topic_log
    {
        std::vector<std::string> records;
        std::map<std::string, row> newest;
    };

    void serve(connection& peer);
    std::string newest(message const& asked);
    std::string read(message const& asked);
    std::string append(message const& asked);
    void add(std::string const& topic, std::string const& record);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic_log> topics;
    std::unique_ptr<server> listener;
};

/// \brief A process of the project, with its output in a file.
class process
{
public:
    process(std::vector<std::string> command, std::string settings_path,
            std::string output_path);
    ~process();
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    void signal(int number) const;
    /// \brief Waits for the end. \returns the status of `waitpid`, if it ended
    std::optional<int> wait(milliseconds limit);
    [[nodiscard]] bool is_running();
    [[nodiscard]] int id() const
    {
        return this->child;
    }

private:
    int child = -1;
    std::optional<int> status;
};

/// \brief An HTTP answer to a caller.
struct answer
{
    /// 0: none came.
    int status = 0;
    message head;
    /// All bytes that came of the body, without the framing of chunks.
    std::string body;
    /// The answer came whole, by its framing.
    bool is_whole = false;
    std::int64_t ended_ms = 0;
};

/// \brief Connects to an address. \returns empty if that failed
std::shared_ptr<connection> connect_to(std::string const& address,
                                       int timeout_ms = 1'000);

/// \brief Sends one request on a connection and reads its answer.
answer call(connection& open, std::string const& request, int timeout_ms);

/// \brief A request with `Host` and a length if there is a body.
std::string
request_text(std::string const& method, std::string const& target,
             std::vector<std::pair<std::string, std::string>> const& fields,
             std::string const& body);

/// \brief An answer with a length.
std::string
answer_text(std::string const& status,
            std::vector<std::pair<std::string, std::string>> const& fields,
            std::string const& body);

/// \brief Loopback addresses, free ports, settings and processes of a small
/// deployment. The first address is the store's.
class deployment
{
public:
    /// \param folder of the case, for `record.txt`
    explicit deployment(std::string const& folder);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    [[nodiscard]] std::string host(unsigned number) const;
    /// \brief Starts a gateway. \returns its number
    std::size_t start_gateway();
    void restart_gateway(std::size_t number);
    /// \brief Starts an agent beside a worker.
    std::unique_ptr<process> start_agent(std::string const& worker_address,
                                         std::string const& service);
    /// \brief Ends all gateways and removes the temporary folder.
    void clean();
    /// \brief Waits until all gateways say that they are ready.
    bool wait_ready(milliseconds limit);
    bool is_ready(std::size_t number);

    struct gateway
    {
        std::string host;
        std::string front;
        std::string ready;
        std::string settings;
        std::unique_ptr<process> running;
    };

    record_file record;
    review::store store;
    std::vector<gateway> gateways;
    /// Lines of `[bounds]`, by name.
    std::map<std::string, std::string> bounds;
    std::string memory_mb = "110";
    std::string descriptors = "4100";
    std::filesystem::path scratch;

private:
    [[nodiscard]] std::string settings_text(std::string const& name,
                                            std::string const& ip,
                                            std::string const& lines) const;

    std::uint16_t internal_port = 0;
    unsigned agents = 0;
};

/// \brief An order that a worker was sent.
struct engine_order
{
    std::int64_t at_ms = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t version = 0;
    int status = 0;
};

/// \brief A model worker: takes orders, reports, and answers each other request
/// by a function of the case.
class engine
{
public:
    using handler = std::function<void(message const&, connection&)>;

    engine(deployment& site, std::string const& id, unsigned host_number,
           std::string const& service, handler serve, std::uint16_t port = 0);

    /// \brief Writes its record with a higher `sequence`.
    void beat();
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::uint16_t port() const
    {
        return this->listener->port();
    }
    [[nodiscard]] std::uint64_t version();
    [[nodiscard]] std::vector<engine_order> orders();

    std::string id;
    std::string service;
    std::string software = "v1";
    std::string state = "ready";
    /// Orders with a lower fencing token than one before get 412.
    bool checks_fences = true;
    milliseconds load_time{400};

private:
    void serve_all(connection& peer);
    std::string report();
    std::string take_order(message const& asked);
    void settle();

    deployment& site;
    handler serve;
    std::mutex mutex;
    std::int64_t born_ms = wall_ms();
    std::uint64_t loaded = 1;
    std::uint64_t loading = 0;
    std::int64_t loaded_at_ms = 0;
    std::uint64_t sequence = 0;
    std::uint64_t beats = 0;
    std::uint64_t highest_fence = 0;
    std::vector<engine_order> taken;
    std::unique_ptr<server> listener;
};

/// \brief Whether the disruption is to be left out.
bool is_calm();

/// \brief Ends this program with the exit code of a script, with no
/// destructors of threads.
[[noreturn]] void finish(int code);

} // namespace review

#endif
