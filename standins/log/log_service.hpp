#ifndef JUJUBESTAND_STANDINS_LOG_LOG_SERVICE_HPP
#define JUJUBESTAND_STANDINS_LOG_LOG_SERVICE_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <standins/log/log_store.hpp>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief What can be made to go wrong with the log.
struct log_switches
{
    /// Answers 503 to everything.
    bool outage = false;
    /// Takes requests and never answers.
    bool hang = false;
    /// Added to every answer.
    std::int64_t slow_ms = 0;
    /// Of 1000 appends, those that take effect and whose caller is cut off.
    std::uint32_t lose_answers_per_1000 = 0;
    /// Of 1000 appends, those whose caller is cut off and that take effect
    /// only after `late_ms`.
    std::uint32_t late_per_1000 = 0;
    std::int64_t late_ms = 1'000;
    /// Of 1000 appends, those that are written twice.
    std::uint32_t double_per_1000 = 0;
    /// Appends in any one second beyond which the answer is 503; 0: no limit.
    std::uint32_t appends_per_second = 0;
    std::int64_t keep_ms = 0;
    std::size_t keep_records = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    log_switches, outage, hang, slow_ms, lose_answers_per_1000, late_per_1000,
    late_ms, double_per_1000, appends_per_second, keep_ms, keep_records)

/// \brief The log service over HTTP, as docs/design/outside-protocols.md says.
class log_service
{
public:
    /// \param seed chooses which appends the faults hit
    log_service(event_base* loop, address const& where, std::uint64_t seed,
                log_switches const& initial);
    log_service(log_service const&) = delete;
    log_service& operator=(log_service const&) = delete;

    [[nodiscard]] address bound() const;

private:
    /// \brief A read that waits for records or its time limit.
    struct waiting_read
    {
        std::string stream;
        std::uint64_t from = 0;
        std::size_t limit = 0;
    };

    void handle_append(http_call const& call);
    void handle_read(http_call const& call);
    void handle_stats(http_call const& call);
    bool is_over_rate();
    bool draw(std::uint32_t per_1000);
    bool refuse_if_out(evhttp_request* request);
    void store(std::string const& name, std::string const& bytes);
    void wake(std::string const& name);
    void wait(evhttp_request* request, waiting_read read, std::int64_t wait_ms);
    void answer_read(evhttp_request* request, waiting_read const& read);
    void answer(evhttp_request* request, int status, std::string body,
                char const* content_type);

    http_server server;
    log_switches switches;
    log_store streams;
    held_requests held;
    delays late_appends;
    std::map<std::uint64_t, waiting_read> waiting;
    std::mt19937_64 random;
    std::int64_t rate_second = 0;
    std::uint32_t rate_count = 0;
    std::uint64_t refused = 0;
    std::uint64_t reads = 0;
};

} // namespace jujubestand::standins

#endif
