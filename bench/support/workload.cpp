#include <bench/support/workload.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <standins/engine/completion_body.hpp>
#include <string_view>

namespace jujubestand::bench
{

namespace
{

constexpr double microseconds_per_second = 1e6;
constexpr std::array<std::string_view, 16> words{
    "residue ", "manifest ", "solvent ", "tin ",    "annex ",  "dossier ",
    "depot ",   "batch ",    "lot ",     "label ",  "dermal ", "exposure ",
    "margin ",  "safety ",   "pickup ",  "courier "};

// The library's distributions differ between libraries; these do not, so a
// seed names one plan everywhere.
double draw_unit(std::mt19937_64& random)
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(random() >> 11U) * scale;
}

/// \brief Picks ranks with a popularity that falls by a power.
class ranks
{
public:
    ranks(std::size_t count, double skew)
    {
        double sum = 0;
        for (std::size_t rank = 1; rank <= count; ++rank)
        {
            sum += std::pow(static_cast<double>(rank), -skew);
            this->sums.push_back(sum);
        }
    }

    [[nodiscard]] std::uint32_t draw(std::mt19937_64& random) const
    {
        double const wanted = draw_unit(random) * this->sums.back();
        auto const place =
            std::upper_bound(this->sums.begin(), this->sums.end(), wanted);
        auto const rank = std::min<std::ptrdiff_t>(
            place - this->sums.begin(),
            static_cast<std::ptrdiff_t>(this->sums.size()) - 1);
        return static_cast<std::uint32_t>(rank);
    }

private:
    std::vector<double> sums;
};

std::string make_text(std::uint64_t seed, std::size_t bytes)
{
    std::mt19937_64 random(seed);
    std::string text;
    text.reserve(bytes + words[0].size());
    while (text.size() < bytes)
        text += words[random() % words.size()];
    text.resize(bytes);
    return text;
}

/// Seeds of texts: none of them meet, whatever the load's own seed.
std::uint64_t text_seed(std::uint64_t seed, std::uint64_t kind,
                        std::uint64_t index)
{
    constexpr std::uint64_t spread = 0x9e3779b97f4a7c15ULL;
    return ((seed * spread + kind) * spread + index) * spread;
}

std::string message(std::string_view role, std::string_view content)
{
    return R"({"role":")" + std::string(role) + R"(","content":")" +
           std::string(content) + "\"}";
}

} // namespace

std::vector<planned_call> plan(workload const& shape)
{
    std::mt19937_64 random(shape.seed);
    ranks const team_ranks(shape.teams, shape.team_skew);
    ranks const document_ranks(shape.documents_per_team, shape.document_skew);
    std::vector<planned_call> calls;
    double at_s = 0;
    while (true)
    {
        at_s -= std::log(1 - draw_unit(random)) / shape.requests_per_s;
        if (at_s >= shape.seconds)
            return calls;
        planned_call call;
        call.at_us = static_cast<std::uint64_t>(at_s * microseconds_per_second);
        call.team = team_ranks.draw(random);
        call.document = document_ranks.draw(random);
        call.question = random();
        call.is_plain = draw_unit(random) < shape.plain_share;
        call.is_chat = draw_unit(random) < shape.chat_share;
        call.is_stream =
            !call.is_plain && draw_unit(random) < shape.stream_share;
        call.leaves_early =
            call.is_stream && draw_unit(random) < shape.cancel_share;
        call.reads_slowly =
            call.is_stream && draw_unit(random) < shape.slow_share;
        calls.push_back(call);
    }
}

std::string team_name(std::size_t index)
{
    return "team-" + std::to_string(index);
}

std::string team_key(std::size_t index)
{
    return "key-of-team-" + std::to_string(index);
}

prompt_book::prompt_book(workload const& chosen)
    : shape(chosen)
    , preamble(make_text(text_seed(chosen.seed, 0, 0), chosen.preamble_bytes))
{
    for (std::size_t team = 0; team < chosen.teams; ++team)
    {
        this->instructions.push_back(make_text(text_seed(chosen.seed, 1, team),
                                               chosen.instructions_bytes));
        for (std::size_t index = 0; index < chosen.documents_per_team; ++index)
        {
            document made;
            made.text = make_text(text_seed(chosen.seed, 2 + team, index),
                                  chosen.document_bytes);
            std::string prompt;
            standins::append_message(prompt, "system", this->preamble);
            standins::append_message(prompt, "system",
                                     this->instructions.back());
            standins::append_message(prompt, "user", made.text);
            standins::extend(made.chat, prompt);
            standins::extend(made.plain, this->preamble);
            standins::extend(made.plain, this->instructions.back());
            standins::extend(made.plain, made.text);
            this->documents.push_back(std::move(made));
        }
    }
}

prompt_book::document const& prompt_book::find(planned_call const& call) const
{
    return this
        ->documents[call.team * this->shape.documents_per_team + call.document];
}

std::string prompt_book::question(planned_call const& call) const
{
    return make_text(call.question, this->shape.question_bytes);
}

std::string prompt_book::body(planned_call const& call) const
{
    if (call.is_plain)
        return R"({"pickup":")" + this->question(call) + "\"}";
    std::string out = R"({"model":")" + this->shape.model +
                      R"(","max_tokens":)" +
                      std::to_string(this->shape.max_tokens) +
                      (call.is_stream ? R"(,"stream":true,)" : ",");
    std::string const& instruction = this->instructions[call.team];
    std::string const& text = this->find(call).text;
    if (call.is_chat)
        out += R"("messages":[)" + message("system", this->preamble) + ',' +
               message("system", instruction) + ',' + message("user", text) +
               ',' + message("user", this->question(call)) + "]}";
    else
        out += R"("prompt":")" + this->preamble + instruction + text +
               this->question(call) + "\"}";
    return out;
}

std::string prompt_book::answer(planned_call const& call,
                                std::size_t tokens) const
{
    document const& known = this->find(call);
    standins::text_chain chain = call.is_chat ? known.chat : known.plain;
    std::string rest;
    if (call.is_chat)
    {
        standins::append_message(rest, "user", this->question(call));
        standins::append_answer_prompt(rest);
    }
    else
        rest = this->question(call);
    standins::extend(chain, rest);
    std::string text;
    std::vector<std::uint64_t> filled;
    while (tokens-- > 0)
        text += standins::next_token(chain, filled);
    return text;
}

} // namespace jujubestand::bench
