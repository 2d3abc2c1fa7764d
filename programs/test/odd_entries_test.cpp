#include <programs/test/played_calls.hpp>

// Another writer leaves odd entries among those of the upstreams.
namespace jujubestand::programs::test
{

namespace
{

class odd_entries : public played_calls
{
protected:
    /// \brief Record of a service with some fields replaced.
    static std::string odd_record(address const& where,
                                  std::string const& field,
                                  std::string const& value)
    {
        auto const usual = service_record(where, 1);
        auto record = nlohmann::json::parse(usual);
        record.erase(field);
        auto text = record.dump();
        text.pop_back();
        return text + ",\"" + field + "\":" + value + '}';
    }

    void play_to_services(milliseconds duration)
    {
        this->from = mono_now();
        this->play(duration, "/book/new", usual_interval);
        this->settle();
    }

    /// \brief Lines of a gateway's log in which calls were sent to an upstream
    /// of an odd entry: a service under its id would reject them.
    [[nodiscard]] std::size_t sends_to_odd(std::size_t gateway) const
    {
        std::ifstream file(this->gateways[gateway].process->output() + ".out");
        std::size_t result = 0;
        for (std::string line; std::getline(file, line);)
        {
            bool const is_send =
                line.find("upstream_chosen") != std::string::npos;
            result +=
                is_send && line.find(" upstream=odd-") != std::string::npos;
        }
        return result;
    }

    /// \brief Checks that calls were served, and that each service got some.
    void expect_service()
    {
        EXPECT_GE(this->served_after(this->from), 0.99);
        for (char const* id : {"book-0", "book-1"})
            EXPECT_GT(this->calls_between(id, this->from, mono_now()), 0U)
                << id;
        for (auto const& gateway : this->gateways)
            EXPECT_TRUE(gateway.process->is_running()) << gateway.name;
    }

    mono_time from{};
};

} // namespace

// An entry with a number that is too large took the address of a service, and
// calls went to it, or to nothing (LOST).
TEST_F(odd_entries, entries_that_cannot_be_right_change_nothing)
{
    constexpr std::size_t depth = 50'000;
    this->start(2, 1, 2);
    this->play_to_services(milliseconds{500});
    this->expect_service();
    auto const where = this->services[0]->bound();
    auto const nested = std::string(depth, '[') + std::string(depth, ']');
    this->store.put("keyed.servers", "odd-nested",
                    odd_record(where, "address", nested));
    this->store.put("keyed.servers", "odd-born",
                    odd_record(where, "born", "1e300"));
    this->store.put("keyed.servers", "odd-slots",
                    odd_record({where.host, 9}, "slots", "1e30"));
    this->store.put("keyed.servers", "odd-port",
                    odd_record({where.host, 0}, "more", "1"));
    this->store.put(
        "keyed.servers", "odd-range",
        odd_record(where, "address", "\"" + where.host + ":70000\""));
    this->run_until(
        []
        {
            return false;
        },
        milliseconds{1'000});
    this->play_to_services(milliseconds{2'000});
    this->expect_service();
    for (std::size_t number = 0; number < this->gateways.size(); ++number)
        EXPECT_EQ(this->sends_to_odd(number), 0U) << number;
}

// The entry of a service with a number that is too large stood for good, so
// that its later ones were not followed (DRAIN).
TEST_F(odd_entries, a_service_is_followed_after_an_odd_entry_of_its_own)
{
    constexpr milliseconds drain_limit{2'000};
    this->start(2, 1, 2);
    this->play_to_services(milliseconds{500});
    auto const where = this->services[1]->bound();
    this->store.put("keyed.servers", "book-1",
                    odd_record(where, "sequence", "1e30"));
    this->play_to_services(milliseconds{1'500});
    this->expect_service();
    auto leaving = nlohmann::json::parse(service_record(where, 1'000));
    leaving["state"] = "draining";
    this->store.put("keyed.servers", "book-1", leaving.dump());
    auto const left_at = mono_now();
    this->play_to_services(milliseconds{3'500});
    EXPECT_EQ(this->calls_between("book-1", left_at + drain_limit, mono_now()),
              0U);
    EXPECT_GE(this->served_after(left_at), 0.99);
}

} // namespace jujubestand::programs::test
