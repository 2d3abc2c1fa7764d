#ifndef JUJUBESTAND_ENTRY_TEST_PATH_FIXTURE_HPP
#define JUJUBESTAND_ENTRY_TEST_PATH_FIXTURE_HPP

#include <gtest/gtest.h>
#include <jujubestand/claims/key.hpp>
#include <jujubestand/config/records.hpp>
#include <jujubestand/core/digest.hpp>
#include <jujubestand/entry/entry.hpp>
#include <jujubestand/http/client.hpp>
#include <jujubestand/http/server.hpp>
#include <jujubestand/platform/test/fake_log.hpp>
#include <jujubestand/sidecar/sidecar.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::entry::test
{

/// \brief An answer as a caller saw it.
struct seen_answer
{
    http::response_head head;
    std::string body;
    std::optional<http::exchange_end> end;

    [[nodiscard]] std::string header(std::string const& name) const
    {
        return std::string(
            http::find_header(this->head.headers, name).value_or(""));
    }
};

/// \brief A request as an upstream saw it.
struct seen_request
{
    http::caller_id caller;
    http::request request;
};

/// \brief One upstream that does what a test scripts, and its sidecar.
struct upstream_pair
{
    std::unique_ptr<http::server> upstream;
    address where;
    std::vector<seen_request> seen;
    std::unique_ptr<process::context> shared;
    std::unique_ptr<sidecar::sidecar> sidecar;
    process::listening listening;
};

/// \brief The whole path in one process on one loop: caller, entry, two
/// sidecars with scripted upstreams, log and instance list.
class path_test : public testing::Test
{
protected:
    static constexpr char const* api_key = "the-key-of-the-depot";

    platform::test::fake_log log;
    std::unique_ptr<http::server> list;
    address list_where;
    std::vector<upstream_pair> pairs;
    std::unique_ptr<process::context> shared;
    std::unique_ptr<entry> front;
    std::optional<process::listening> where;
    std::unique_ptr<http::client> caller;
    std::vector<std::pair<http::exchange_id, seen_answer>> answers;

    std::uint64_t keys = 0;

    /// \brief May be changed before `start_path`.
    std::vector<config::route> routes;
    std::vector<config::pool> pools;
    settings::settings common;

    path_test()
    {
        this->common.link_key = "a-shared-key-of-tests";
        this->common.data_centre = data_centre_id("almaty-a");
        this->common.http = address{"127.0.0.1", 0};
        this->common.link = address{"127.0.0.1", 0};
        this->common.list_poll_ms = 20;
        this->common.log_poll_ms = 20;
        this->common.drain_notice_ms = 0;
        config::pool pool;
        pool.id = pool_id("engines");
        pool.upstreams = {upstream_id("engine-0"), upstream_id("engine-1")};
        this->pools.push_back(pool);
        config::route chat;
        chat.id = route_id("chat");
        chat.pool = pool.id;
        this->routes.push_back(chat);
        config::route booking;
        booking.id = route_id("booking");
        booking.pool = pool.id;
        booking.path_prefix = "/booking/";
        booking.is_idempotent = false;
        this->routes.push_back(booking);
    }

    ~path_test() override
    {
        this->caller.reset();
        this->front.reset();
        this->pairs.clear();
        this->list.reset();
    }

    event_base* base() const
    {
        return this->log.server.base();
    }

    bool run_until(std::function<bool()> const& done) const
    {
        return this->log.server.run_until(done);
    }

    /// \brief Runs for some time.
    void run_for(std::chrono::milliseconds time) const
    {
        auto const until = mono_now() + time;
        this->run_until(
            [until]
            {
                return mono_now() > until;
            });
    }

    void start_path(std::size_t upstreams = 2)
    {
        this->common.log = this->log.server.where;
        this->publish_tables();
        this->start_list();
        for (std::size_t at = 0; at < upstreams; ++at)
            this->start_pair(at);
        this->start_entry();
        this->start_caller();
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return this->is_ready();
            }));
    }

    http::exchange_id post(std::string const& path, std::string body,
                           std::vector<http::field> headers = {})
    {
        http::request sent;
        sent.method = "POST";
        sent.path = path;
        sent.body = std::move(body);
        sent.headers = std::move(headers);
        if (!http::find_header(sent.headers, "Authorization"))
            sent.headers.push_back(
                {"Authorization", std::string("Bearer ") + api_key});
        auto const id = this->caller->start(this->where->http, sent);
        this->answers.emplace_back(id, seen_answer{});
        return id;
    }

    seen_answer& answer(http::exchange_id id)
    {
        for (auto& row : this->answers)
        {
            if (row.first == id)
                return row.second;
        }
        ADD_FAILURE() << "no such exchange";
        return this->answers.front().second;
    }

    bool run_to_end(http::exchange_id id)
    {
        return this->run_until(
            [&, id]
            {
                return this->answer(id).end.has_value();
            });
    }

    /// \brief A new idempotency key of this moment.
    std::string new_key()
    {
        return claims::make_key(wall_now(), {++this->keys, 0});
    }

    /// \brief Posts to the route that runs each call once only.
    http::exchange_id book(std::string const& key, std::string body = "{}")
    {
        return this->post("/booking/new", std::move(body),
                          {{"Idempotency-Key", key}});
    }

    /// \brief Runs until any upstream has been asked `count` times in all.
    bool run_until_asked(std::size_t count)
    {
        return this->run_until(
            [&, count]
            {
                return this->asked() >= count;
            });
    }

    std::size_t asked() const
    {
        std::size_t total = 0;
        for (auto const& pair : this->pairs)
            total += pair.seen.size();
        return total;
    }

    /// \brief The pair whose upstream was asked first.
    upstream_pair& asked_pair()
    {
        for (auto& pair : this->pairs)
        {
            if (!pair.seen.empty())
                return pair;
        }
        ADD_FAILURE() << "no upstream was asked";
        return this->pairs.front();
    }

    static std::string chat_body(std::string const& text, bool is_stream)
    {
        nlohmann::json body;
        body["model"] = "m1";
        body["stream"] = is_stream;
        body["messages"] = {{{"role", "user"}, {"content", text}}};
        return body.dump();
    }

    /// \brief One event of a stream as an engine numbers and names it; it
    /// names a finish reason, so that an end may follow.
    static std::string event(seen_request const& of, int number,
                             std::string const& text)
    {
        auto const id = *http::find_header(of.request.headers, "X-Request-Id");
        return "id: " + std::to_string(number) + "\ndata: {\"id\":\"cmpl-" +
               std::string(id) + "\",\"choices\":[{\"delta\":{\"content\":\"" +
               text + "\"},\"finish_reason\":\"stop\"}]}\n\n";
    }

    void publish_tables()
    {
        config::edit made;
        made.nonce = request_id{1, 1};
        made.author = "test";
        for (auto const& pool : this->pools)
            made.changes.push_back({config::change_kind::set_pool, {}, pool});
        for (auto const& route : this->routes)
            made.changes.push_back({config::change_kind::set_route, route, {}});
        this->log.append(config::stream_name, config::pack(made));
    }

    // The parts of `start_path`, for tests that start them otherwise.
    bool is_ready()
    {
        http::request asked;
        asked.method = "GET";
        asked.path = "/readyz";
        auto const id = this->caller->start(this->where->http, asked);
        this->answers.emplace_back(id, seen_answer{});
        bool const is_over = this->run_to_end(id);
        return is_over && this->answer(id).head.status == 200;
    }

    virtual std::string list_body() const
    {
        nlohmann::json rows = nlohmann::json::array();
        for (std::size_t at = 0; at < this->pairs.size(); ++at)
        {
            auto const name = std::to_string(at);
            rows.push_back({{"instance", "s" + name},
                            {"role", "sidecar"},
                            {"data_centre", "almaty-a"},
                            {"link", to_text(this->pairs[at].listening.link)},
                            {"http", to_text(this->pairs[at].listening.http)},
                            {"upstream", "engine-" + name},
                            {"state", "live"}});
        }
        return nlohmann::json{{"version", 1}, {"instances", rows}}.dump();
    }

    void start_list()
    {
        this->list = std::make_unique<http::server>(this->base(),
                                                    http::server_options{});
        reason why;
        auto const bound = this->list->listen(this->common.http, why);
        ASSERT_TRUE(bound) << to_text(why);
        this->common.instances = *bound;
        this->list->requested.connect(
            [this](http::caller_id asker, http::request const&)
            {
                this->list->reply(asker, 200, {}, this->list_body());
            });
    }

    void start_pair(std::size_t at)
    {
        this->pairs.emplace_back();
        auto& pair = this->pairs.back();
        pair.upstream = std::make_unique<http::server>(this->base(),
                                                       http::server_options{});
        reason why;
        auto const bound = pair.upstream->listen(this->common.http, why);
        ASSERT_TRUE(bound) << to_text(why);
        pair.where = *bound;
        pair.upstream->requested.connect(
            [this, at](http::caller_id asker, http::request const& asked)
            {
                this->take(at, asker, asked);
            });
        settings::settings own = this->common;
        own.instance = instance_id("s" + std::to_string(at));
        own.upstream = upstream_id("engine-" + std::to_string(at));
        own.upstream_address = pair.where;
        pair.shared = std::make_unique<process::context>();
        process::begin(*pair.shared, this->base(), own,
                       settings::role::sidecar);
        pair.sidecar = std::make_unique<sidecar::sidecar>(*pair.shared);
        auto const listening = pair.sidecar->start(why);
        ASSERT_TRUE(listening) << to_text(why);
        pair.listening = *listening;
    }

    // The platform's own questions are not calls that a test counts.
    virtual void take(std::size_t at, http::caller_id asker,
                      http::request const& asked)
    {
        if (asked.path == "/load" || asked.path == "/kv_events")
            this->pairs[at].upstream->reply(asker, 404, {}, "");
        else
            this->pairs[at].seen.push_back({asker, asked});
    }

    void start_entry()
    {
        settings::settings own = this->common;
        own.instance = instance_id("e0");
        own.teams.push_back({team_id("depot"), {sha256_hex(api_key)}});
        this->shared = std::make_unique<process::context>();
        process::begin(*this->shared, this->base(), own, settings::role::entry);
        this->front = std::make_unique<entry>(*this->shared);
        reason why;
        this->where = this->front->start(why);
        ASSERT_TRUE(this->where) << to_text(why);
    }

    void start_caller()
    {
        this->caller = std::make_unique<http::client>(this->base(),
                                                      http::client_options{});
        this->caller->head.connect(
            [this](http::exchange_id id, http::response_head const& head)
            {
                this->answer(id).head = head;
            });
        this->caller->data.connect(
            [this](http::exchange_id id, std::string const& bytes)
            {
                this->answer(id).body += bytes;
            });
        this->caller->ended.connect(
            [this](http::exchange_id id, http::exchange_end const& end)
            {
                this->answer(id).end = end;
            });
    }
};

} // namespace jujubestand::entry::test

#endif
