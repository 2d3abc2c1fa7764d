#ifndef JUJUBESTAND_PLATFORM_LOG_CLIENT_HPP
#define JUJUBESTAND_PLATFORM_LOG_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <jujubestand/core/event.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/platform/backoff.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <jujubestand/platform/log_budget.hpp>
#include <jujubestand/platform/log_record.hpp>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>
#include <vector>

namespace jujubestand::platform
{

/// \brief Reads an answer's body. \returns nothing with `why` set if it is
/// not an array of records with rising offsets
[[nodiscard]] std::optional<std::vector<log_record>>
unpack_records(std::string const& body, reason& why);

/// \brief What is known of an append.
enum class append_outcome : std::uint8_t
{
    done,    ///< it stands at the given offset
    refused, ///< it took no effect and never will
    unknown, ///< it may have taken effect, or may yet
};

/// \brief End of one append.
struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    log_offset offset;
    reason why;
};

/// \brief Called once with the end of an append, from the loop.
using append_callback = std::function<void(append_result const&)>;

/// \brief Address of one tail of a stream.
using tail_id = slot_id<struct tail_tag>;

/// \brief Where the log service is, and how patiently to speak to it.
struct log_client_options
{
    address service;
    log_budget_options budget;
    backoff_options backoff;
    std::chrono::milliseconds append_timeout{3'000};
    /// How long the service holds a read at the end of a stream.
    std::chrono::milliseconds poll_wait{10'000};
    std::uint32_t batch_records = 500;
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// \brief Appends to and reads streams of the platform's log.
class log_client
{
public:
    /// \param base the process's loop; must outlive the client
    /// \param http carries the requests; must outlive the client
    log_client(event_base* base, http_client& http, log_client_options options);
    ~log_client();
    log_client(log_client const&) = delete;
    log_client& operator=(log_client const&) = delete;
    log_client(log_client&&) = delete;
    log_client& operator=(log_client&&) = delete;

    /// \brief Starts an append of one record.
    /// \param done called once, from the loop
    /// \returns false, with `why` set, if the budget refuses it; `done` is not
    /// called then
    [[nodiscard]] bool append(std::string const& stream, append_kind kind,
                              std::string const& record, append_callback done,
                              reason& why);

    /// \brief Follows a stream from `from` on; 0 means from the oldest kept.
    tail_id tail(std::string const& stream, log_offset from);

    /// \brief Ends a tail; its signals stop.
    void stop(tail_id tail);

    /// \brief Goes on reading at `from`, at or beyond the tail's own place.
    void skip_to(tail_id tail, log_offset from);

    /// \brief Whether the last exchange with the service succeeded.
    [[nodiscard]] bool is_reachable() const noexcept;

    /// \brief Appends by kind, and the average answer time.
    [[nodiscard]] log_budget const& budget() const noexcept;

    /// \brief Records, or an empty batch at the end of the stream.
    sigc::signal<void(tail_id, log_batch const&)> received;
    /// \brief Records from the tail's place up to the given oldest kept one
    /// are gone; the tail goes on from there.
    sigc::signal<void(tail_id, log_offset)> gap;
    /// \brief The service became reachable, unreachable, or the budget spent.
    event_signal noted;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::platform

#endif
