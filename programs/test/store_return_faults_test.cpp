#include <algorithm>
#include <programs/test/faulty_gateways.hpp>
#include <standins/service/recording_service.hpp>

// The store goes away and returns from older copies at random, while the
// operator writes configurations and names weights, and gateway processes are
// killed, stopped, paused and started again in series.
namespace jujubestand::programs::test
{

namespace
{

constexpr char const* operator_topic = "keyed.op";

class store_return_faults : public faulty_gateways_test
{
protected:
    void SetUp() override
    {
        this->more_bounds = "version-ms = 3000\n";
    }

    void start()
    {
        this->start_gateways(gateway_count);
        for (std::size_t number = 0; number < engine_count; ++number)
        {
            this->add_engine("v1", near);
            this->engines[number].engine->on_stream(
                [this](standins::stream_request const&)
                {
                    this->last_stream_at = mono_now();
                });
        }
        this->service = std::make_unique<standins::recording_service>(
            this->base.get(), address{host(service_number), 0}, this->seed,
            standins::service_faults{},
            standins::service_events{[](std::string const&) {},
                                     [](std::string const&) {}});
        this->add_service("book-0", this->service->bound());
        this->wait_ready();
        this->store.keep_copy();
        this->change_something();
    }

    /// \brief Path that only this version of the configuration has.
    static std::string path_of(std::uint64_t version)
    {
        return "/only-" + std::to_string(version) + "/";
    }

    void write_configuration(std::uint64_t written)
    {
        auto tables = nlohmann::json::parse(configuration(written));
        auto added = tables["routes"].back();
        added["name"] = "added";
        added["path-prefix"] = path_of(written);
        tables["routes"].push_back(added);
        this->store.put(operator_topic, "config", tables.dump());
    }

    /// \brief The store returns from its copy; the operator and the upstreams
    /// write theirs again, the operator's last two configurations in order.
    void lose_store()
    {
        constexpr unsigned away_limit_ms = 900;
        constexpr unsigned delay_limit_ms = 400;
        this->store.set_away(true);
        this->later.run(milliseconds{this->random() % away_limit_ms},
                        [this]
                        {
                            this->store.return_from_copy();
                            this->store.set_away(false);
                            ++this->returns;
                        });
        this->later.run(
            milliseconds{away_limit_ms + this->random() % delay_limit_ms},
            [this]
            {
                if (this->version > 2)
                    this->write_configuration(this->version - 1);
                if (this->weights > 1)
                    this->name_weights(this->weights);
                if (this->version > 1)
                    this->write_configuration(this->version);
                for (std::size_t at = 0; at < this->engines.size(); ++at)
                    this->write_engine(at, "ready");
                this->add_service("book-0", this->service->bound());
            });
    }

    void change_something()
    {
        constexpr unsigned time_min_ms = 150;
        constexpr unsigned time_spread_ms = 900;
        constexpr unsigned away_ms = 1'300;
        milliseconds next{time_min_ms + this->random() % time_spread_ms};
        switch (this->random() % 5)
        {
        case 0:
            this->store.keep_copy();
            break;
        case 1:
            this->lose_store();
            next += milliseconds{away_ms};
            break;
        default:
            this->write_configuration(++this->version);
            break;
        }
        if (this->is_changing)
            this->later.run(next,
                            [this]
                            {
                                this->change_something();
                            });
    }

    answer_ptr call(std::size_t gateway, std::string const& target)
    {
        stream_call asked{"call-" + std::to_string(++this->calls), "", ""};
        asked.target = target;
        if (target.starts_with("/chat/"))
            asked.parts = "aaaa:30," + std::to_string(this->calls) + ":10";
        return this->ask(gateway, asked);
    }

    void wait_for(milliseconds time)
    {
        this->run_until(
            []
            {
                return false;
            },
            time);
    }

    int status_at(std::size_t gateway, std::string const& target)
    {
        auto const answer = this->call(gateway, target);
        this->run_to_end(answer);
        return answer->status;
    }

    static constexpr std::size_t gateway_count = 4;
    static constexpr std::size_t engine_count = 2;
    static constexpr std::size_t service_number = 200;

    std::unique_ptr<standins::recording_service> service;
    std::vector<answer_ptr> answers;
    std::uint64_t version = 1;
    std::uint64_t weights = 1;
    std::size_t returns = 0;
    std::size_t calls = 0;
    bool is_changing = true;
    mono_time last_stream_at{};
};

} // namespace

// Gateways kept a configuration or weights that the store had lost its offsets
// of, or none (CONFIG, VERSION).
TEST_F(store_return_faults, gateways_know_what_is_in_force_after_returns)
{
    constexpr unsigned usual_seconds = 8;
    constexpr milliseconds call_interval{20};
    constexpr milliseconds settle_time{4'000};
    constexpr milliseconds weights_limit{3'000};
    this->start();
    this->play_faults(play_time(usual_seconds), call_interval,
                      [this]
                      {
                          this->answers.push_back(this->call(
                              this->random() % gateway_count, "/book/new"));
                      });
    this->is_changing = false;
    this->wait_for(settle_time);
    this->store.keep_copy();
    this->lose_store();
    this->wait_for(settle_time);
    for (std::size_t at = 0; at < gateway_count; ++at)
    {
        EXPECT_EQ(this->status_at(at, path_of(this->version) + "new"), HTTP_OK)
            << at << ", seed " << this->seed;
        EXPECT_EQ(this->status_at(at, path_of(this->version - 1) + "new"),
                  HTTP_NOTFOUND)
            << at << ", seed " << this->seed;
        EXPECT_EQ(this->status_at(at, "/chat/new"), HTTP_OK)
            << at << ", seed " << this->seed;
    }
    this->name_weights(++this->weights);
    auto const named_at = mono_now();
    this->lose_store();
    this->wait_for(weights_limit + settle_time);
    for (std::size_t at = 0; at < gateway_count; ++at)
        this->call(at, "/chat/new");
    this->wait_for(milliseconds{500});
    EXPECT_LT(this->last_stream_at, named_at + weights_limit)
        << "seed " << this->seed;
    for (auto const& answer : this->answers)
        EXPECT_NE(answer->status, HTTP_NOTFOUND) << "seed " << this->seed;
    RecordProperty("returns", static_cast<int>(this->returns));
    RecordProperty("versions", static_cast<int>(this->version));
}

} // namespace jujubestand::programs::test
