#include <bench/support/ask.hpp>
#include <bench/support/deployment.hpp>
#include <programs/test_clients/load_client.hpp>
#include <sys/resource.h>
#include <thread>

// Misbehaving clients of the caller's port of `jujubestandd entry`, which also
// serves its readiness and metrics. Its settings state neither memory nor
// descriptors: the bounds are those of a node, and of the system.
namespace jujubestand::programs::test
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t megabyte = 1'000'000;
constexpr std::uint64_t memory_mb = 128;
constexpr rlim_t descriptor_limit = 300;

/// \brief Limits the descriptors of the processes that are started meanwhile.
class descriptor_guard
{
public:
    descriptor_guard()
    {
        ::getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit limited = this->before;
        limited.rlim_cur = descriptor_limit;
        ::setrlimit(RLIMIT_NOFILE, &limited);
    }
    ~descriptor_guard()
    {
        ::setrlimit(RLIMIT_NOFILE, &this->before);
    }
    descriptor_guard(descriptor_guard const&) = delete;
    descriptor_guard& operator=(descriptor_guard const&) = delete;

private:
    rlimit before{};
};

bench::deployment_plan small_plan()
{
    bench::deployment_plan result;
    result.entries = 1;
    result.engines = 1;
    result.services = 0;
    result.teams = 1;
    result.data_centres = {"almaty-a"};
    result.entry_settings = {
        {"limits", "drain_notice_ms = 0\nbody_limit_bytes = 1000000\n"}};
    return result;
}

class entry_clients : public testing::TestWithParam<std::string>
{
protected:
    entry_clients()
    {
        descriptor_guard const guard;
        this->running = std::make_unique<bench::deployment>(small_plan());
    }

    void run(client_script script, std::size_t count, milliseconds span)
    {
        auto const shared =
            std::make_shared<client_script const>(std::move(script));
        for (std::size_t number = 0; number < count; ++number)
            this->clients.push_back(std::make_unique<load_client>(
                this->running->entries[0].http, shared));
        auto const end = mono_now() + span;
        while (mono_now() < end)
        {
            for (auto const& client : this->clients)
                client->step(mono_now());
            std::this_thread::sleep_for(milliseconds{5});
        }
    }

    /// \brief While the clients stay connected.
    void expect_sound()
    {
        constexpr milliseconds answer_limit{20'000};
        auto& entry = this->running->entries[0];
        ASSERT_TRUE(entry.child->is_running());
        EXPECT_TRUE(bench::wait_ok(entry.http, "/readyz", answer_limit));
        auto const peak = entry.child->usage().peak_resident_bytes;
        std::cout << "peak " << peak / megabyte << " MB\n";
#if !defined(__SANITIZE_ADDRESS__)
        EXPECT_LT(peak, memory_mb * megabyte);
#endif
    }

    std::unique_ptr<bench::deployment> running;
    std::vector<std::unique_ptr<load_client>> clients;
};

std::string unfinished(std::string const& path, std::size_t bytes)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) +
           "\r\n\r\n" + std::string(bytes - 1, 'x');
}

} // namespace

TEST_P(entry_clients, bodies_short_of_their_end_keep_memory)
{
    constexpr std::size_t body_bytes = 1'000'000;
    constexpr std::size_t client_count = 200;
    this->run(script_of(unfinished(GetParam(), body_bytes)), client_count,
              milliseconds{4'000});
    this->expect_sound();
}

TEST_P(entry_clients, silent_connections_leave_descriptors)
{
    constexpr std::size_t client_count = 400;
    this->run(script_of(""), client_count, milliseconds{4'000});
    this->expect_sound();
}

TEST_P(entry_clients, bodies_by_bytes_leave_descriptors)
{
    constexpr std::size_t client_count = 400;
    client_script script;
    script.beginning = "POST " + GetParam() +
                       " HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n";
    script.repeated = "x";
    script.total_bytes = 9'000;
    script.piece_bytes = 1;
    script.pause = milliseconds{100};
    this->run(std::move(script), client_count, milliseconds{4'000});
    this->expect_sound();
}

INSTANTIATE_TEST_SUITE_P(clients, entry_clients,
                         testing::Values("/v1/completions", "/nowhere",
                                         "/readyz", "/metrics"),
                         [](auto const& given)
                         {
                             auto name = given.param.substr(1);
                             std::replace(name.begin(), name.end(), '/', '_');
                             return name;
                         });

} // namespace jujubestand::programs::test
