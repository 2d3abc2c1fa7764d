#ifndef JUJUBESTAND_STANDINS_SERVICE_PLAIN_SERVICE_HPP
#define JUJUBESTAND_STANDINS_SERVICE_PLAIN_SERVICE_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <standins/support/delays.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief What can be made to go wrong with a plain service.
struct service_switches
{
    /// Between execution and answer.
    std::int64_t slow_ms = 0;
    /// Between arrival and execution.
    std::int64_t run_after_ms = 0;
    /// The next so many calls run and are cut off without an answer.
    std::uint32_t lose_answers = 0;
    /// The next call runs, then the process exits.
    bool crash_after_run = false;
    /// Answers 503 without running.
    bool refuse = false;
    /// Takes calls, runs none and never answers.
    bool hang = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_switches, slow_ms,
                                                run_after_ms, lose_answers,
                                                crash_after_run, refuse, hang)

/// \brief Runs each call that it is sent and counts the runs of each key.
///
/// Calls with a method other than GET are executions. The answer repeats
/// method, path, key and body, so that a crossed answer shows.
class plain_service
{
public:
    /// \param journal file that keeps the counts; empty: none
    plain_service(event_base* base, address const& where, std::string journal);
    plain_service(plain_service const&) = delete;
    plain_service& operator=(plain_service const&) = delete;

    [[nodiscard]] address bound() const;

private:
    void handle_call(http_call const& call);
    void handle_read(http_call const& call);
    void execute(evhttp_request* request, std::string const& key,
                 std::string const& answer);
    void count(std::string const& key);
    void load_journal();

    http_server server;
    service_switches switches;
    held_requests held;
    delays later;
    std::string journal;
    std::map<std::string, std::uint64_t> counts;
    std::uint64_t executions = 0;
};

} // namespace jujubestand::standins

#endif
