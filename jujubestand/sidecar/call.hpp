#ifndef JUJUBESTAND_SIDECAR_CALL_HPP
#define JUJUBESTAND_SIDECAR_CALL_HPP

#include <cstdint>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/core/slot_map.hpp>
#include <jujubestand/core/time.hpp>
#include <jujubestand/http/client.hpp>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/link/node.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/streams/upstream_answer.hpp>
#include <optional>
#include <string>

namespace jujubestand::sidecar
{

/// \brief Address of one call at this sidecar.
using call_id = slot_id<struct call_tag>;

/// \brief How far a call has come.
enum class call_stage : std::uint8_t
{
    receiving, ///< its body is still coming
    claiming,  ///< its claim is not decided yet
    waiting,   ///< in the queue
    running,   ///< at the upstream
};

/// \brief Names of the stages.
inline constexpr std::array<enum_name<call_stage>, 4> call_stage_names{{
    {call_stage::receiving, "receiving"},
    {call_stage::claiming, "claiming"},
    {call_stage::waiting, "waiting"},
    {call_stage::running, "running"},
}};

/// \brief What is kept of an answer for the record of its call.
struct answer_record
{
    std::int32_t status = 0;
    std::string content_type;
    /// The start of the answer; the whole of it while it is small.
    std::string start;
    std::uint64_t bytes = 0;
    digest_stream sum;
};

/// \brief One attempt of a request, from its frames to its answer's last.
struct call
{
    link::stream_id stream;
    link::call message;
    std::string body;
    call_stage stage = call_stage::receiving;
    mono_time arrived{};
    mono_time deadline{};
    http::exchange_id exchange;
    /// When it went to the upstream.
    mono_time started{};
    bool has_head = false;
    std::optional<mono_time> output_since;
    streams::upstream_answer answer;
    bool is_paused = false;
    /// Set once its claim is won.
    std::optional<answer_record> record;
    /// Its entry or caller is gone; it runs on for the record's sake.
    bool is_detached = false;
    std::optional<loop::timer> deadline_timer;
};

} // namespace jujubestand::sidecar

#endif
