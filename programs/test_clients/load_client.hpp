#ifndef JUJUBESTAND_PROGRAMS_TEST_CLIENTS_LOAD_CLIENT_HPP
#define JUJUBESTAND_PROGRAMS_TEST_CLIENTS_LOAD_CLIENT_HPP

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http1/sockets.hpp>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubestand::programs::test
{

/// \brief What a client sends and how: a beginning, then a part that is
/// repeated until `total_bytes` are sent. It stays open after that.
struct client_script
{
    std::string beginning;
    std::string repeated;
    std::size_t total_bytes = 0;
    /// Bytes in one write.
    std::size_t piece_bytes = 65'536;
    /// Between two writes.
    std::chrono::milliseconds pause{0};
    /// Bytes that are read between two writes; 0: nothing is read.
    std::size_t read_bytes = 0;
};

/// \brief Script that sends a text once.
inline client_script script_of(std::string text)
{
    client_script result;
    result.total_bytes = text.size();
    result.beginning = std::move(text);
    return result;
}

/// \brief A misbehaving client on a socket that never blocks.
class load_client
{
public:
    load_client(address const& where,
                std::shared_ptr<client_script const> chosen)
        : script(std::move(chosen))
        , socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        constexpr int window_bytes = 4'096;
        if (this->script->read_bytes > 0 || this->script->pause.count() > 0)
            ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &window_bytes,
                         sizeof window_bytes);
        auto const peer = *http1::to_sockaddr(where);
        int const result =
            ::connect(this->socket, reinterpret_cast<sockaddr const*>(&peer),
                      sizeof peer);
        this->is_over = result != 0 && errno != EINPROGRESS;
    }

    ~load_client()
    {
        ::close(this->socket);
    }

    load_client(load_client const&) = delete;
    load_client& operator=(load_client const&) = delete;
    load_client(load_client&&) = delete;
    load_client& operator=(load_client&&) = delete;

    /// \brief Sends what is due and what the kernel has room for: one piece, or
    /// several if there is no pause between them.
    /// \returns whether bytes were sent
    bool step(mono_time now)
    {
        constexpr int pieces_limit = 16;
        if (this->is_over || now < this->next_at)
            return false;
        this->next_at = now + this->script->pause;
        this->read();
        bool has_sent = false;
        int const pieces = this->script->pause.count() > 0 ? 1 : pieces_limit;
        for (int count = 0; count < pieces && this->send_piece(); ++count)
            has_sent = true;
        return has_sent;
    }

private:
    [[nodiscard]] std::string_view next_piece() const
    {
        auto const& plan = *this->script;
        auto const left =
            std::min(plan.piece_bytes, plan.total_bytes - this->sent);
        if (this->sent < plan.beginning.size())
            return std::string_view(plan.beginning).substr(this->sent, left);
        auto const at =
            (this->sent - plan.beginning.size()) % plan.repeated.size();
        return std::string_view(plan.repeated).substr(at, left);
    }

    bool send_piece()
    {
        if (this->sent == this->script->total_bytes)
            return false;
        auto const piece = this->next_piece();
        auto const count =
            ::send(this->socket, piece.data(), piece.size(), MSG_NOSIGNAL);
        if (count > 0)
            this->sent += static_cast<std::size_t>(count);
        else if (errno != EAGAIN && errno != ENOTCONN)
            this->is_over = true;
        return count > 0;
    }

    void read()
    {
        std::array<char, 4'096> bytes{};
        auto const wanted = std::min(bytes.size(), this->script->read_bytes);
        if (wanted > 0 && ::recv(this->socket, bytes.data(), wanted, 0) == 0)
            this->is_over = true;
    }

    std::shared_ptr<client_script const> script;
    int socket;
    std::size_t sent = 0;
    mono_time next_at{};
    bool is_over = false;
};

} // namespace jujubestand::programs::test

#endif
