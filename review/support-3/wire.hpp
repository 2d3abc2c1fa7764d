#ifndef REVIEW_SUPPORT_3_WIRE_HPP
#define REVIEW_SUPPORT_3_WIRE_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// HTTP/1.1 over blocking sockets, for the stand-ins of the review.
namespace review
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

struct address
{
    std::string host;
    std::uint16_t port = 0;
};

[[nodiscard]] std::string to_text(address const& where);

/// \brief A TCP and UDP port that is free at all of these hosts.
[[nodiscard]] std::uint16_t free_port(std::vector<std::string> const& hosts);

struct field
{
    std::string name;
    std::string value;
};

/// \brief Value of the first field of a name; empty if there is none.
[[nodiscard]] std::string value_of(std::vector<field> const& fields,
                                   std::string const& name);

/// \brief Value of a name in a query.
[[nodiscard]] std::string query_value(std::string const& target,
                                      std::string const& name);

struct request
{
    std::string method;
    std::string target;
    std::vector<field> fields;
    std::string body;

    [[nodiscard]] std::string path() const;
};

/// \brief One connection that a server has accepted.
class connection
{
public:
    explicit connection(int descriptor)
        : socket(descriptor)
    {
    }

    /// \brief Reads the next request; nothing once the peer has closed.
    std::optional<request> read();

    /// \brief Writes bytes; false once the connection is broken.
    bool write(std::string const& bytes);

    /// \brief Writes an answer with a length.
    bool answer(int status, std::vector<field> const& fields,
                std::string const& body);

    /// \brief Writes the head of an answer in chunks.
    bool begin(int status, std::vector<field> const& fields);
    bool chunk(std::string const& bytes);
    bool end();

    /// \brief Whether the peer has closed the connection.
    [[nodiscard]] bool has_left() const;

private:
    int socket;
    std::string input;

    bool fill();
};

/// \brief A server with a thread for each connection.
class server
{
public:
    using handler = std::function<void(request const&, connection&)>;

    server() = default;
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    /// \brief Listens; throws if the address is taken.
    void start(address const& where, handler handle);

    /// \brief Closes the listener and all connections, as the end of a process
    /// does.
    void stop();

    [[nodiscard]] address bound() const;

private:
    struct shared
    {
        std::mutex mutex;
        std::set<int> open;
        std::atomic<bool> is_stopped{false};
        handler handle;
    };

    static void serve(std::shared_ptr<shared> const& state, int descriptor);
    void accept_all(std::shared_ptr<shared> const& state, int listener) const;

    std::shared_ptr<shared> state;
    std::thread acceptor;
    int listener = -1;
    address where;
};

struct answer
{
    /// 0: no head came.
    int status = 0;
    std::vector<field> fields;
    std::string body;
    /// The body came whole, by its length or its last chunk.
    bool is_complete = false;
};

/// \brief Sends one request on a connection of its own.
/// \param on_body called with each piece of the body; returns whether to go on
[[nodiscard]] answer
call(address const& where, request const& sent, milliseconds limit,
     std::function<bool(std::string const&)> const& on_body = {});

/// \brief A connection of a consumer that is kept for many requests.
class kept_connection
{
public:
    explicit kept_connection(address const& where);
    ~kept_connection();
    kept_connection(kept_connection const&) = delete;
    kept_connection& operator=(kept_connection const&) = delete;

    /// \brief Sends a request; its answer has a length.
    [[nodiscard]] answer call(request const& sent, milliseconds limit);

private:
    int socket = -1;
};

} // namespace review

#endif
