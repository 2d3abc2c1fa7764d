#ifndef JUJUBESTAND_ENTRY_CALL_HPP
#define JUJUBESTAND_ENTRY_CALL_HPP

#include <cstdint>
#include <jujubestand/config/tables.hpp>
#include <jujubestand/core/address.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/entry/intake.hpp>
#include <jujubestand/http/server.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/placement/placement.hpp>
#include <jujubestand/quarantine/evidence.hpp>
#include <jujubestand/streams/receiver.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::entry
{

/// \brief Address of one caller's request under way.
using call_id = slot_id<struct call_tag>;

/// \brief An upstream as the entry can reach it.
struct upstream_place
{
    upstream_id upstream;
    data_centre_id data_centre;
    address link;
    bool is_leaving = false;
};

/// \brief One try of a request at one upstream.
struct attempt
{
    upstream_id upstream;
    address link;
    link::stream_id stream;
    mono_time started{};
    /// Times that the answer was asked for again after a broken link.
    std::uint32_t resumes = 0;
    std::optional<mono_time> output_since;
    /// Its engine has written so long on it that it doesn't crash by it.
    bool has_survived = false;
};

/// \brief A question to a sidecar that has not been answered.
struct open_probe
{
    upstream_id upstream;
    link::stream_id stream;
    mono_time sent_at{};
};

/// \brief The questions of one choice and the answers so far.
struct probing
{
    std::vector<open_probe> open;
    std::vector<placement::probe_outcome> replies;
    std::optional<loop::timer> timer;
};

/// \brief What the caller has been sent so far.
struct relay_state
{
    std::optional<link::head> head;
    streams::receiver received;
    /// An answer that is still held back, so that it can be refused whole.
    std::string held;
    /// Status and first bytes have gone to the caller.
    bool is_started = false;
    /// The first bytes of the answer have come, by any attempt.
    bool has_first_token = false;
    /// Received bytes that the stream's window was not given back for.
    std::size_t unconsumed_bytes = 0;
};

/// \brief A caller's request from intake to its last byte.
struct call
{
    http::caller_id caller;
    accepted request;
    std::string body;
    mono_time arrived{};
    mono_time deadline{};
    std::optional<attempt> current;
    std::optional<probing> probes;
    std::vector<upstream_id> tried;
    std::vector<quarantine::suspect_key> suspects;
    relay_state relay;
    /// Worst over all attempts so far.
    verdict outcome = verdict::not_run;
    reason why;
    std::uint64_t retry_after_us = 0;
    std::optional<loop::timer> deadline_timer;
    std::optional<loop::timer> retry_timer;
    std::optional<loop::timer> resume_timer;
};

} // namespace jujubestand::entry

#endif
