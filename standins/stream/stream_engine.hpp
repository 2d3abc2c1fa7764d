#ifndef JUJUBESTAND_STANDINS_STREAM_STREAM_ENGINE_HPP
#define JUJUBESTAND_STANDINS_STREAM_STREAM_ENGINE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <jujubestand/core/time.hpp>
#include <map>
#include <optional>
#include <random>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <standins/support/refusal_copies.hpp>
#include <string>
#include <vector>

namespace jujubestand::standins
{

/// \brief A stream that an engine was sent.
struct stream_request
{
    std::string request_id;
    /// As it was sent; empty for a stream from its beginning.
    std::string last_event;
    /// Parts of its prompt, as they were sent.
    std::string parts{};
    /// Cached parts are found only under the same text.
    std::string cache_salt{};
};

/// \brief Work of an engine on an answer that is paced or paused.
struct engine_run
{
    std::string request_id;
    mono_time begun_at{};
    /// Whole, or its caller left; empty: under way.
    std::optional<mono_time> ended_at{};
    bool is_whole = false;
};

/// \brief How far an engine comes with an answer before it crashes.
struct crash_script
{
    /// Text among the parts of a prompt that makes it crash.
    std::string part;
    bool has_head = true;
    /// Whole events, or half of a body with a length if there are any.
    std::uint64_t events = 0;
    /// Bytes of the next event.
    std::size_t bytes = 1;
    /// From the last byte to the crash.
    std::chrono::milliseconds delay{20};
};

/// \brief An engine that answers each POST with a stream of numbered events;
/// each event names the engine's software version. A POST under `/ask/` gets a
/// body with a length. Its agent gets reports, no changes of its cache, and
/// loads of weights that take no time.
class stream_engine
{
public:
    /// \brief Events of a whole stream, numbered from 1.
    static constexpr std::uint64_t stream_events = 8;

    stream_engine(event_base* loop, address const& where, std::string version);
    ~stream_engine();
    stream_engine(stream_engine const&) = delete;
    stream_engine& operator=(stream_engine const&) = delete;

    /// \brief Answers new streams that are to go on with this error; 0: none.
    void refuse_resumed(int status);

    /// \brief Stops new streams in the middle of the event after this one, and
    /// keeps them open.
    /// \param bytes sent of the next event
    void pause_after(std::uint64_t event, std::size_t bytes = 8);

    /// \brief Sends new streams to their end again.
    void pause_no_more();

    /// \brief New answers have neither a length nor chunks: they end with
    /// their connection.
    void end_by_close();

    /// \brief New streams take this time from each event to the next.
    void pace(std::chrono::milliseconds interval);

    /// \brief Refuses the first arrival of each call as not run, and writes the
    /// copy of that refusal before this share of its answers to the call.
    /// Bodies under `/ask/` take the time of a stream.
    void copy_refusals(copy_scope scope, double share, std::uint64_t seed);

    /// \brief The engine crashes as it answers a call with one of these parts.
    /// \param crashed called from the loop with the part; has to destroy the
    /// engine
    void crash_on(std::vector<crash_script> scripts,
                  std::function<void(std::string const&)> crashed);

    /// \brief States a limit in the heads of new answers, as this text; empty:
    /// none.
    void name_limit(std::string text);

    /// \brief States in the heads of new answers that it leaves.
    void state_leaving();

    /// \brief Refuses new calls and orders as not run, with this Retry-After;
    /// empty: runs them again.
    void ask_for_pause(std::string retry_after);

    /// \brief Refuses requests for reports and changes of its cache, with this
    /// Retry-After; empty: answers them again.
    void refuse_reports(std::string retry_after);

    /// \brief Writes the copy of a call's refusal before each answer to an
    /// order or a request for a report.
    void copy_refusal_of(std::string call);

    /// \brief Calls back for each stream that the engine is sent.
    void on_stream(std::function<void(stream_request const&)> sent);

    /// \brief Cuts the connections of the paused streams.
    void cut_streams();

    /// \brief Ends the paused streams where they are, as if they were whole.
    void truncate_streams();

    /// \brief Streams that are paced or paused and whose callers are there.
    [[nodiscard]] std::size_t open_streams() const noexcept
    {
        return this->paused.size();
    }

    /// \brief In the order of their beginning.
    [[nodiscard]] std::vector<engine_run> const& runs() const noexcept
    {
        return this->run_records;
    }

    /// \brief Times at which it was asked for reports or changes of its cache.
    [[nodiscard]] std::vector<mono_time> const& questions() const noexcept;

    /// \brief Times at which it was sent orders.
    [[nodiscard]] std::vector<mono_time> const& orders() const noexcept;

    /// \brief Senders of these orders.
    [[nodiscard]] std::vector<std::string> const& holders() const noexcept;

    /// \brief Version of the weights that it has loaded.
    [[nodiscard]] std::uint64_t loaded_weights() const noexcept;

    /// \brief Fencing tokens of these orders.
    [[nodiscard]] std::vector<std::uint64_t> const& fences() const noexcept;

    [[nodiscard]] std::vector<stream_request> const& seen() const noexcept
    {
        return this->requests;
    }

    [[nodiscard]] address bound() const;

private:
    struct paused_stream
    {
        evhttp_request* request = nullptr;
        std::function<void()> gone;
        /// Position among the runs.
        std::size_t run = 0;
    };

    void answer(http_call const& call);
    void report(http_call const& call);
    void list_changes(http_call const& call);
    [[nodiscard]] bool refuse_question(http_call const& call);
    void take_order(http_call const& call);
    void write_stray_refusal(http_call const& call) const;
    void sign(http_call const& call) const;
    void begin_answer(http_call const& call) const;
    void answer_until_crash(http_call const& call, crash_script const& script);
    void answer_whole_body(http_call const& call) const;
    void answer_whole_body_later(http_call const& call);
    [[nodiscard]] bool refuse_or_copy(http_call const& call);
    void answer_at_pace(http_call const& call, std::uint64_t first);
    void send_at_pace(std::uint64_t id, std::uint64_t number);
    [[nodiscard]] crash_script const* script_of(http_call const& call) const;
    [[nodiscard]] std::string events(std::uint64_t first,
                                     std::uint64_t last) const;
    [[nodiscard]] std::string event(std::uint64_t number) const;
    std::uint64_t watch(http_call const& call);
    void end_run(paused_stream const& stream, bool is_whole);

    std::string version;
    http_server server;
    std::uint64_t last_event = stream_events;
    std::size_t partial_bytes = 0;
    int resumed_status = 0;
    bool is_framed = true;
    upstream_words words;
    std::chrono::milliseconds event_interval{0};
    std::vector<crash_script> crash_scripts;
    std::function<void(std::string const&)> crashed;
    std::function<void(stream_request const&)> sent;
    delays later;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, paused_stream> paused;
    std::vector<stream_request> requests;
    std::vector<engine_run> run_records;
    std::optional<refusal_copies> copies;
    double copied_share = 0;
    std::mt19937_64 random;
    std::uint64_t weights = 1;
    std::string report_pause;
    std::string copied_call;
    std::vector<mono_time> question_times;
    std::vector<mono_time> order_times;
    std::vector<std::uint64_t> order_fences;
    std::vector<std::string> order_holders;
};

} // namespace jujubestand::standins

#endif
