#ifndef JUJUBESTAND_BENCH_SUPPORT_WORKLOAD_HPP
#define JUJUBESTAND_BENCH_SUPPORT_WORKLOAD_HPP

#include <cstddef>
#include <cstdint>
#include <standins/engine/token_text.hpp>
#include <string>
#include <vector>

namespace jujubestand::bench
{

/// \brief Shape of a load, as the brief's callers would send it: prompts are
/// a document under a team's instructions under a common preamble, with a
/// question of their own at the end.
struct workload
{
    std::uint64_t seed = 1;
    double requests_per_s = 100;
    double seconds = 10;
    std::size_t teams = 8;
    /// Popularity falls with rank to this power; 0 makes all equal.
    double team_skew = 1.2;
    double document_skew = 1.0;
    std::size_t documents_per_team = 8;
    std::size_t preamble_bytes = 8'192;
    std::size_t instructions_bytes = 4'096;
    std::size_t document_bytes = 16'384;
    std::size_t question_bytes = 256;
    std::size_t max_tokens = 32;
    std::string model = "model-a";
    /// Shares of all calls.
    double chat_share = 0.5;
    double stream_share = 1.0;
    /// Calls to a plain service under `plain_path`, each with its own key.
    double plain_share = 0;
    std::string plain_path = "/bookings/new";
    /// Calls that leave after `cancel_after_tokens`.
    double cancel_share = 0;
    std::size_t cancel_after_tokens = 4;
    /// Streams that read `slow_bytes_per_s` only.
    double slow_share = 0;
    std::size_t slow_bytes_per_s = 2'000;
};

/// \brief One call of the plan.
struct planned_call
{
    std::uint64_t at_us = 0;
    std::uint32_t team = 0;
    std::uint32_t document = 0;
    std::uint64_t question = 0;
    bool is_plain = false;
    bool is_chat = false;
    bool is_stream = false;
    bool leaves_early = false;
    bool reads_slowly = false;
};

/// \brief Arrivals of an open loop: exponential gaps, the same for a seed.
[[nodiscard]] std::vector<planned_call> plan(workload const& shape);

/// \brief Name and API key of a team.
[[nodiscard]] std::string team_name(std::size_t index);
[[nodiscard]] std::string team_key(std::size_t index);

/// \brief Texts of a load, made once, and what an engine has seen of them.
class prompt_book
{
public:
    explicit prompt_book(workload const& shape);

    /// \brief The call's body.
    [[nodiscard]] std::string body(planned_call const& call) const;

    /// \brief The answer that the stand-in engine gives to it.
    [[nodiscard]] std::string answer(planned_call const& call,
                                     std::size_t tokens) const;

private:
    struct document
    {
        std::string text;
        /// Chain up to the document's end, for both kinds of call.
        standins::text_chain chat;
        standins::text_chain plain;
    };

    [[nodiscard]] document const& find(planned_call const& call) const;
    [[nodiscard]] std::string question(planned_call const& call) const;

    workload shape;
    std::string preamble;
    std::vector<std::string> instructions;
    std::vector<document> documents;
};

} // namespace jujubestand::bench

#endif
