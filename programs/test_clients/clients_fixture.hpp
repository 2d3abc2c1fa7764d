#ifndef JUJUBESTAND_PROGRAMS_TEST_CLIENTS_CLIENTS_FIXTURE_HPP
#define JUJUBESTAND_PROGRAMS_TEST_CLIENTS_CLIENTS_FIXTURE_HPP

#include <filesystem>
#include <iterator>
#include <memory>
#include <programs/test/gateways_fixture.hpp>
#include <programs/test_clients/load_client.hpp>
#include <standins/service/endless_peer.hpp>
#include <string>
#include <vector>

namespace jujubestand::programs::test
{

/// \brief Limits of an instance, as its settings state them.
struct instance_limits
{
    std::uint64_t memory_mb = 60;
    std::size_t max_fds = 600;
};

/// \brief Where clients send their requests.
struct client_target
{
    std::string name;
    std::string path;
    bool is_readiness_port = false;

    friend std::ostream& operator<<(std::ostream& out,
                                    client_target const& shown)
    {
        return out << shown.name;
    }
};

inline std::vector<client_target> client_targets()
{
    return {{"route", "/book/new"},
            {"no_route", "/nowhere/new"},
            {"readiness_path", "/ready"},
            {"readiness_port", "/ready", true}};
}

/// Limits of requests in the configuration, as in deployments.
inline constexpr std::size_t head_limit_bytes = 16'384;
inline constexpr std::size_t body_limit_bytes = 4'194'304;

/// \brief The usual configuration with the limits of deployments.
inline std::string limited_configuration()
{
    auto result = nlohmann::json::parse(configuration());
    result["limits"] = {{"max-header-bytes", head_limit_bytes},
                        {"max-body-bytes", body_limit_bytes},
                        {"header-timeout-ms", 3'000},
                        {"idle-timeout-ms", 15'000}};
    return result.dump();
}

/// \brief Head of a request up to its last field, without the empty line.
inline std::string head_of(std::string const& method, std::string const& path)
{
    return method + ' ' + path +
           " HTTP/1.1\r\nHost: engines.example\r\n"
           "X-Request-Id: call\r\nX-Deadline-Ms: 60000\r\n";
}

/// \brief Head with as many four-byte fields as the limit allows, without the
/// empty line.
inline std::string head_of_short_fields(std::string const& method,
                                        std::string const& path,
                                        std::string const& last_field)
{
    constexpr std::string_view short_field = "a:\r\n";
    auto result = head_of(method, path);
    auto const room = head_limit_bytes - result.size() - last_field.size() -
                      std::string_view("\r\n").size();
    for (std::size_t at = 0; at < room / short_field.size(); ++at)
        result += short_field;
    return result + last_field;
}

/// \brief A gateway process, an engine for ordinary calls, a service, and
/// misbehaving clients.
class clients_test : public gateways_test
{
protected:
    /// \brief Starts a gateway with these limits; the service answers the first
    /// bytes of a connection with `service_answer`, or with nothing.
    void start(instance_limits const& chosen,
               std::string const& service_answer = "")
    {
        this->start_gateway_only(chosen);
        this->service = std::make_unique<standins::endless_peer>(
            this->base.get(), address{host(service_number), 0}, service_answer,
            "");
        this->add_service("service", this->service->bound());
        this->wait_ready();
    }

    void start_gateway_only(instance_limits const& chosen)
    {
        this->limits = chosen;
        this->more_bounds =
            "[limits]\nmemory-mb = " + std::to_string(chosen.memory_mb) +
            "\nmax-fds = " + std::to_string(chosen.max_fds) + "\n";
        this->has_readiness_port = true;
        this->store.put("keyed.op", "config", limited_configuration());
        this->start_gateways(1);
        this->add_engine("v1", near);
        this->watched = this->gateways[0].process.get();
    }

    [[nodiscard]] address address_of(client_target const& target) const
    {
        return target.is_readiness_port ? this->gateways[0].readiness
                                        : this->gateways[0].callers;
    }

    void add_clients(address const& where, client_script script,
                     std::size_t count)
    {
        auto const shared =
            std::make_shared<client_script const>(std::move(script));
        for (std::size_t number = 0; number < count; ++number)
            this->clients.push_back(
                std::make_unique<load_client>(where, shared));
    }

    /// \brief Runs the clients until none could send for a while.
    void run_load()
    {
        constexpr milliseconds quiet_time{500};
        auto quiet_since = mono_now();
        this->run_load_until(
            [&]
            {
                if (this->has_sent)
                    quiet_since = mono_now();
                return mono_now() - quiet_since > quiet_time;
            },
            load_time);
    }

    /// \brief Runs the clients for a time.
    void run_load(milliseconds span)
    {
        this->run_load_until(
            []
            {
                return false;
            },
            span);
    }

    /// \brief Checks that the process lives within its limits and that callers
    /// and the balancer are served while the clients stay connected.
    void expect_sound()
    {
        ASSERT_TRUE(this->watched->is_running());
        EXPECT_TRUE(this->is_asked_until_ok(
            [this](std::string const& name)
            {
                return this->ask(0, {name, "", ""});
            }))
            << "no ordinary call is served";
        for (auto const& where :
             {this->gateways[0].callers, this->gateways[0].readiness})
            EXPECT_TRUE(this->is_asked_until_ok(
                [this, where](std::string const&)
                {
                    http1::client_request request;
                    request.server = where;
                    request.target = "/ready";
                    request.fields = {{"Host", to_text(where)}};
                    return start_call(this->caller, std::move(request));
                }))
                << "not ready at " << to_text(where);
        this->expect_within_limits();
    }

    void expect_within_limits()
    {
        constexpr std::uint64_t megabyte = 1'000'000;
        ASSERT_TRUE(this->watched->is_running());
        auto const peak = this->watched->usage().peak_resident_bytes;
        RecordProperty("peak_mb", static_cast<int>(peak / megabyte));
        RecordProperty("peak_descriptors",
                       static_cast<int>(this->peak_descriptors));
        std::cout << "peak " << peak / megabyte << " MB, "
                  << this->peak_descriptors << " descriptors\n";
        // The address sanitizer keeps freed memory.
#if !defined(__SANITIZE_ADDRESS__)
        EXPECT_LT(peak, this->limits.memory_mb * megabyte);
#endif
        EXPECT_GT(this->peak_descriptors, 0U) << "descriptors were not counted";
        EXPECT_LE(this->peak_descriptors, this->limits.max_fds);
    }

    instance_limits limits;
    bench::child_process* watched = nullptr;
    std::vector<std::unique_ptr<load_client>> clients;

private:
    static constexpr std::size_t service_number = 200;
    static constexpr milliseconds load_time{5'000};

    template <class Condition>
    void run_load_until(Condition done, milliseconds within)
    {
        this->run_until(
            [&]
            {
                this->step_clients();
                return done();
            },
            within);
    }

    void step_clients()
    {
        auto const now = mono_now();
        this->has_sent = false;
        for (auto const& client : this->clients)
            this->has_sent = client->step(now) || this->has_sent;
        constexpr milliseconds count_interval{50};
        if (now < this->next_count_at)
            return;
        this->next_count_at = now + count_interval;
        std::error_code ignored;
        std::filesystem::directory_iterator const descriptors(
            "/proc/" + std::to_string(this->watched->pid()) + "/fd", ignored);
        this->peak_descriptors =
            std::max(this->peak_descriptors,
                     static_cast<std::size_t>(
                         std::distance(begin(descriptors), end(descriptors))));
    }

    /// \brief Repeats a request that is refused or whose connection is closed,
    /// as callers may. \returns whether one was answered with 200
    template <class Start>
    bool is_asked_until_ok(Start start)
    {
        constexpr int attempts_limit = 20;
        constexpr milliseconds pause{250};
        for (int attempt = 0; attempt < attempts_limit; ++attempt)
        {
            auto const answer = start("sound-" + std::to_string(attempt));
            this->run_load_until(
                [&]
                {
                    return answer->end.has_value();
                },
                limit);
            if (answer->status == HTTP_OK && answer->end)
                return true;
            std::cout << "attempt " << attempt << ": status " << answer->status
                      << ", "
                      << (answer->end ? to_text(answer->end->why)
                                      : "no answer in time")
                      << '\n';
            this->caller.cancel(answer->call);
            this->run_load(pause);
        }
        return false;
    }

    std::unique_ptr<standins::endless_peer> service;
    std::size_t peak_descriptors = 0;
    mono_time next_count_at{};
    bool has_sent = false;
};

} // namespace jujubestand::programs::test

#endif
