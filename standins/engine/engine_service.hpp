#ifndef JUJUBESTAND_STANDINS_ENGINE_ENGINE_SERVICE_HPP
#define JUJUBESTAND_STANDINS_ENGINE_ENGINE_SERVICE_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <standins/engine/answer_format.hpp>
#include <standins/engine/completion_body.hpp>
#include <standins/engine/engine_model.hpp>
#include <standins/engine/event_feed.hpp>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>
#include <vector>

namespace jujubestand::standins
{

/// \brief What can be made to go wrong with an engine.
struct engine_switches
{
    /// The process exits when a prompt with this text begins to run.
    std::string crash_text;
    /// The process exits at once.
    bool crash = false;
    /// The whole process stands still once, for so long.
    std::int64_t freeze_ms = 0;
    /// No step begins; everything else is answered.
    bool stall = false;
    /// Each step takes so many times as long.
    double slow_factor = 1;
    /// The next so many pieces or JSON answers are another request's.
    std::uint32_t cross_answers = 0;
    /// The next so many pieces are sent twice.
    std::uint32_t duplicate_pieces = 0;
    /// The next so many pieces are left out.
    std::uint32_t skip_pieces = 0;
    /// The next `cut_count` streams are cut after `cut_after_pieces` pieces.
    std::uint32_t cut_count = 0;
    std::uint32_t cut_after_pieces = 4;
    /// Answers 503 to completions.
    bool refuse = false;
    /// Orders with an old fence get 409.
    bool check_fence = true;
    std::int64_t order_ms = 0;
    /// The next so many orders take effect and are cut off unanswered.
    std::uint32_t lose_order_answers = 0;
    std::int64_t load_lag_ms = 200;
    std::int64_t events_delay_ms = 50;
    std::uint32_t events_gap_per_1000 = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    engine_switches, crash_text, crash, freeze_ms, stall, slow_factor,
    cross_answers, duplicate_pieces, skip_pieces, cut_count, cut_after_pieces,
    refuse, check_fence, order_ms, lose_order_answers, load_lag_ms,
    events_delay_ms, events_gap_per_1000)

/// \brief Identity and costs of an engine.
struct engine_options
{
    std::string name = "engine";
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1;
    std::string model = "model-a";
    std::string weights_version = "v1";
    std::vector<std::string> adapters;
    std::string role = "mixed";
    engine_costs costs;
    std::optional<address> weight_store;
};

/// \brief A model engine over HTTP, as docs/design/outside-protocols.md says.
class engine_service
{
public:
    engine_service(event_base* loop, address const& where,
                   engine_options chosen, engine_switches const& initial);
    ~engine_service();
    engine_service(engine_service const&) = delete;
    engine_service& operator=(engine_service const&) = delete;

    [[nodiscard]] address bound() const;

private:
    /// \brief One answer, being sent or kept for a resume.
    struct answer
    {
        answer_frame frame;
        answer_usage usage;
        sequence_id sequence;
        evhttp_request* request = nullptr;
        std::function<void()> gone;
        std::string text;
        std::size_t next_event = 0;
        std::int64_t keep_seconds = 0;
        bool is_stream = false;
        bool is_finished = false;
        std::uint32_t cut_after = 0;
        bool is_cut = false;
    };

    struct order
    {
        std::uint64_t fence = 0;
        std::string kind;
        std::string model;
        std::string version;
        std::string adapter;
        std::string role;
    };

    void install_handlers();
    void handle_completion(http_call const& call, bool is_chat);
    void handle_resume(http_call const& call);
    void handle_cancel(http_call const& call);
    void handle_order(http_call const& call);
    void handle_export(http_call const& call);
    void handle_import(http_call const& call);
    void start_answer(http_call const& call, completion_body const& body);
    void attach(std::uint64_t id, evhttp_request* request);
    void caller_gone(std::uint64_t id);
    void drop_answer(std::uint64_t id);
    void wake();
    void take_step();
    void deliver(std::uint64_t id);
    void send_stream(answer& target);
    void append_piece(answer& target, std::string& out);
    void append_end(answer& target, std::string& out);
    void send_json(answer& target);
    void answer_sent(std::uint64_t id);
    void keep_for_resume(std::uint64_t id);
    /// The answer to show in place of `target`'s: mostly itself.
    [[nodiscard]] answer const& crossed(answer const& target);
    void carry_out(order const& wanted, std::uint64_t held_id);
    void apply(order const& wanted, std::uint64_t held_id);
    void switches_changed();
    void sample_load();
    [[nodiscard]] std::string load_report() const;
    [[nodiscard]] std::string stats_report() const;
    [[nodiscard]] feed_faults faults() const;

    event_base* base;
    engine_options options;
    engine_switches switches;
    http_server server;
    held_requests held;
    delays later;
    event_feed feed;
    engine_model model;
    std::map<std::uint64_t, answer> answers;
    std::map<std::string, std::uint64_t> answer_names;
    std::map<sequence_id, std::uint64_t> answer_sequences;
    std::set<sequence_id> crashing;
    std::uint64_t next_answer = 1;
    bool is_stepping = false;
    event_ptr step_timer;
    std::string sampled_load;
    std::string published_load;
    std::uint64_t newest_fence = 0;
    nlohmann::json orders = nlohmann::json::array();
};

} // namespace jujubestand::standins

#endif
