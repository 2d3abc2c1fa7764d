#ifndef JUJUBESTAND_STANDINS_ENGINE_EVENT_FEED_HPP
#define JUJUBESTAND_STANDINS_ENGINE_EVENT_FEED_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <jujubestand/core/time.hpp>
#include <map>
#include <random>
#include <standins/engine/engine_model.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief How the cache events come: late, and not all of them.
struct feed_faults
{
    std::int64_t delay_ms = 0;
    std::uint32_t gap_per_1000 = 0;
};

/// \brief The engine's stream of cache events, to any number of readers.
class event_feed
{
public:
    event_feed(event_base* base, std::uint64_t incarnation, std::uint64_t seed);
    ~event_feed();
    event_feed(event_feed const&) = delete;
    event_feed& operator=(event_feed const&) = delete;

    void stored(stored_blocks const& blocks, feed_faults const& faults);
    void removed(std::vector<std::uint64_t> const& keys,
                 feed_faults const& faults);
    void cleared(feed_faults const& faults);

    /// \brief Begins an endless answer from event `from` on.
    /// \param is_exact tells every event at once, whatever the faults
    void subscribe(evhttp_request* request, std::uint64_t from, bool is_exact);

    /// \brief Number of the newest event.
    [[nodiscard]] std::uint64_t newest() const noexcept;

private:
    struct kept_event
    {
        std::uint64_t seq = 0;
        mono_time due;
        /// Left out for all but exact readers.
        bool is_lost = false;
        std::string line;
    };

    struct reader
    {
        evhttp_request* request = nullptr;
        std::uint64_t next = 0;
        bool is_exact = false;
        std::function<void()> gone;
    };

    void add(std::string const& members, feed_faults const& faults);
    void tell_exact();
    void flush();
    void send_due(reader& target, mono_time now);

    std::uint64_t incarnation;
    std::mt19937_64 random;
    std::uint64_t next_seq = 1;
    std::deque<kept_event> events;
    std::map<std::uint64_t, reader> readers;
    std::uint64_t next_reader = 1;
    event_ptr timer;
};

} // namespace jujubestand::standins

#endif
