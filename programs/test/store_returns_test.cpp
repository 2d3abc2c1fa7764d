#include <csignal>
#include <programs/test/played_calls.hpp>

// The store is away for a moment and returns from a copy: what was written
// since is lost, its offsets are given out again, and the operator and the
// upstreams write theirs again. Checks what callers and upstreams see of it.
namespace jujubestand::programs::test
{

namespace
{

constexpr char const* operator_topic = "keyed.op";

class store_returns : public played_calls
{
protected:
    static constexpr std::size_t gateway_count = 3;
    static constexpr milliseconds configuration_limit{2'000};
    static constexpr milliseconds leaving_limit{2'000};
    static constexpr milliseconds weights_limit{3'000};
    static constexpr milliseconds away_time{300};

    void SetUp() override
    {
        this->more_bounds = "version-ms = 3000\n";
    }

    /// \brief A configuration with a further route to services.
    static std::string with_route(std::uint64_t version,
                                  std::string const& prefix)
    {
        auto tables = nlohmann::json::parse(configuration(version));
        auto added = tables["routes"].back();
        added["name"] = "added";
        added["path-prefix"] = prefix;
        tables["routes"].push_back(added);
        return tables.dump();
    }

    void write_configuration(std::string const& text)
    {
        this->store.put(operator_topic, "config", text);
    }

    void wait_applied(std::uint64_t version)
    {
        for (std::size_t at = 0; at < this->gateways.size(); ++at)
            this->wait_logged(at, "tables_applied",
                              "version=" + std::to_string(version));
    }

    /// \brief The store goes away and returns from its copy.
    void lose_store()
    {
        this->store.set_away(true);
        this->wait_for(away_time);
        this->store.return_from_copy();
        this->store.set_away(false);
    }

    /// \brief Upstreams write their records again.
    void register_again()
    {
        for (std::size_t number = 0; number < this->engines.size(); ++number)
            this->write_engine(number, "ready");
        for (std::size_t number = 0; number < this->services.size(); ++number)
            this->add_service("book-" + std::to_string(number),
                              this->services[number]->bound());
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

    /// \brief The status with which a gateway answers a call.
    int status_at(std::size_t gateway, std::string const& target)
    {
        auto& call = this->send(gateway, target);
        this->settle();
        return call.answer->status;
    }

    /// \brief Checks that each gateway serves a path.
    void expect_served(std::string const& target)
    {
        for (std::size_t at = 0; at < this->gateways.size(); ++at)
            EXPECT_EQ(this->status_at(at, target), HTTP_OK)
                << this->gateways[at].name;
    }

    std::size_t calls_after(mono_time time)
    {
        std::size_t result = 0;
        for (auto const& engine : this->engines)
            result += this->calls_between(engine.id, time, mono_now());
        return result;
    }
};

} // namespace

// A configuration at an offset that gateways had read before the store went
// back was never read (CONFIG).
TEST_F(store_returns, a_configuration_at_an_offset_read_before_is_in_force)
{
    this->start(gateway_count, 1, 2);
    this->store.keep_copy();
    this->write_configuration(configuration(2));
    this->write_configuration(configuration(3));
    this->wait_applied(3);
    this->lose_store();
    this->write_configuration(configuration(3));
    this->write_configuration(with_route(4, "/added/"));
    this->register_again();
    this->wait_for(configuration_limit);
    this->expect_served("/added/new");
}

// The same of a gateway that stood still meanwhile, and of one that has just
// started (CONFIG).
TEST_F(store_returns, frozen_and_started_gateways_know_what_is_in_force)
{
    this->start(gateway_count, 1, 2);
    this->store.keep_copy();
    this->write_configuration(configuration(2));
    this->write_configuration(configuration(3));
    this->wait_applied(3);
    auto const& frozen = *this->gateways[0].process;
    frozen.signal(SIGSTOP);
    this->lose_store();
    this->write_configuration(with_route(4, "/added/"));
    this->restart_gateway(1);
    this->register_again();
    this->wait_for(configuration_limit);
    frozen.signal(SIGCONT);
    this->wait_for(configuration_limit);
    this->expect_served("/added/new");
}

// Gateways sent calls to engines with older weights for good, since they never
// read the record that named newer ones (VERSION).
TEST_F(store_returns, weights_at_an_offset_read_before_are_in_force)
{
    this->start(gateway_count, 3);
    this->store.keep_copy();
    this->write_configuration(configuration(2));
    this->wait_applied(2);
    this->lose_store();
    this->name_weights(2);
    auto const named_at = mono_now();
    this->register_again();
    this->play(weights_limit + milliseconds{2'000}, "/chat/new",
               usual_interval);
    EXPECT_EQ(this->calls_after(named_at + weights_limit), 0U);
}

// Agents took the end of a copy that was no more for a proof that they knew all
// weights, and ordered nothing (VERSION).
TEST_F(store_returns, agents_load_weights_that_are_named_after_the_return)
{
    this->start(gateway_count, 3);
    this->start_agent(0);
    this->store.keep_copy();
    this->write_configuration(configuration(2));
    this->wait_applied(2);
    this->lose_store();
    this->name_weights(2);
    auto const named_at = mono_now();
    this->register_again();
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return !this->engines[0].engine->orders().empty();
        },
        weights_limit));
    EXPECT_LT(mono_now() - named_at, weights_limit);
}

// The store's copy had a configuration that was no longer in force: a route
// that had been removed was served again (CONFIG).
TEST_F(store_returns, an_older_configuration_is_not_in_force_again)
{
    this->write_configuration(with_route(2, "/removed/"));
    this->start(gateway_count, 1, 2);
    this->wait_applied(2);
    this->expect_served("/removed/new");
    this->store.keep_copy();
    this->write_configuration(configuration(3));
    this->wait_applied(3);
    this->lose_store();
    this->restart_gateway(2);
    this->register_again();
    this->wait_for(configuration_limit);
    for (std::size_t at = 0; at < this->gateways.size(); ++at)
        EXPECT_EQ(this->status_at(at, "/removed/new"), HTTP_NOTFOUND)
            << this->gateways[at].name;
}

// A service that had left was called again, since the store's copy still had
// its record (DRAIN).
TEST_F(store_returns, an_upstream_that_has_left_is_not_called_again)
{
    this->start(gateway_count, 1, 3);
    this->play(milliseconds{300}, "/book/new", usual_interval);
    this->store.keep_copy();
    this->store.put("keyed.servers", "book-0", "");
    for (std::size_t at = 0; at < this->gateways.size(); ++at)
        this->wait_logged(at, "member_gone", std::string("upstream=book-0"));
    auto const left_at = mono_now();
    this->lose_store();
    this->write_engine(0, "ready");
    for (std::size_t number = 1; number < this->services.size(); ++number)
        this->add_service("book-" + std::to_string(number),
                          this->services[number]->bound());
    this->play(leaving_limit + milliseconds{2'000}, "/book/new",
               usual_interval);
    EXPECT_EQ(
        this->calls_between("book-0", left_at + leaving_limit, mono_now()), 0U);
    EXPECT_GE(this->served_after(left_at), 0.99);
}

// An upstream whose record the copy lacks was taken for gone before it could
// write it again.
TEST_F(store_returns, an_upstream_has_time_to_register_again)
{
    this->start(gateway_count, 1);
    this->store.keep_copy();
    this->add_book_service(0);
    for (std::size_t at = 0; at < this->gateways.size(); ++at)
        this->wait_logged(at, "member_live", std::string("upstream=book-0"));
    this->lose_store();
    auto const returned_at = mono_now();
    this->play(milliseconds{1'000}, "/book/new", usual_interval);
    this->register_again();
    this->play(milliseconds{2'000}, "/book/new", usual_interval);
    this->settle();
    EXPECT_GE(this->served_after(returned_at), 0.99);
}

// The fencing token of an agent that started after the return was lower than
// one that its engine had seen: its orders were refused for good (VERSION,
// ONE).
TEST_F(store_returns, a_fence_rises_though_offsets_go_back)
{
    this->start(gateway_count, 2);
    this->store.keep_copy();
    this->start_agent(0);
    this->name_weights(2);
    auto const& fences = this->engines[0].engine->fences();
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return fences.size() == 1;
        }));
    this->engines[0].agent_process->kill();
    this->lose_store();
    this->name_weights(2);
    this->register_again();
    this->start_agent(0);
    this->name_weights(3);
    ASSERT_TRUE(this->run_until(
        [&]
        {
            return fences.size() > 1;
        }));
    EXPECT_GT(fences.back(), fences.front());
}

} // namespace jujubestand::programs::test
