#ifndef JUJUBESTAND_LINK_MESSAGES_HPP
#define JUJUBESTAND_LINK_MESSAGES_HPP

#include <cstdint>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/core/hybrid_time.hpp>
#include <jujubestand/core/ids.hpp>
#include <jujubestand/core/reason.hpp>
#include <jujubestand/core/verdict.hpp>
#include <jujubestand/link/frame.hpp>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace jujubestand::link
{

/// \brief One header field of a caller's request or an upstream's answer.
struct header
{
    std::string name;
    std::string value;

    MSGPACK_DEFINE_ARRAY(name, value)
};

/// \brief Entry to sidecar: what would this request find at the upstream?
struct probe
{
    static constexpr frame_kind kind = frame_kind::probe;

    request_id request;
    pool_id pool;
    team_id team;
    model_id model;
    std::string adapter;
    /// Hashes of the prefix chain's levels, outermost first (128 bits each
    /// as two words).
    std::vector<std::uint64_t> chain_high;
    std::vector<std::uint64_t> chain_low;
    /// Tokens of the prompt up to the end of each level.
    std::vector<std::uint32_t> chain_tokens;
    std::uint8_t priority = 0;

    MSGPACK_DEFINE_ARRAY(request, pool, team, model, adapter, chain_high,
                         chain_low, chain_tokens, priority)
};

/// \brief Sidecar to entry: what the upstream offers.
struct probe_reply
{
    static constexpr frame_kind kind = frame_kind::probe_reply;

    upstream_id upstream;
    incarnation_id incarnation;
    bool leaving = false;
    bool ready = false;
    std::string role;
    std::string weights_version;
    std::vector<std::string> adapters;
    std::uint32_t cached_tokens = 0;
    std::uint32_t queued_tokens = 0;
    std::uint32_t queued_requests = 0;
    std::uint32_t running_requests = 0;
    std::uint32_t slots = 0;
    /// Expected wait before the engine begins this request.
    std::uint64_t queue_wait_us = 0;
    double prefill_us_per_token = 0;
    /// Time since the engine came back empty.
    std::uint64_t engine_age_us = 0;
    log_offset tables;

    MSGPACK_DEFINE_ARRAY(upstream, incarnation, leaving, ready, role,
                         weights_version, adapters, cached_tokens,
                         queued_tokens, queued_requests, running_requests,
                         slots, queue_wait_us, prefill_us_per_token,
                         engine_age_us, tables)
};

/// \brief Entry to sidecar: run this request. `body` frames follow it.
struct call
{
    static constexpr frame_kind kind = frame_kind::call;

    request_id request;
    incarnation_id entry;
    std::uint32_t attempt = 0;
    route_id route;
    pool_id pool;
    team_id team;
    model_id model;
    std::string adapter;
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::uint64_t body_bytes = 0;
    bool is_completion = false;
    bool is_stream = false;
    bool is_idempotent = true;
    std::string idempotency_key;
    std::uint8_t priority = 0;
    /// Time left for the whole answer.
    std::uint64_t deadline_us = 0;
    /// Time left for the first token; 0 where the route sets none.
    std::uint64_t first_token_deadline_us = 0;
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> chain_high;
    std::vector<std::uint64_t> chain_low;
    std::vector<std::uint32_t> chain_tokens;
    /// Version of the tables under which the entry routed it.
    log_offset tables;
    /// Fingerprint of the body, for quarantine and for claims.
    std::string body_digest;
    /// Pieces that the caller already has from an earlier attempt.
    std::uint64_t resume_from = 0;
    /// Hashes of the prompt's parts, first to last, for quarantine.
    std::vector<std::uint64_t> parts;

    MSGPACK_DEFINE_ARRAY(request, entry, attempt, route, pool, team, model,
                         adapter, method, path, headers, body_bytes,
                         is_completion, is_stream, is_idempotent,
                         idempotency_key, priority, deadline_us,
                         first_token_deadline_us, prompt_tokens, chain_high,
                         chain_low, chain_tokens, tables, body_digest,
                         resume_from, parts)
};

/// \brief Entry to sidecar: the next bytes of the request's body.
struct body
{
    static constexpr frame_kind kind = frame_kind::body;

    std::string bytes;

    MSGPACK_DEFINE_ARRAY(bytes)
};

/// \brief Sidecar to entry: status and headers of the upstream's answer.
struct head
{
    static constexpr frame_kind kind = frame_kind::head;

    request_id request;
    upstream_id upstream;
    std::int32_t status = 0;
    std::vector<header> headers;

    MSGPACK_DEFINE_ARRAY(request, upstream, status, headers)
};

/// \brief Sidecar to entry: the next piece of the answer, numbered from 0.
struct piece
{
    static constexpr frame_kind kind = frame_kind::piece;

    request_id request;
    std::uint64_t sequence = 0;
    std::string bytes;

    MSGPACK_DEFINE_ARRAY(request, sequence, bytes)
};

/// \brief Sidecar to entry: the answer is whole and had `pieces` pieces.
struct last
{
    static constexpr frame_kind kind = frame_kind::last;

    request_id request;
    std::uint64_t pieces = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t completion_tokens = 0;
    log_offset tables;

    MSGPACK_DEFINE_ARRAY(request, pieces, prompt_tokens, cached_tokens,
                         completion_tokens, tables)
};

/// \brief Sidecar to entry: the attempt is over without a whole answer.
struct failure
{
    static constexpr frame_kind kind = frame_kind::failure;

    request_id request;
    verdict outcome = verdict::may_have_run;
    reason why;
    /// When to come back; 0 where there is no advice. Only on `not_run`.
    std::uint64_t retry_after_us = 0;
    bool leaving = false;
    log_offset tables;

    MSGPACK_DEFINE_ARRAY(request, outcome, why, retry_after_us, leaving, tables)
};

/// \brief Entry to sidecar: stop; the caller has gone.
struct cancel
{
    static constexpr frame_kind kind = frame_kind::cancel;

    request_id request;

    MSGPACK_DEFINE_ARRAY(request)
};

/// \brief Entry to sidecar: go on with a stream whose link broke.
struct resume
{
    static constexpr frame_kind kind = frame_kind::resume;

    request_id request;
    incarnation_id entry;
    std::uint64_t next_sequence = 0;

    MSGPACK_DEFINE_ARRAY(request, entry, next_sequence)
};

/// \brief A part of prompts, or a call, that crashes engines.
struct culprit
{
    digest fingerprint;
    /// Until when calls with it are refused.
    std::int64_t until_ms = 0;

    MSGPACK_DEFINE_ARRAY(fingerprint, until_ms)
};

/// \brief Either way: send me the tables if yours are newer than `have`.
///
/// To an entry also: news on what crashes engines, which it doesn't answer.
struct tables_wanted
{
    static constexpr frame_kind kind = frame_kind::tables_wanted;

    log_offset have;
    /// Evidence on crashes, as the quarantine slice packs it.
    std::string crashes;
    std::vector<culprit> culprits;

    MSGPACK_DEFINE_ARRAY(have, crashes, culprits)
};

/// \brief Either way: the tables of one version, as the config slice packs
/// them; empty where the asker's are not older.
struct tables
{
    static constexpr frame_kind kind = frame_kind::tables;

    log_offset version;
    std::string packed;

    MSGPACK_DEFINE_ARRAY(version, packed)
};

} // namespace jujubestand::link

#endif
