// A part of prompts that crashes engines, on the path entry, sidecar, engine.

#include <algorithm>
#include <array>
#include <iostream>
#include <jujubestand/entry/test/path_fixture.hpp>
#include <jujubestand/loop/timer.hpp>

namespace jujubestand::entry::test
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t engines = 8;
constexpr std::size_t entries = 2;
constexpr std::size_t sound_parts = 40;
constexpr int sound_events = 8;
constexpr milliseconds step_period{5};
constexpr milliseconds event_interval{20};
constexpr milliseconds restart_time{300};
constexpr milliseconds sound_interval{20};
constexpr milliseconds crashing_interval{200};
constexpr milliseconds play_time{8'000};

/// From the fifth crash on, entries have this long to know the part.
constexpr milliseconds settle_time{3'000};
constexpr std::size_t late_calls_limit = 3;
constexpr char const* crashing_part = "a document that crashes engines";

/// How a part crashes engines.
struct crash_kind
{
    char const* name;
    /// Answers to calls with the part before the crash; -1: not even a head.
    int events = 1;
    bool is_stream = true;
    bool has_reports = true;
};

std::ostream& operator<<(std::ostream& out, crash_kind const& kind)
{
    return out << kind.name;
}

std::string name_of(testing::TestParamInfo<crash_kind> const& info)
{
    return info.param.name;
}

/// A call that runs at an engine.
struct running_call
{
    seen_request asked;
    bool is_crashing = false;
    int events = 0;
    mono_time last_at{};
};

/// An engine that crashes and comes back.
struct engine_play
{
    std::vector<running_call> calls;
    std::uint64_t incarnation = 1;
    std::optional<mono_time> restart_at;
};

std::string body_of(std::string const& document, std::uint64_t number,
                    bool is_stream)
{
    nlohmann::json body;
    body["model"] = "m1";
    body["stream"] = is_stream;
    body["messages"] = {
        {{"role", "system"}, {"content", "You answer questions."}},
        {{"role", "user"}, {"content", document}},
        {{"role", "user"}, {"content", "question " + std::to_string(number)}}};
    return body.dump();
}

} // namespace

class crashing_parts : public path_test,
                       public testing::WithParamInterface<crash_kind>
{
protected:
    std::array<engine_play, engines> plays;
    std::vector<process::listening> fronts;
    std::unique_ptr<process::context> second_context;
    std::unique_ptr<entry> second;
    std::vector<mono_time> crashes;
    std::vector<mono_time> crashing_runs;
    std::vector<http::exchange_id> sound;
    std::uint64_t questions = 0;
    mono_time next_sound{};
    mono_time next_crashing{};

    ~crashing_parts() override
    {
        this->second.reset();
    }

    std::string list_body() const override
    {
        auto body = nlohmann::json::parse(path_test::list_body());
        for (std::size_t at = 0; at < this->fronts.size(); ++at)
            body["instances"].push_back(
                {{"instance", "e" + std::to_string(at)},
                 {"role", "entry"},
                 {"data_centre", "almaty-a"},
                 {"link", to_text(this->fronts[at].link)},
                 {"http", to_text(this->fronts[at].http)},
                 {"state", "live"}});
        body["version"] = 1 + this->fronts.size();
        return body.dump();
    }

    void start_all()
    {
        auto& names = this->pools.at(0).upstreams;
        names.clear();
        for (std::size_t at = 0; at < engines; ++at)
            names.emplace_back("engine-" + std::to_string(at));
        this->start_path(engines);
        this->fronts.push_back(*this->where);
        settings::settings own = this->common;
        own.instance = instance_id("e1");
        own.teams.push_back({team_id("depot"), {sha256_hex(api_key)}});
        this->second_context = std::make_unique<process::context>();
        process::begin(*this->second_context, this->base(), own,
                       settings::role::entry);
        this->second = std::make_unique<entry>(*this->second_context);
        reason why;
        this->where = this->second->start(why);
        ASSERT_TRUE(this->where) << to_text(why);
        this->fronts.push_back(*this->where);
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return this->is_ready();
            }));
        this->run_for(milliseconds{200});
    }

    void take(std::size_t at, http::caller_id asker,
              http::request const& asked) override
    {
        auto& upstream = *this->pairs[at].upstream;
        if (asked.path == "/load" && this->GetParam().has_reports)
        {
            nlohmann::json const load{
                {"incarnation", this->plays[at].incarnation},
                {"model", "m1"},
                {"weights_version", ""},
                {"adapters", nlohmann::json::array()},
                {"role", "mixed"},
                {"running", 0},
                {"waiting", 0},
                {"waiting_tokens", 0},
                {"slots", 64},
                {"kv_used_blocks", 0},
                {"kv_total_blocks", 1},
                {"prefill_us_per_token", 1.0},
                {"decode_us_per_token", 1.0}};
            upstream.reply(asker, 200, {}, load.dump());
            return;
        }
        if (asked.path == "/load" || asked.path == "/kv_events")
        {
            upstream.reply(asker, 404, {}, "");
            return;
        }
        bool const is_crashing =
            asked.body.find(crashing_part) != std::string::npos;
        if (is_crashing)
            this->crashing_runs.push_back(mono_now());
        bool const has_head = !is_crashing || this->GetParam().events >= 0;
        auto const type = this->GetParam().is_stream ? "text/event-stream"
                                                     : "application/json";
        if (has_head)
            upstream.start(asker, 200, {{"Content-Type", type}});
        this->plays[at].calls.push_back(
            {{asker, asked}, is_crashing, 0, mono_now()});
    }

    void crash(std::size_t at)
    {
        auto& play = this->plays[at];
        this->crashes.push_back(mono_now());
        play.calls.clear();
        ++play.incarnation;
        play.restart_at = mono_now() + restart_time;
        this->pairs[at].upstream.reset();
    }

    void restart(std::size_t at)
    {
        auto& pair = this->pairs[at];
        this->plays[at].restart_at.reset();
        pair.upstream = std::make_unique<http::server>(this->base(),
                                                       http::server_options{});
        reason why;
        ASSERT_TRUE(pair.upstream->listen(pair.where, why)) << to_text(why);
        pair.upstream->requested.connect(
            [this, at](http::caller_id asker, http::request const& asked)
            {
                this->take(at, asker, asked);
            });
    }

    void write_next(std::size_t at, running_call& call)
    {
        auto& upstream = *this->pairs[at].upstream;
        if (this->GetParam().is_stream)
            upstream.write(call.asked.caller,
                           event(call.asked, call.events, "a"));
        else if (call.events == 0)
            upstream.write(
                call.asked.caller,
                R"({"id":"cmpl-)" +
                    std::string(*http::find_header(call.asked.request.headers,
                                                   "X-Request-Id")) +
                    "\"");
        ++call.events;
        call.last_at = mono_now();
    }

    void end_answer(std::size_t at, running_call const& call)
    {
        auto& upstream = *this->pairs[at].upstream;
        upstream.write(call.asked.caller,
                       this->GetParam().is_stream
                           ? "id: " + std::to_string(call.events) +
                                 "\ndata: [DONE]\n\n"
                           : "}");
        upstream.finish(call.asked.caller);
    }

    void step_engine(std::size_t at)
    {
        auto& play = this->plays[at];
        auto const now = mono_now();
        if (play.restart_at && now >= *play.restart_at)
            this->restart(at);
        for (auto& call : play.calls)
        {
            if (now - call.last_at < event_interval)
                continue;
            if (call.is_crashing && call.events >= this->GetParam().events)
            {
                this->crash(at);
                return;
            }
            if (call.events < sound_events)
                this->write_next(at, call);
            else
                this->end_answer(at, call);
        }
        std::erase_if(play.calls,
                      [now](running_call const& call)
                      {
                          return call.events == sound_events &&
                                 now - call.last_at >= event_interval;
                      });
    }

    http::exchange_id ask(std::string const& document)
    {
        this->where = this->fronts[this->questions % entries];
        return this->post(
            "/v1/chat/completions",
            body_of(document, ++this->questions, this->GetParam().is_stream));
    }

    void step()
    {
        for (std::size_t at = 0; at < engines; ++at)
            this->step_engine(at);
        auto const now = mono_now();
        if (now >= this->next_sound)
        {
            this->next_sound = now + sound_interval;
            this->sound.push_back(
                this->ask("sound document " +
                          std::to_string(this->questions * 7 % sound_parts)));
        }
        if (now >= this->next_crashing)
        {
            this->next_crashing = now + crashing_interval;
            (void)this->ask(crashing_part);
        }
    }

    void play()
    {
        loop::timer ticker(this->base(),
                           [this]
                           {
                               this->step();
                           });
        ticker.start_every(step_period);
        this->run_for(play_time);
        this->next_sound = mono_now() + std::chrono::hours{1};
        this->next_crashing = this->next_sound;
        this->run_for(milliseconds{1'500});
    }

    std::size_t late_runs() const
    {
        if (this->crashes.size() < 5)
            return 0;
        auto const from = this->crashes[4] + settle_time;
        return static_cast<std::size_t>(std::count_if(
            this->crashing_runs.begin(), this->crashing_runs.end(),
            [from](mono_time at)
            {
                return at > from;
            }));
    }

    std::size_t served()
    {
        std::size_t count = 0;
        for (auto const id : this->sound)
        {
            auto const& got = this->answer(id);
            bool const is_whole = got.end && got.end->is_complete;
            count += is_whole && got.head.status == 200 ? 1 : 0;
        }
        return count;
    }
};

// Entry and sidecars sent a part that crashes engines to engine after engine
// (issue 29).
TEST_P(crashing_parts, the_part_is_refused_and_no_other)
{
    this->start_all();
    this->play();
    auto const whole = this->served();
    std::cout << "engines ended: " << this->crashes.size()
              << ", late calls: " << this->late_runs()
              << ", sound calls served: " << whole << " of "
              << this->sound.size() << '\n';
    ASSERT_GE(this->crashes.size(), 3U);
    EXPECT_LE(this->late_runs(), late_calls_limit);
    EXPECT_GE(whole * 10, this->sound.size() * 9);
    for (auto const& each : this->fronts)
    {
        this->where = each;
        auto const id = this->post("/v1/chat/completions",
                                   body_of(crashing_part, ++this->questions,
                                           this->GetParam().is_stream));
        ASSERT_TRUE(this->run_to_end(id));
        auto const& got = this->answer(id);
        EXPECT_EQ(got.header("X-Jujubestand-Reason"), "1000");
        EXPECT_EQ(got.header("X-Jujubestand-Verdict"), "not_run");
        EXPECT_NE(got.header("Retry-After"), "");
    }
}

INSTANTIATE_TEST_SUITE_P(
    engines_crash, crashing_parts,
    testing::Values(crash_kind{"after_one_event"},
                    crash_kind{"without_a_head", -1},
                    crash_kind{"after_the_head", 0},
                    crash_kind{"inside_whole_answers", 1, false},
                    crash_kind{"where_engines_do_not_report", 1, true, false}),
    name_of);

} // namespace jujubestand::entry::test
