#include <algorithm>
#include <netinet/in.h>
#include <programs/test/gateways_fixture.hpp>
#include <standins/service/endless_peer.hpp>

// Upstreams whose bytes have no end, in a head or a body, over a whole gateway
// process: callers get their answers at once, and memory stays within the limit
// of the settings.
namespace jujubestand::programs::test
{

namespace
{

constexpr std::size_t parallel_calls = 30;

/// Memory of a machine that runs a gateway. The address sanitizer keeps freed
/// memory, so that builds with it say nothing of this.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t memory_limit_bytes = 2U << 30U;
constexpr bool is_memory_measured = false;
#else
constexpr std::uint64_t memory_limit_bytes = 88U << 20U;
constexpr bool is_memory_measured = true;
#endif

/// \brief The usual configuration and a route for streams of plain services.
std::string configuration_with_feed()
{
    auto result = nlohmann::json::parse(configuration());
    result["routes"].push_back({{"name", "feed"},
                                {"host", "engines.example"},
                                {"path-prefix", "/feed/"},
                                {"service", "books"},
                                {"kind", "stream"},
                                {"public", true},
                                {"max-attempts", 1},
                                {"timeout-ms", 8'000}});
    return result.dump();
}

/// \brief A connection of a caller that sends a call and reads nothing.
class unread_call
{
public:
    unread_call(address const& gateway, std::string const& target)
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int window_bytes = 4'096;
        ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &window_bytes,
                     sizeof window_bytes);
        auto const where = *http1::to_sockaddr(gateway);
        EXPECT_EQ(::connect(this->socket,
                            reinterpret_cast<sockaddr const*>(&where),
                            sizeof where),
                  0);
        auto const request = "GET " + target +
                             " HTTP/1.1\r\nHost: engines.example\r\n"
                             "X-Request-Id: call\r\n\r\n";
        EXPECT_EQ(::send(this->socket, request.data(), request.size(), 0),
                  static_cast<ssize_t>(request.size()));
    }

    ~unread_call()
    {
        ::close(this->socket);
    }

    unread_call(unread_call const&) = delete;
    unread_call& operator=(unread_call const&) = delete;
    unread_call(unread_call&&) = delete;
    unread_call& operator=(unread_call&&) = delete;

private:
    int socket;
};

class endless_answers : public gateways_test
{
protected:
    /// \brief Starts a gateway before a service with such answers.
    void start(std::string const& beginning, std::string const& repeated)
    {
        this->start_gateways(1);
        this->add_engine("v1", near);
        this->peer = std::make_unique<standins::endless_peer>(
            this->base.get(), address{host(service), 0}, beginning, repeated);
        this->add_service("endless", this->peer->bound());
        this->wait_ready();
    }

    /// \brief Sends calls; each must be told of a failure, long before its
    /// time is over, and leave no connection and no memory behind.
    void expect_bounded()
    {
        std::vector<answer_ptr> answers;
        for (std::size_t number = 0; number < parallel_calls; ++number)
        {
            stream_call asked{"call", "", ""};
            asked.target = "/book/new";
            answers.push_back(this->ask(0, asked));
        }
        auto const are_over = [&]
        {
            return std::all_of(answers.begin(), answers.end(),
                               [](answer_ptr const& answer)
                               {
                                   return answer->end.has_value();
                               });
        };
        EXPECT_TRUE(this->run_until(are_over, answer_time));
        for (auto const& answer : answers)
            EXPECT_NE(answer->status, HTTP_OK);
        EXPECT_LT(this->gateways[0].process->usage().peak_resident_bytes,
                  memory_limit_bytes);
        EXPECT_TRUE(this->run_until(
            [this]
            {
                return this->peer->open() == 0;
            },
            answer_time));
    }

    /// \brief Sets the memory that a gateway may take.
    void limit_memory(std::uint64_t megabytes)
    {
        this->more_bounds =
            "[limits]\nmemory-mb = " + std::to_string(megabytes) + "\n";
    }

    /// \brief Checks that memory has stayed within a limit and that calls to
    /// sound upstreams are served.
    void expect_sound(std::uint64_t megabytes)
    {
        constexpr std::uint64_t megabyte = 1'000'000;
        auto const answer = this->ask(0, {"sound", "", ""});
        EXPECT_TRUE(this->run_to_end(answer));
        EXPECT_EQ(answer->status, HTTP_OK);
        auto const peak =
            this->gateways[0].process->usage().peak_resident_bytes;
        RecordProperty("peak_mb", static_cast<int>(peak / megabyte));
        if (is_memory_measured)
        {
            EXPECT_LT(peak, megabytes * megabyte);
        }
    }

    void wait(milliseconds span)
    {
        this->run_until(
            []
            {
                return false;
            },
            span);
    }

    static constexpr std::size_t service = 200;
    /// Under the route's timeout of 4 s, which would end the calls as well.
    static constexpr milliseconds answer_time{3'500};
    std::unique_ptr<standins::endless_peer> peer;
};

constexpr char const* signed_head =
    "HTTP/1.1 200 OK\r\nX-Response-Stamp: endless\r\nX-Request-Id: call\r\n";

} // namespace

// Bytes that are no answer were awaited until the call's time was over.
TEST_F(endless_answers, bytes_that_are_no_head_end_the_call_at_once)
{
    this->start("", "x");
    this->expect_bounded();
}

TEST_F(endless_answers, a_head_without_end_is_given_up)
{
    this->start(signed_head, "X-Filler: filler\r\n");
    this->expect_bounded();
}

// Thirty bodies without an end took more memory than a machine has.
TEST_F(endless_answers, a_body_without_end_is_given_up)
{
    this->start(std::string(signed_head) + "\r\n", "x");
    this->expect_bounded();
}

// An answer that names no call is dropped, but its end was awaited.
TEST_F(endless_answers, a_body_without_end_that_names_no_call_is_given_up)
{
    this->start("HTTP/1.1 200 OK\r\n\r\n", "x");
    this->expect_bounded();
}

TEST_F(endless_answers, chunks_without_end_are_given_up)
{
    this->start(std::string(signed_head) + "Transfer-Encoding: chunked\r\n\r\n",
                "4\r\nabcd\r\n");
    this->expect_bounded();
}

TEST_F(endless_answers, the_size_of_a_chunk_without_end_is_given_up)
{
    this->start(
        std::string(signed_head) + "Transfer-Encoding: chunked\r\n\r\n4;", "x");
    this->expect_bounded();
}

// Events without end were kept for callers that read slowly, 8 MB for each.
TEST_F(endless_answers, events_that_no_caller_reads_are_given_up)
{
    constexpr std::uint64_t megabytes = 88;
    constexpr std::size_t callers = 40;
    this->limit_memory(megabytes);
    this->store.put("keyed.op", "config", configuration_with_feed());
    this->start(std::string(signed_head) +
                    "Content-Type: text/event-stream\r\n\r\n",
                "data: " + std::string(1'000, 'x') + "\n\n");
    std::vector<std::unique_ptr<unread_call>> calls;
    for (std::size_t number = 0; number < callers; ++number)
        calls.push_back(std::make_unique<unread_call>(this->gateways[0].callers,
                                                      "/feed/new"));
    this->wait(milliseconds{3'000});
    this->expect_sound(megabytes);
}

// Bodies that were small each were counted by nobody.
TEST_F(endless_answers, many_small_bodies_stay_within_the_limit)
{
    constexpr std::uint64_t megabytes = 40;
    constexpr std::size_t calls_count = 600;
    constexpr std::size_t body_bytes = 60'000;
    this->limit_memory(megabytes);
    this->start(std::string(signed_head) + "Content-Length: 100000\r\n\r\n" +
                    std::string(body_bytes, 'x'),
                "");
    std::vector<answer_ptr> answers;
    for (std::size_t number = 0; number < calls_count; ++number)
    {
        stream_call asked{"call", "", ""};
        asked.target = "/book/new";
        answers.push_back(this->ask(0, asked));
    }
    this->wait(milliseconds{3'000});
    this->expect_sound(megabytes);
    for (auto const& answer : answers)
        EXPECT_NE(answer->status, HTTP_OK);
}

} // namespace jujubestand::programs::test
