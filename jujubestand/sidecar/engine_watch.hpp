#ifndef JUJUBESTAND_SIDECAR_ENGINE_WATCH_HPP
#define JUJUBESTAND_SIDECAR_ENGINE_WATCH_HPP

#include <chrono>
#include <cstdint>
#include <jujubestand/core/address.hpp>
#include <jujubestand/http/client.hpp>
#include <jujubestand/loop/timer.hpp>
#include <jujubestand/sidecar/engine_report.hpp>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>

struct event_base;

namespace jujubestand::sidecar
{

/// \brief Follows an engine's load reports and cache events over HTTP.
class engine_watch
{
public:
    /// \param base the process's loop; must outlive the watch
    /// \param where the engine's HTTP address
    /// \param poll time between two load reports
    engine_watch(event_base* base, address where,
                 std::chrono::milliseconds poll);
    engine_watch(engine_watch const&) = delete;
    engine_watch& operator=(engine_watch const&) = delete;
    engine_watch(engine_watch&&) = delete;
    engine_watch& operator=(engine_watch&&) = delete;
    ~engine_watch() = default;

    /// \brief Begins to ask.
    void start();

    /// \brief The engine told its load.
    sigc::signal<void(engine_report)> reported;
    /// \brief The head of an answer with a load report.
    sigc::signal<void(http::response_head const&)> headed;
    /// \brief The engine's cache changed.
    sigc::signal<void(cache_event)> changed;
    /// \brief The engine did not tell its load.
    sigc::signal<void(reason)> lost;

private:
    void ask_load();
    void follow_events();
    void on_load_data(http::exchange_id exchange, std::string const& bytes);
    void on_feed_data(http::exchange_id exchange, std::string const& bytes);
    void on_load_ended(http::exchange_id exchange,
                       http::exchange_end const& end);
    void on_feed_ended(http::exchange_id exchange,
                       http::exchange_end const& end);
    void end_load(http::exchange_end const& end);
    void take_lines();
    void take_line(std::string_view line);

    address where;
    std::chrono::milliseconds poll;
    http::client load_client;
    http::client feed_client;
    loop::timer load_timer;
    loop::timer feed_timer;
    std::optional<http::exchange_id> load;
    std::optional<http::exchange_id> feed;
    std::string load_text;
    std::string feed_text;
    incarnation_id incarnation;
    std::uint64_t next_seq = 0;
};

} // namespace jujubestand::sidecar

#endif
