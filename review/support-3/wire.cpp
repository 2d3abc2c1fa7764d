#include "wire.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

sockaddr_in to_socket_address(address const& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.host.c_str(), &result.sin_addr);
    return result;
}

bool is_free(std::string const& host, std::uint16_t port, int type)
{
    int const made = ::socket(AF_INET, type, 0);
    auto const local = to_socket_address({host, port});
    bool const result = ::bind(made, reinterpret_cast<sockaddr const*>(&local),
                               sizeof local) == 0;
    ::close(made);
    return result;
}

void set_options(int descriptor)
{
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool write_all(int descriptor, std::string const& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        auto const count = ::send(descriptor, bytes.data() + done,
                                  bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

struct parsed_head
{
    std::string first_line;
    std::vector<field> fields;
};

parsed_head parse_head(std::string const& text)
{
    parsed_head result;
    std::size_t at = 0;
    while (at < text.size())
    {
        auto const end = text.find("\r\n", at);
        auto const line = text.substr(at, end - at);
        at = end + 2;
        auto const colon = line.find(':');
        if (result.first_line.empty())
            result.first_line = line;
        else if (colon != std::string::npos)
        {
            auto const value = line.find_first_not_of(" \t", colon + 1);
            result.fields.push_back(
                {line.substr(0, colon),
                 value == std::string::npos ? "" : line.substr(value)});
        }
    }
    return result;
}

std::string head_text(std::string const& first_line,
                      std::vector<field> const& fields)
{
    std::string result = first_line + "\r\n";
    for (auto const& one : fields)
        result += one.name + ": " + one.value + "\r\n";
    return result;
}

std::string status_line(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status";
}

std::string hexadecimal(std::size_t value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%zx", value);
    return text;
}

/// Reads from a socket until a time.
class input
{
public:
    input(int descriptor, steady::time_point until)
        : socket(descriptor)
        , end(until)
    {
    }

    std::string buffer;
    bool is_closed = false;

    bool fill()
    {
        auto const left =
            std::chrono::ceil<milliseconds>(this->end - steady::now());
        pollfd ready{this->socket, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&ready, 1, static_cast<int>(left.count())) <= 0)
            return false;
        char bytes[16384];
        auto const count = ::recv(this->socket, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            this->is_closed = count == 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

private:
    int socket;
    steady::time_point end;
};

using body_seen = std::function<bool(std::string const&)>;

bool pass(answer& to, std::string const& bytes, body_seen const& on_body)
{
    to.body += bytes;
    return bytes.empty() || !on_body || on_body(bytes);
}

bool read_chunks(input& from, answer& to, body_seen const& on_body)
{
    for (;;)
    {
        auto line_end = from.buffer.find("\r\n");
        while (line_end == std::string::npos)
        {
            if (!from.fill())
                return false;
            line_end = from.buffer.find("\r\n");
        }
        auto const size =
            std::stoul(from.buffer.substr(0, line_end), nullptr, 16);
        auto const whole = line_end + 2 + size + 2;
        while (from.buffer.size() < whole)
        {
            if (!from.fill())
                return false;
        }
        auto const bytes = from.buffer.substr(line_end + 2, size);
        from.buffer.erase(0, whole);
        if (size == 0)
            return true;
        if (!pass(to, bytes, on_body))
            return false;
    }
}

bool read_length(input& from, std::size_t size, answer& to,
                 body_seen const& on_body)
{
    while (to.body.size() < size)
    {
        if (from.buffer.empty() && !from.fill())
            return false;
        auto const bytes = from.buffer.substr(0, size - to.body.size());
        from.buffer.erase(0, bytes.size());
        if (!pass(to, bytes, on_body))
            return false;
    }
    return true;
}

bool read_to_close(input& from, answer& to, body_seen const& on_body)
{
    do
    {
        auto const bytes = std::exchange(from.buffer, {});
        if (!pass(to, bytes, on_body))
            return false;
    } while (from.fill());
    return from.is_closed;
}

void read_answer(input& from, answer& to, body_seen const& on_body)
{
    auto end = from.buffer.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!from.fill())
            return;
        end = from.buffer.find("\r\n\r\n");
    }
    auto const head = parse_head(from.buffer.substr(0, end + 2));
    from.buffer.erase(0, end + 4);
    to.status = std::atoi(head.first_line.substr(9, 3).c_str());
    to.fields = head.fields;
    auto const length = value_of(head.fields, "Content-Length");
    if (!value_of(head.fields, "Transfer-Encoding").empty())
        to.is_complete = read_chunks(from, to, on_body);
    else if (!length.empty())
        to.is_complete = read_length(from, std::stoul(length), to, on_body);
    else
        to.is_complete = read_to_close(from, to, on_body);
}

} // namespace

std::string to_text(address const& where)
{
    return where.host + ':' + std::to_string(where.port);
}

std::uint16_t free_port(std::vector<std::string> const& hosts)
{
    std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<unsigned> ports(20'000, 30'000);
    for (int attempt = 0; attempt < 1'000; ++attempt)
    {
        auto const port = static_cast<std::uint16_t>(ports(random));
        bool is_usable = true;
        for (auto const& host : hosts)
            is_usable = is_usable && is_free(host, port, SOCK_STREAM) &&
                        is_free(host, port, SOCK_DGRAM);
        if (is_usable)
            return port;
    }
    throw std::runtime_error("no free port");
}

std::string value_of(std::vector<field> const& fields, std::string const& name)
{
    for (auto const& one : fields)
    {
        if (::strcasecmp(one.name.c_str(), name.c_str()) == 0)
            return one.value;
    }
    return {};
}

std::string query_value(std::string const& target, std::string const& name)
{
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        auto const end = target.find('&', at + 1);
        auto const entry = target.substr(
            at + 1, end == std::string::npos ? end : end - at - 1);
        if (entry.rfind(name + '=', 0) == 0)
            return entry.substr(name.size() + 1);
        at = end;
    }
    return {};
}

std::string request::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

bool connection::fill()
{
    char bytes[16384];
    auto const count = ::recv(this->socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    this->input.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<request> connection::read()
{
    auto end = this->input.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!this->fill())
            return std::nullopt;
        end = this->input.find("\r\n\r\n");
    }
    auto const head = parse_head(this->input.substr(0, end + 2));
    this->input.erase(0, end + 4);
    request result;
    auto const space = head.first_line.find(' ');
    auto const next = head.first_line.find(' ', space + 1);
    result.method = head.first_line.substr(0, space);
    result.target = head.first_line.substr(space + 1, next - space - 1);
    result.fields = head.fields;
    auto const length = value_of(head.fields, "Content-Length");
    std::size_t const size = length.empty() ? 0 : std::stoul(length);
    while (this->input.size() < size)
    {
        if (!this->fill())
            return std::nullopt;
    }
    result.body = this->input.substr(0, size);
    this->input.erase(0, size);
    return result;
}

bool connection::write(std::string const& bytes)
{
    return write_all(this->socket, bytes);
}

bool connection::answer(int status, std::vector<field> const& fields,
                        std::string const& body)
{
    return this->write(head_text(status_line(status), fields) +
                       "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
}

bool connection::begin(int status, std::vector<field> const& fields)
{
    return this->write(head_text(status_line(status), fields) +
                       "Transfer-Encoding: chunked\r\n\r\n");
}

bool connection::chunk(std::string const& bytes)
{
    return this->write(hexadecimal(bytes.size()) + "\r\n" + bytes + "\r\n");
}

bool connection::end()
{
    return this->write("0\r\n\r\n");
}

bool connection::has_left() const
{
    char first = 0;
    auto const count = ::recv(this->socket, &first, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

server::~server()
{
    this->stop();
}

void server::start(address const& wanted, handler handle)
{
    this->stop();
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto local = to_socket_address(wanted);
    constexpr int backlog = 256;
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&local),
               sizeof local) != 0 ||
        ::listen(this->listener, backlog) != 0)
        throw std::runtime_error("cannot listen at " + to_text(wanted));
    socklen_t size = sizeof local;
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size);
    this->where = {wanted.host, ntohs(local.sin_port)};
    this->state = std::make_shared<shared>();
    this->state->handle = std::move(handle);
    this->acceptor = std::thread(
        [this, held = this->state, from = this->listener]
        {
            this->accept_all(held, from);
        });
}

void server::accept_all(std::shared_ptr<shared> const& held, int from) const
{
    for (;;)
    {
        int const made = ::accept4(from, nullptr, nullptr, SOCK_CLOEXEC);
        if (made < 0 && (errno == EINTR || errno == ECONNABORTED))
            continue;
        if (made < 0)
            return;
        std::lock_guard const lock(held->mutex);
        if (held->is_stopped)
        {
            ::close(made);
            return;
        }
        held->open.insert(made);
        std::thread(serve, held, made).detach();
    }
}

void server::serve(std::shared_ptr<shared> const& held, int descriptor)
{
    set_options(descriptor);
    connection peer(descriptor);
    while (!held->is_stopped)
    {
        auto const received = peer.read();
        if (!received || held->is_stopped)
            break;
        held->handle(*received, peer);
    }
    std::lock_guard const lock(held->mutex);
    held->open.erase(descriptor);
    ::close(descriptor);
}

void server::stop()
{
    if (!this->state)
        return;
    {
        std::lock_guard const lock(this->state->mutex);
        this->state->is_stopped = true;
        for (int const descriptor : this->state->open)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    this->state.reset();
}

address server::bound() const
{
    return this->where;
}

namespace
{

int connect_to(address const& where)
{
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const remote = to_socket_address(where);
    if (::connect(made, reinterpret_cast<sockaddr const*>(&remote),
                  sizeof remote) != 0)
    {
        ::close(made);
        return -1;
    }
    set_options(made);
    return made;
}

answer exchange(int descriptor, request const& sent, milliseconds limit,
                body_seen const& on_body)
{
    answer result;
    auto text =
        head_text(sent.method + ' ' + sent.target + " HTTP/1.1", sent.fields);
    if (sent.method == "POST")
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    // An answer may come before the whole body is written.
    (void)write_all(descriptor, text + "\r\n" + sent.body);
    input from(descriptor, steady::now() + limit);
    read_answer(from, result, on_body);
    return result;
}

} // namespace

answer call(address const& where, request const& sent, milliseconds limit,
            body_seen const& on_body)
{
    int const made = connect_to(where);
    if (made < 0)
        return {};
    auto const result = exchange(made, sent, limit, on_body);
    ::close(made);
    return result;
}

kept_connection::kept_connection(address const& where)
    : socket(connect_to(where))
{
}

kept_connection::~kept_connection()
{
    if (this->socket >= 0)
        ::close(this->socket);
}

answer kept_connection::call(request const& sent, milliseconds limit)
{
    return this->socket < 0 ? answer{}
                            : exchange(this->socket, sent, limit, {});
}

} // namespace review
