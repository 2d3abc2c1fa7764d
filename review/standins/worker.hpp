#ifndef JUJUBESTAND_REVIEW_WORKER_HPP
#define JUJUBESTAND_REVIEW_WORKER_HPP

#include <review/standins/process.hpp>
#include <review/standins/store.hpp>

namespace review
{

inline std::uint64_t wall_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// \brief What all workers have: an entry in the store that is renewed, a
/// report, the events of a cache, orders that change nothing.
class worker
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string host;
        unsigned slots = 64;
        /// Empty: a plain application.
        std::string model;
        /// Version of the worker's software.
        std::string software = "v1";
        /// 0: any that is free.
        std::uint16_t port = 0;
    };

    /// A part of a prompt that was stored.
    struct cache_event
    {
        std::string salt;
        std::string part;
        std::string tokens;
    };

    worker(store& platform, options given, server::handler run)
        : platform(platform)
        , given(std::move(given))
        , run(std::move(run))
        , born(wall_ms())
        , served({this->given.host, this->given.port},
                 [this](connection& open, message const& request)
                 {
                     return this->answer(open, request);
                 })
    {
        this->beat();
        std::thread(
            [this]
            {
                constexpr milliseconds interval{1'200};
                for (;;)
                {
                    std::this_thread::sleep_for(interval);
                    this->beat();
                }
            })
            .detach();
    }

    [[nodiscard]] endpoint const& bound() const
    {
        return this->served.bound();
    }

    [[nodiscard]] std::string const& id() const
    {
        return this->given.id;
    }

    /// \brief A part is stored now; readers of `/kv-events` are told.
    void add_event(cache_event event)
    {
        std::lock_guard const lock(this->mutex);
        this->events.push_back(std::move(event));
        this->changed.notify_all();
    }

    std::atomic<unsigned> active{0};

    /// \brief A stamp, as workers put on what they have answered.
    std::string stamp()
    {
        return this->given.id + '.' + std::to_string(++this->stamps);
    }

private:
    std::string models() const
    {
        if (this->given.model.empty())
            return "[]";
        return R"([{"name":")" + this->given.model +
               R"(","version":1,"adapters":[]}])";
    }

    void beat()
    {
        std::string entry =
            R"({"service":")" + this->given.service + R"(","address":")" +
            to_text(this->served.bound()) +
            R"(","zone":"almaty-a","version":")" + this->given.software +
            R"(","slots":)" + std::to_string(this->given.slots) +
            R"(,"state":"ready","cold-remaining-ms":0,"born":)" +
            std::to_string(this->born) + R"(,"sequence":)" +
            std::to_string(++this->sequence);
        if (!this->given.model.empty())
            entry += R"(,"stage":"both","models":)" + this->models();
        this->platform.put("keyed.servers", this->given.id, entry + "}");
    }

    static bool json(connection& open, std::string const& body)
    {
        return open.write(
            response("200 OK", {{"Content-Type", "application/json"}}, body));
    }

    std::string event_row(std::size_t at) const
    {
        auto const& row = this->events[at];
        return "[" + std::to_string(at) + R"(,"+",")" + row.salt + R"(",")" +
               row.part + R"(",)" + row.tokens + R"(,")" + this->given.model +
               R"("])";
    }

    bool answer_events(connection& open, message const& request)
    {
        milliseconds const wait{std::stoul("0" + request.get("Wait-Ms"))};
        std::size_t const since = std::stoul("0" + request.query("since"));
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, wait,
                               [&]
                               {
                                   return this->events.size() > since;
                               });
        std::string rows;
        for (auto at = since; at < this->events.size(); ++at)
            rows += (rows.empty() ? "" : ",") + this->event_row(at);
        auto const body = R"({"boot-epoch":)" + std::to_string(this->born) +
                          R"(,"next":)" + std::to_string(this->events.size()) +
                          R"(,"lost":false,"events":[)" + rows + "]}";
        lock.unlock();
        return json(open, body);
    }

    bool answer(connection& open, message const& request)
    {
        auto const path = request.path();
        if (path == "/report")
            return json(open,
                        R"({"stage":"both","models":)" + this->models() +
                            R"(,"busy":false,"sequence":0,"queued":0,)"
                            R"("active":)" +
                            std::to_string(this->active.load()) +
                            R"(,"kv-used":0,"kv-total":95939,"handles":0,)"
                            R"("runs":[],"born":)" +
                            std::to_string(this->born) + "}");
        if (path == "/kv-events")
            return this->answer_events(open, request);
        if (path == "/kv-list")
            return json(open, R"({"boot-epoch":)" + std::to_string(this->born) +
                                  R"(,"next":0,"held":[]})");
        if (path == "/order")
            return json(open, "{}");
        auto const expected = request.get("X-Expect-Instance");
        if (!expected.empty() && expected != this->given.id)
            return open.write(response("421 Misdirected Request",
                                       {{"X-Instance-Id", this->given.id}},
                                       ""));
        ++this->active;
        bool const is_kept = this->run(open, request);
        --this->active;
        return is_kept;
    }

    store& platform;
    options given;
    server::handler run;
    std::uint64_t born;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<cache_event> events;
    std::atomic<std::uint64_t> sequence{0};
    std::atomic<std::uint64_t> stamps{0};
    server served;
};

/// \brief Entries of `X-Prompt-Prefix`: part and tokens.
inline std::vector<std::pair<std::string, std::string>>
parts_of(std::string const& text)
{
    std::vector<std::pair<std::string, std::string>> result;
    std::istringstream rest(text);
    for (std::string entry; std::getline(rest, entry, ',');)
    {
        auto const colon = entry.find(':');
        result.emplace_back(entry.substr(0, colon), entry.substr(colon + 1));
    }
    return result;
}

} // namespace review

#endif
