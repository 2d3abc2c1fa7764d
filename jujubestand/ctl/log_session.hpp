#ifndef JUJUBESTAND_CTL_LOG_SESSION_HPP
#define JUJUBESTAND_CTL_LOG_SESSION_HPP

#include <chrono>
#include <functional>
#include <jujubestand/config/fold.hpp>
#include <jujubestand/core/address.hpp>
#include <jujubestand/ctl/command.hpp>
#include <jujubestand/platform/log_client.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::ctl
{

/// \brief An edit that was decided, with the tables before and after it.
struct decided_edit
{
    config::edit_result result;
    wall_time appended{};
    config::tables after;
};

/// \brief The stream of the tables, read by a tool that waits for its end.
class log_session
{
public:
    /// \param service address of the log service
    /// \param timeout for each of the calls below
    log_session(address const& service, std::chrono::milliseconds timeout);
    ~log_session();
    log_session(log_session const&) = delete;
    log_session& operator=(log_session const&) = delete;
    log_session(log_session&&) = delete;
    log_session& operator=(log_session&&) = delete;

    /// \brief Reads up to the end of the stream.
    /// \returns `unreachable` if the log does not answer in time
    exit_code read_to_end(reason& why);

    /// \brief The tables and what is known of them.
    [[nodiscard]] config::fold const& known() const noexcept;

    /// \brief Edits that the log still keeps, oldest first.
    [[nodiscard]] std::vector<decided_edit> const& history() const noexcept;

    /// \brief Appends a record and waits until it is read back.
    /// \param nonce the record's own
    /// \returns `done` only for an accepted edit
    exit_code publish(std::string const& record, request_id nonce, reason& why);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::ctl

#endif
