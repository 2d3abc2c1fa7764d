#ifndef JUJUBESTAND_REVIEW_HTTP_HPP
#define JUJUBESTAND_REVIEW_HTTP_HPP

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// \brief Blocking HTTP/1.1 for the stand-ins of the review: one thread for
/// each connection, no libraries.
namespace review
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

struct endpoint
{
    std::string host;
    std::uint16_t port = 0;
};

inline std::string to_text(endpoint const& where)
{
    return where.host + ':' + std::to_string(where.port);
}

struct field
{
    std::string name;
    std::string value;
};

struct message
{
    /// Request line or status line.
    std::string start;
    std::vector<field> fields;
    std::string body;
    /// The body came to its end by length or chunks.
    bool is_whole = false;

    [[nodiscard]] std::string get(char const* name) const
    {
        for (auto const& row : this->fields)
        {
            if (strcasecmp(row.name.c_str(), name) == 0)
                return row.value;
        }
        return {};
    }
    [[nodiscard]] bool has(char const* name) const
    {
        return std::any_of(this->fields.begin(), this->fields.end(),
                           [name](field const& row)
                           {
                               return strcasecmp(row.name.c_str(), name) == 0;
                           });
    }
    [[nodiscard]] std::string method() const
    {
        return this->start.substr(0, this->start.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        auto const first = this->start.find(' ') + 1;
        return this->start.substr(first, this->start.find(' ', first) - first);
    }
    [[nodiscard]] std::string path() const
    {
        auto const all = this->target();
        return all.substr(0, all.find('?'));
    }
    [[nodiscard]] std::string query(std::string const& name) const
    {
        auto const all = this->target();
        auto at = all.find('?');
        while (at != std::string::npos)
        {
            auto const end = all.find('&', at + 1);
            auto const pair = all.substr(
                at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.starts_with(name + '='))
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
    [[nodiscard]] int status() const
    {
        return this->start.size() < 12 ? 0 : std::atoi(&this->start[9]);
    }
};

inline sockaddr_in to_sockaddr(endpoint const& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.host.c_str(), &result.sin_addr);
    return result;
}

/// \brief A connection, read and written by one thread.
class connection
{
public:
    explicit connection(int descriptor)
        : descriptor(descriptor)
    {
        int const on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty())
        {
            auto const sent = ::send(this->descriptor, bytes.data(),
                                     bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// \brief Closes with a reset instead of an orderly end.
    void reset()
    {
        linger const now{1, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(this->descriptor);
        this->descriptor = -1;
    }

    /// \brief Reads one message; false: the connection ended before its head
    /// was there, or time ran out. `is_whole` says whether the body came whole.
    bool read(message& into, bool is_response, clock::time_point until)
    {
        into = message{};
        std::size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos)
        {
            if (!this->fill(until))
                return false;
        }
        parse_head(this->input.substr(0, end), into);
        this->input.erase(0, end + 4);
        if (strcasecmp(into.get("Transfer-Encoding").c_str(), "chunked") == 0)
            this->read_chunks(into, until);
        else if (into.has("Content-Length"))
            this->read_length(into, std::stoul(into.get("Content-Length")),
                              until);
        else if (is_response)
        {
            while (this->fill(until))
            {
            }
            into.body = std::exchange(this->input, {});
            into.is_whole = true;
        }
        else
            into.is_whole = true;
        return true;
    }

    /// \brief Whether the peer has closed.
    [[nodiscard]] bool has_left() const
    {
        char first = 0;
        auto const got = recv(this->descriptor, &first, sizeof first,
                              MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
    }

    [[nodiscard]] int native() const
    {
        return this->descriptor;
    }

private:
    bool fill(clock::time_point until)
    {
        auto const left =
            std::chrono::duration_cast<milliseconds>(until - clock::now())
                .count();
        if (left <= 0)
            return false;
        pollfd waited{this->descriptor, POLLIN, 0};
        if (::poll(&waited, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65'536];
        auto const got = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (got <= 0)
            return false;
        this->input.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    static void parse_head(std::string const& head, message& into)
    {
        std::size_t at = head.find("\r\n");
        into.start = head.substr(0, at);
        while (at != std::string::npos)
        {
            auto const next = head.find("\r\n", at + 2);
            auto const line = head.substr(
                at + 2, next == std::string::npos ? next : next - at - 2);
            auto const colon = line.find(':');
            if (colon != std::string::npos)
            {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                into.fields.push_back({line.substr(0, colon), value});
            }
            at = next;
        }
    }

    void read_length(message& into, std::size_t size, clock::time_point until)
    {
        while (this->input.size() < size && this->fill(until))
        {
        }
        into.is_whole = this->input.size() >= size;
        auto const taken = std::min(size, this->input.size());
        into.body = this->input.substr(0, taken);
        this->input.erase(0, taken);
    }

    void read_chunks(message& into, clock::time_point until)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = this->input.find("\r\n")) == std::string::npos)
            {
                if (!this->fill(until))
                    return;
            }
            std::size_t const size =
                std::stoul(this->input.substr(0, end), nullptr, 16);
            while (this->input.size() < end + 2 + size + 2)
            {
                if (!this->fill(until))
                    return;
            }
            into.body += this->input.substr(end + 2, size);
            this->input.erase(0, end + 2 + size + 2);
            if (size == 0)
            {
                into.is_whole = true;
                return;
            }
        }
    }

    int descriptor = -1;
    std::string input;
};

inline std::string head_of(std::string const& start,
                           std::vector<field> const& fields)
{
    std::string result = start + "\r\n";
    for (auto const& row : fields)
        result += row.name + ": " + row.value + "\r\n";
    return result + "\r\n";
}

inline std::string response(std::string const& status,
                            std::vector<field> fields, std::string const& body)
{
    fields.push_back({"Content-Length", std::to_string(body.size())});
    return head_of("HTTP/1.1 " + status, fields) + body;
}

/// \brief A server; `handle` answers one request and says whether the
/// connection is kept.
class server
{
public:
    using handler = std::function<bool(connection&, message const&)>;

    server(endpoint where, handler handle)
        : where(std::move(where))
        , handle(std::move(handle))
    {
        this->start();
    }

    [[nodiscard]] endpoint const& bound() const
    {
        return this->where;
    }

    /// \brief Ends as the kernel ends the sockets of a process that crashes.
    void crash()
    {
        std::lock_guard const lock(this->mutex);
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        for (int const descriptor : this->open)
            ::shutdown(descriptor, SHUT_RDWR);
        ++this->starts;
    }

    /// \brief Listens, again after a crash at the same address.
    void start()
    {
        int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto local = to_sockaddr(this->where);
        socklen_t size = sizeof local;
        if (::bind(made, reinterpret_cast<sockaddr*>(&local), size) != 0 ||
            ::listen(made, 512) != 0)
            throw std::runtime_error("cannot listen at " +
                                     to_text(this->where));
        getsockname(made, reinterpret_cast<sockaddr*>(&local), &size);
        this->where.port = ntohs(local.sin_port);
        std::lock_guard const lock(this->mutex);
        this->listener = made;
        std::thread(
            [this, made, of = this->starts]
            {
                this->accept_all(made, of);
            })
            .detach();
    }

private:
    bool add(int descriptor, unsigned of)
    {
        std::lock_guard const lock(this->mutex);
        if (of != this->starts)
            return false;
        this->open.push_back(descriptor);
        return true;
    }

    void remove(int descriptor)
    {
        std::lock_guard const lock(this->mutex);
        std::erase(this->open, descriptor);
    }

    void accept_all(int from, unsigned of)
    {
        for (;;)
        {
            int const accepted =
                ::accept4(from, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0 && errno != EINTR && errno != ECONNABORTED)
                return;
            if (accepted < 0)
                continue;
            std::thread(
                [this, accepted, of]
                {
                    connection peer(accepted);
                    if (!this->add(accepted, of))
                        return;
                    message request;
                    while (peer.read(request, false,
                                     clock::now() + std::chrono::minutes(5)) &&
                           request.is_whole && this->handle(peer, request))
                    {
                    }
                    this->remove(accepted);
                })
                .detach();
        }
    }

    endpoint where;
    handler handle;
    std::mutex mutex;
    int listener = -1;
    unsigned starts = 0;
    std::vector<int> open;
};

/// \brief Connects; -1 if that fails.
inline int connect_to(endpoint const& where)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const remote = to_sockaddr(where);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&remote),
                  sizeof remote) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

inline std::uint16_t free_port(std::string const& host)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto local = to_sockaddr({host, 0});
    socklen_t size = sizeof local;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&local), size) != 0)
        throw std::runtime_error("no free port at " + host);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
    ::close(descriptor);
    return ntohs(local.sin_port);
}

} // namespace review

#endif
