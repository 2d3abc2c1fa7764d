#include "rig.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

auto const started_at = steady::now();

sockaddr_in address_of(std::string const& host, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &result.sin_addr);
    return result;
}

// 0 for text that is no number.
std::uint64_t number_of(std::string const& text, int base = 10)
{
    return std::strtoull(text.c_str(), nullptr, base);
}

std::pair<std::string, std::uint16_t> split_address(std::string const& text)
{
    auto const colon = text.find(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(number_of(text.substr(colon + 1)))};
}

std::string trimmed(std::string text)
{
    text.erase(0, text.find_first_not_of(" \t"));
    text.erase(text.find_last_not_of(" \t\r") + 1);
    return text;
}

bool same_name(std::string const& left, std::string const& right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string decoded(std::string const& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] == '%' && at + 2 < text.size())
        {
            result += static_cast<char>(number_of(text.substr(at + 1, 2), 16));
            at += 2;
        }
        else
            result += text[at];
    }
    return result;
}

std::string base64(std::string const& text)
{
    static char const* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        unsigned group = 0;
        std::size_t const count = std::min<std::size_t>(3, text.size() - at);
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U |
                    (byte < count ? static_cast<unsigned char>(text[at + byte])
                                  : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            result +=
                digit <= count ? letters[group >> (18 - 6 * digit) & 63U] : '=';
    }
    return result;
}

std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string result;
    for (unsigned at = bytes; at-- > 0;)
        result += static_cast<char>(value >> 8U * at & 0xffU);
    return result;
}

/// The program that the deploy file builds, or another build of it.
std::string program()
{
    char const* const other = getenv("NODE");
    return other != nullptr ? other : "target/jujubestand_node";
}

std::uint16_t free_port(std::string const& host)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto local = address_of(host, 0);
    socklen_t size = sizeof local;
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&local), size);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
    ::close(descriptor);
    return ntohs(local.sin_port);
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - started_at)
        .count();
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

void sleep_until_ms(std::int64_t time_ms)
{
    std::this_thread::sleep_until(started_at + milliseconds{time_ms});
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

record_file::record_file(std::string const& path)
    : file(path)
{
}

void record_file::line(std::string const& text)
{
    std::lock_guard const lock(this->mutex);
    this->file << now_ms() << ' ' << text << std::endl;
}

std::string message::field(std::string const& name) const
{
    for (auto const& [key, value] : this->fields)
    {
        if (same_name(key, name))
            return value;
    }
    return {};
}

std::string message::method() const
{
    return this->start.substr(0, this->start.find(' '));
}

std::string message::target() const
{
    auto const first = this->start.find(' ');
    auto const last = this->start.rfind(' ');
    return this->start.substr(first + 1, last - first - 1);
}

int message::status() const
{
    auto const first = this->start.find(' ');
    return first == std::string::npos
               ? 0
               : std::atoi(this->start.c_str() + first + 1);
}

std::string message::query(std::string const& name) const
{
    auto const whole = this->target();
    auto const mark = whole.find('?');
    if (mark == std::string::npos)
        return {};
    std::istringstream rest(whole.substr(mark + 1));
    for (std::string part; std::getline(rest, part, '&');)
    {
        if (part.starts_with(name + "="))
            return decoded(part.substr(name.size() + 1));
    }
    return {};
}

connection::connection(int descriptor)
    : descriptor(descriptor)
{
    int const on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    this->close();
}

bool connection::read_more(int timeout_ms)
{
    pollfd ready{this->descriptor, POLLIN, 0};
    if (this->descriptor < 0 || ::poll(&ready, 1, timeout_ms) <= 0)
        return false;
    std::string bytes(65'536, '\0');
    auto const got = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (got <= 0)
        return false;
    this->input.append(bytes, 0, static_cast<std::size_t>(got));
    return true;
}

bool connection::read_chunks(std::string& body)
{
    while (true)
    {
        std::size_t end = 0;
        while ((end = this->input.find("\r\n")) == std::string::npos)
        {
            if (!this->read_more(this->timeout))
                return false;
        }
        auto const size = number_of(this->input.substr(0, end), 16);
        while (this->input.size() < end + 2 + size + 2)
        {
            if (!this->read_more(this->timeout))
                return false;
        }
        body += this->input.substr(end + 2, size);
        this->input.erase(0, end + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

bool connection::read_head(message& into)
{
    into = message{};
    std::size_t end = 0;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos)
    {
        if (!this->read_more(this->timeout))
            return false;
    }
    std::istringstream head(this->input.substr(0, end));
    this->input.erase(0, end + 4);
    std::getline(head, into.start);
    into.start = trimmed(into.start);
    for (std::string line; std::getline(head, line);)
    {
        auto const colon = line.find(':');
        if (colon != std::string::npos)
            into.fields.emplace_back(trimmed(line.substr(0, colon)),
                                     trimmed(line.substr(colon + 1)));
    }
    return true;
}

bool connection::read_message(message& into, bool is_request)
{
    if (!this->read_head(into))
        return false;
    if (same_name(into.field("Transfer-Encoding"), "chunked"))
        return this->read_chunks(into.body);
    auto const length = into.field("Content-Length");
    if (length.empty())
    {
        if (is_request)
            return true;
        while (this->read_more(this->timeout))
        {
        }
        into.body = std::exchange(this->input, {});
        return true;
    }
    auto const size = number_of(length);
    while (this->input.size() < size)
    {
        if (!this->read_more(this->timeout))
            return false;
    }
    into.body = this->input.substr(0, size);
    this->input.erase(0, size);
    return true;
}

bool connection::write(std::string const& bytes)
{
    std::size_t at = 0;
    while (at < bytes.size())
    {
        auto const sent = ::send(this->descriptor, bytes.data() + at,
                                 bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        at += static_cast<std::size_t>(sent);
    }
    return true;
}

void connection::reset()
{
    linger const at_once{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof at_once);
    this->close();
}

void connection::close()
{
    if (this->descriptor >= 0)
        ::close(std::exchange(this->descriptor, -1));
}

bool connection::has_left() const
{
    char first = 0;
    auto const got =
        ::recv(this->descriptor, &first, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

server::server(std::string const& host, std::uint16_t port, handler serve)
    : host(host)
    , serve(std::move(serve))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto local = address_of(host, port);
    socklen_t size = sizeof local;
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&local), size) !=
            0 ||
        ::listen(this->listener, 512) != 0)
    {
        std::cerr << "cannot listen at " << host << '\n';
        finish(2);
    }
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size);
    this->bound_port = ntohs(local.sin_port);
    this->acceptor = std::thread(
        [this]
        {
            this->accept_all();
        });
}

// Threads are ended with the program by `finish`.
server::~server()
{
    this->is_ending = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        std::lock_guard const lock(this->mutex);
        for (auto const& peer : this->open)
            ::shutdown(peer->socket(), SHUT_RDWR);
    }
    for (auto& thread : this->threads)
        thread.join();
}

std::string server::address() const
{
    return this->host + ':' + std::to_string(this->bound_port);
}

void server::accept_all()
{
    while (!this->is_ending)
    {
        int const descriptor =
            ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        auto peer = std::make_shared<connection>(descriptor);
        std::lock_guard const lock(this->mutex);
        this->open.push_back(peer);
        this->threads.emplace_back(
            [this, peer]
            {
                this->serve(*peer);
                ::shutdown(peer->socket(), SHUT_RDWR);
            });
    }
}

store::store(std::string const& host)
{
    this->listener = std::make_unique<server>(host, 0,
                                              [this](connection& peer)
                                              {
                                                  this->serve(peer);
                                              });
}

std::string store::address() const
{
    return this->listener->address();
}

void store::add(std::string const& topic, std::string const& record)
{
    auto& log = this->topics[topic];
    if (topic.starts_with("keyed."))
    {
        auto const size = static_cast<unsigned char>(record.at(0));
        auto const key = record.substr(1, size);
        auto const value = record.substr(1 + size);
        if (value.empty())
            log.newest.erase(key);
        else
            log.newest[key] = {value, log.records.size()};
    }
    log.records.push_back(record);
}

void store::put(std::string const& topic, std::string const& key,
                std::string const& value)
{
    std::lock_guard const lock(this->mutex);
    this->add(topic, static_cast<char>(key.size()) + key + value);
    this->changed.notify_all();
}

std::string store::value(std::string const& topic, std::string const& key)
{
    std::lock_guard const lock(this->mutex);
    auto const& newest = this->topics[topic].newest;
    auto const found = newest.find(key);
    return found == newest.end() ? std::string{} : found->second.value;
}

void store::serve(connection& peer)
{
    sockaddr_in remote{};
    socklen_t size = sizeof remote;
    ::getpeername(peer.socket(), reinterpret_cast<sockaddr*>(&remote), &size);
    std::string host(INET_ADDRSTRLEN, '\0');
    inet_ntop(AF_INET, &remote.sin_addr, host.data(), INET_ADDRSTRLEN);
    host.resize(std::strlen(host.c_str()));
    for (message asked; peer.read_message(asked, true);)
    {
        auto const path = asked.target().substr(0, asked.target().find('?'));
        std::string reply;
        if (this->refuses && this->refuses(asked, host))
            reply = answer_text("503 Service Unavailable", {}, "{}");
        else if (path == "/log-newest")
            reply = this->newest(asked);
        else if (path == "/log-read")
            reply = this->read(asked);
        else if (path == "/log-append")
        {
            reply = this->append(asked);
            // A connection on which an answer is lost returns nothing more.
            if (this->loses_answer && this->loses_answer(asked))
            {
                while (peer.read_more())
                {
                }
                return;
            }
        }
        else
            reply = answer_text("404 Not Found", {}, "{}");
        if (!peer.write(reply))
            return;
    }
}

std::string store::newest(message const& asked)
{
    std::lock_guard const lock(this->mutex);
    auto const& log = this->topics[asked.query("topic")];
    json items = json::array();
    for (auto const& [key, found] : log.newest)
        items.push_back({{"key", key},
                         {"value", base64(found.value)},
                         {"offset", found.offset}});
    json const body{
        {"items", items}, {"has-more", false}, {"end", log.records.size()}};
    return answer_text(
        "200 OK", {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
        body.dump());
}

std::string store::read(message const& asked)
{
    auto const topic = asked.query("topic");
    auto const from = number_of("0" + asked.query("from"));
    milliseconds const wait{number_of("0" + asked.query("wait-ms"))};
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait,
                           [&]
                           {
                               return this->topics[topic].records.size() > from;
                           });
    auto const& records = this->topics[topic].records;
    if (from > records.size())
        return answer_text("410 Gone", {{"Store-Era", "1"}}, R"({"first":0})");
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto at = from; at < records.size(); ++at)
        body += big_endian(records[at].size(), 4) + records[at];
    return answer_text(
        "200 OK",
        {{"Content-Type", "application/octet-stream"}, {"Store-Era", "1"}},
        body);
}

std::string store::append(message const& asked)
{
    auto const topic = asked.query("topic");
    std::lock_guard const lock(this->mutex);
    auto const first = this->topics[topic].records.size();
    auto const at = asked.query("at");
    if (!at.empty() && number_of(at) != first)
        return answer_text("412 Precondition Failed", {{"Store-Era", "1"}},
                           json{{"end", first}}.dump());
    std::string const& body = asked.body;
    for (std::size_t position = 0; position + 4 <= body.size();)
    {
        std::size_t size = 0;
        for (std::size_t byte = 0; byte < 4; ++byte)
            size =
                size << 8U | static_cast<unsigned char>(body[position + byte]);
        this->add(topic, body.substr(position + 4, size));
        position += 4 + size;
    }
    this->changed.notify_all();
    json const result{{"offset", first},
                      {"end", this->topics[topic].records.size()}};
    return answer_text(
        "200 OK", {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
        result.dump());
}

process::process(std::vector<std::string> command, std::string settings_path,
                 std::string output_path)
{
    std::vector<char*> arguments;
    for (auto& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string variable = "JUJUBESTAND_NODE_FILE=" + settings_path;
    std::string path =
        std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "");
    std::vector<char*> environment{variable.data(), path.data(), nullptr};
    this->child = ::fork();
    if (this->child != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const output = ::open(output_path.c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), environment.data());
    ::_exit(127);
}

process::~process()
{
    if (!this->is_running())
        return;
    ::kill(this->child, SIGKILL);
    ::waitpid(this->child, nullptr, 0);
}

void process::signal(int number) const
{
    if (this->child > 0 && !this->status)
        ::kill(this->child, number);
}

std::optional<int> process::wait(milliseconds limit)
{
    auto const end = now_ms() + limit.count();
    while (this->is_running() && now_ms() < end)
        sleep_for(milliseconds{10});
    return this->status;
}

bool process::is_running()
{
    if (this->child <= 0 || this->status)
        return false;
    int ended = 0;
    if (::waitpid(this->child, &ended, WNOHANG) == this->child)
        this->status = ended;
    return !this->status;
}

std::shared_ptr<connection> connect_to(std::string const& address,
                                       int timeout_ms)
{
    auto const [host, port] = split_address(address);
    int const descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto peer = address_of(host, port);
    ::connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof peer);
    pollfd ready{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    bool const is_open =
        ::poll(&ready, 1, timeout_ms) == 1 &&
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0;
    if (!is_open)
    {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    return std::make_shared<connection>(descriptor);
}

answer call(connection& open, std::string const& request, int timeout_ms)
{
    answer result;
    open.write(request);
    auto const end = now_ms() + timeout_ms;
    auto const more = [&]
    {
        auto const left = end - now_ms();
        return left > 0 && open.read_more(static_cast<int>(left));
    };
    std::size_t size = 0;
    while ((size = open.input.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
        {
            result.ended_ms = now_ms();
            return result;
        }
    }
    message& head = result.head;
    open.read_head(head);
    result.status = head.status();
    auto const length = head.field("Content-Length");
    bool const is_chunked = !head.field("Transfer-Encoding").empty();
    while (true)
    {
        if (is_chunked)
        {
            auto const line = open.input.find("\r\n");
            if (line != std::string::npos)
            {
                auto const bytes = number_of(open.input.substr(0, line), 16);
                if (open.input.size() >= line + 2 + bytes + 2)
                {
                    result.body += open.input.substr(line + 2, bytes);
                    open.input.erase(0, line + 2 + bytes + 2);
                    if (bytes == 0)
                    {
                        result.is_whole = true;
                        break;
                    }
                    continue;
                }
            }
        }
        else if (!length.empty() && open.input.size() >= number_of(length))
        {
            result.body = open.input.substr(0, number_of(length));
            open.input.erase(0, number_of(length));
            result.is_whole = true;
            break;
        }
        if (!more())
        {
            result.is_whole = !is_chunked && length.empty();
            if (!is_chunked)
                result.body = std::exchange(open.input, {});
            break;
        }
    }
    result.ended_ms = now_ms();
    return result;
}

std::string
request_text(std::string const& method, std::string const& target,
             std::vector<std::pair<std::string, std::string>> const& fields,
             std::string const& body)
{
    std::string result = method + ' ' + target + " HTTP/1.1\r\n";
    for (auto const& [name, value] : fields)
        result += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST")
        result += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return result + "\r\n" + body;
}

std::string
answer_text(std::string const& status,
            std::vector<std::pair<std::string, std::string>> const& fields,
            std::string const& body)
{
    std::string result = "HTTP/1.1 " + status + "\r\n";
    for (auto const& [name, value] : fields)
        result += name + ": " + value + "\r\n";
    return result + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

deployment::deployment(std::string const& folder)
    : record(folder + "/record.txt")
    , store(this->host(1))
{
    std::signal(SIGPIPE, SIG_IGN);
    auto pattern =
        (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        finish(2);
    this->scratch = pattern;
    this->internal_port = free_port(this->host(10));
    this->bounds = {{"contact-ms", "3000"},
                    {"drain-ms", "2000"},
                    {"grace-s", "8"},
                    {"config-apply-ms", "2000"},
                    {"revoke-ms", "5000"},
                    {"retry-budget-ratio", "0.2"},
                    {"budget-window-s", "10"},
                    {"budget-slack", "54"},
                    {"fencing-required", "true"},
                    {"lease-ms", "3000"},
                    {"thaw-slack-ms", "300"},
                    {"version-ms", "6000"},
                    {"version-all-ms", "8400"}};
}

deployment::~deployment()
{
    this->clean();
}

void deployment::clean()
{
    this->gateways.clear();
    if (getenv("KEEP") == nullptr)
        std::filesystem::remove_all(this->scratch);
    else
        std::cerr << this->scratch << '\n';
}

// Scripts that run beside each other have addresses of their own.
std::string deployment::host(unsigned number) const
{
    auto const own = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + own / 250 % 250) + '.' +
           std::to_string(own % 250) + '.' + std::to_string(number);
}

std::string deployment::settings_text(std::string const& name,
                                      std::string const& ip,
                                      std::string const& lines) const
{
    auto const port = std::to_string(this->internal_port);
    std::string result = "node-name = \"" + name +
                         "\"\nzone = \"almaty-a\"\nregion = \"kz-south\"\n" +
                         "ip = \"" + ip + "\"\ninternal-port-range = [" + port +
                         ", " + port + "]\nheartbeat-ms = 1200\n" + lines +
                         "[limits]\nmemory-mb = " + this->memory_mb +
                         "\nmax-fds = " + this->descriptors +
                         "\nlink-mbps = 1000.0\n[bounds]\n";
    for (auto const& [key, value] : this->bounds)
        result += key + " = " + value + '\n';
    return result + "[platform]\naddress = \"" + this->store.address() +
           "\"\nform = \"log\"\n";
}

std::size_t deployment::start_gateway()
{
    auto const number = this->gateways.size();
    auto& made = this->gateways.emplace_back();
    made.host = this->host(20 + static_cast<unsigned>(number));
    made.front = made.host + ':' + std::to_string(free_port(made.host));
    do
        made.ready = made.host + ':' + std::to_string(free_port(made.host));
    while (made.ready == made.front);
    auto const name = "front-" + std::to_string(number);
    made.settings = (this->scratch / (name + ".toml")).string();
    std::ofstream(made.settings)
        << this->settings_text(name, made.host,
                               "[listen-addrs]\nfront = \"" + made.front +
                                   "\"\nready = \"" + made.ready + "\"\n");
    this->restart_gateway(number);
    return number;
}

void deployment::restart_gateway(std::size_t number)
{
    auto& found = this->gateways[number];
    found.running = std::make_unique<process>(
        std::vector<std::string>{program(), "gateway"}, found.settings,
        found.settings + ".out");
}

std::unique_ptr<process>
deployment::start_agent(std::string const& worker_address,
                        std::string const& service)
{
    auto const name = "side-" + std::to_string(this->agents++);
    auto const path = (this->scratch / (name + ".toml")).string();
    std::ofstream(path) << this->settings_text(
        name, split_address(worker_address).first,
        "app = \"" + worker_address + "\"\nservice = \"" + service + "\"\n");
    return std::make_unique<process>(
        std::vector<std::string>{program(), "agent"}, path, path + ".out");
}

bool deployment::is_ready(std::size_t number)
{
    auto const open = connect_to(this->gateways[number].ready, 300);
    if (!open)
        return false;
    return call(*open, request_text("GET", "/ready", {{"Host", "x"}}, {}), 500)
               .status == 200;
}

bool deployment::wait_ready(milliseconds limit)
{
    auto const end = now_ms() + limit.count();
    for (std::size_t number = 0; number < this->gateways.size(); ++number)
    {
        while (!this->is_ready(number))
        {
            if (now_ms() > end)
                return false;
            sleep_for(milliseconds{50});
        }
    }
    return true;
}

engine::engine(deployment& site, std::string const& id, unsigned host_number,
               std::string const& service, handler serve, std::uint16_t port)
    : id(id)
    , service(service)
    , site(site)
    , serve(std::move(serve))
{
    this->listener = std::make_unique<server>(site.host(host_number), port,
                                              [this](connection& peer)
                                              {
                                                  this->serve_all(peer);
                                              });
}

std::string engine::address() const
{
    return this->listener->address();
}

void engine::beat()
{
    std::lock_guard const lock(this->mutex);
    this->settle();
    json const model{
        {"name", "m1"}, {"version", this->loaded}, {"adapters", json::array()}};
    json const record{{"service", this->service},
                      {"address", this->address()},
                      {"zone", "almaty-a"},
                      {"version", this->software},
                      {"slots", 64},
                      {"state", this->state},
                      {"cold-remaining-ms", 0},
                      {"stage", "both"},
                      {"born", this->born_ms},
                      {"models", json::array({model})},
                      {"sequence", ++this->beats}};
    this->site.store.put("keyed.servers", this->id, record.dump());
}

std::uint64_t engine::version()
{
    std::lock_guard const lock(this->mutex);
    this->settle();
    return this->loaded;
}

std::vector<engine_order> engine::orders()
{
    std::lock_guard const lock(this->mutex);
    return this->taken;
}

void engine::settle()
{
    if (this->loading != 0 && now_ms() >= this->loaded_at_ms)
        this->loaded = std::exchange(this->loading, 0);
}

std::string engine::report()
{
    std::lock_guard const lock(this->mutex);
    this->settle();
    json const model{
        {"name", "m1"}, {"version", this->loaded}, {"adapters", json::array()}};
    json const body{{"stage", "both"},
                    {"models", json::array({model})},
                    {"busy", this->loading != 0},
                    {"sequence", this->sequence},
                    {"queued", 0},
                    {"active", 0},
                    {"kv-used", 0},
                    {"kv-total", 95'939},
                    {"handles", 0},
                    {"born", this->born_ms},
                    {"runs", json::array()}};
    return answer_text("200 OK", {{"Content-Type", "application/json"}},
                       body.dump());
}

std::string engine::take_order(message const& asked)
{
    auto const body = json::parse(asked.body, nullptr, false);
    std::lock_guard const lock(this->mutex);
    this->settle();
    engine_order order;
    order.at_ms = now_ms();
    order.holder = body.value("holder", "");
    order.fence = body.value("fencing-token", std::uint64_t{0});
    order.version = body.value("version", std::uint64_t{0});
    auto const expected = asked.field("X-Expect-Instance");
    if (!expected.empty() && expected != this->id)
        order.status = 421;
    else if (this->checks_fences && order.fence < this->highest_fence)
        order.status = 412;
    else if (this->loading != 0 ||
             (body.contains("expect") &&
              body.value("expect", std::uint64_t{0}) != this->sequence))
        order.status = 409;
    else if (order.version <= this->loaded)
        order.status = 200;
    else
    {
        order.status = 202;
        ++this->sequence;
        this->loading = order.version;
        this->loaded_at_ms = now_ms() + this->load_time.count();
    }
    if (order.status != 421)
        this->highest_fence = std::max(this->highest_fence, order.fence);
    this->taken.push_back(order);
    this->site.record.line("worker " + this->id +
                           " order holder=" + order.holder +
                           " fence=" + std::to_string(order.fence) +
                           " version=" + std::to_string(order.version) +
                           " status=" + std::to_string(order.status));
    return answer_text(std::to_string(order.status) + " Order", {}, "{}");
}

void engine::serve_all(connection& peer)
{
    for (message asked; peer.read_message(asked, true);)
    {
        auto const target = asked.target();
        std::string reply;
        if (target == "/report")
            reply = this->report();
        else if (target == "/order")
            reply = this->take_order(asked);
        else if (target.starts_with("/kv-events"))
        {
            auto const until =
                now_ms() +
                static_cast<std::int64_t>(number_of(asked.field("Wait-Ms")));
            while (now_ms() < until && !peer.has_left())
                sleep_for(milliseconds{20});
            reply = answer_text(
                "200 OK", {{"Content-Type", "application/json"}},
                R"({"boot-epoch":7,"next":1,"lost":false,"events":[]})");
        }
        else if (target == "/kv-list")
            reply =
                answer_text("200 OK", {{"Content-Type", "application/json"}},
                            R"({"boot-epoch":7,"next":1,"held":[]})");
        else
        {
            this->serve(asked, peer);
            if (peer.socket() < 0)
                return;
            continue;
        }
        if (!peer.write(reply))
            return;
    }
}

bool is_calm()
{
    char const* const trouble = getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

void finish(int code)
{
    std::cout.flush();
    std::cerr.flush();
    ::_exit(code);
}

} // namespace review
