#include <standins/service/plain_service.hpp>

#include <cstdlib>
#include <fstream>
#include <standins/support/program.hpp>
#include <unistd.h>

namespace jujubestand::standins
{

namespace
{

constexpr int crash_exit_code = 134;

char const* method_name(evhttp_request* request)
{
    switch (evhttp_request_get_command(request))
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "other";
    }
}

std::string answer_to(http_call const& call, bool has_run)
{
    nlohmann::json const answer{
        {"method", method_name(call.request)},
        {"path", call.path},
        {"key", call.header("Idempotency-Key")},
        {"request", call.header("X-Request-Id")},
        {"ran", has_run},
        {"body", call.body()},
    };
    return answer.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

} // namespace

plain_service::plain_service(event_base* base, address const& where,
                             std::string journal_path)
    : server(base, where)
    , held(base)
    , later(base)
    , journal(std::move(journal_path))
{
    this->load_journal();
    auto const run = [this](http_call const& call)
    {
        this->handle_call(call);
    };
    for (auto const method :
         {EVHTTP_REQ_POST, EVHTTP_REQ_PUT, EVHTTP_REQ_DELETE, EVHTTP_REQ_PATCH})
        this->server.on(method, "/", run);
    this->server.on(EVHTTP_REQ_GET, "/",
                    [this](http_call const& call)
                    {
                        this->handle_read(call);
                    });
    this->server.on(
        EVHTTP_REQ_GET, "/_count",
        [this](http_call const& call)
        {
            auto const found = this->counts.find(call.text("key"));
            nlohmann::json const shown{
                {"count", found == this->counts.end() ? 0 : found->second}};
            reply(call.request, HTTP_OK, shown.dump());
        });
    this->server.on(EVHTTP_REQ_GET, "/_counts",
                    [this](http_call const& call)
                    {
                        nlohmann::json const shown{
                            {"executions", this->executions},
                            {"counts", this->counts}};
                        reply(call.request, HTTP_OK, shown.dump());
                    });
    serve_switches(this->server, this->switches);
}

address plain_service::bound() const
{
    return this->server.bound();
}

void plain_service::handle_read(http_call const& call)
{
    if (this->switches.refuse)
        return reply(call.request, HTTP_SERVUNAVAIL, R"({"error":"refused"})");
    this->held.reply_after(call.request,
                           std::chrono::milliseconds(this->switches.slow_ms),
                           HTTP_OK, answer_to(call, false), "application/json");
}

// The run goes on when its caller leaves, as a booking's would.
void plain_service::handle_call(http_call const& call)
{
    if (this->switches.refuse)
        return reply(call.request, HTTP_SERVUNAVAIL, R"({"error":"refused"})");
    if (this->switches.hang)
    {
        this->held.hold(call.request, longest_hold, cut);
        return;
    }
    std::string const key = call.header("Idempotency-Key");
    std::string const answer = answer_to(call, true);
    if (this->switches.run_after_ms == 0)
        return this->execute(call.request, key, answer);
    auto const delay = std::chrono::milliseconds(this->switches.run_after_ms);
    auto const id = this->held.hold(call.request, longest_hold, cut);
    this->later.run(delay,
                    [this, id, key, answer]
                    {
                        this->execute(this->held.take(id), key, answer);
                    });
}

void plain_service::execute(evhttp_request* request, std::string const& key,
                            std::string const& answer)
{
    this->count(key);
    if (this->switches.crash_after_run)
        ::_exit(crash_exit_code);
    if (request == nullptr)
        return;
    if (this->switches.lose_answers > 0)
    {
        --this->switches.lose_answers;
        return this->held.cut_off(request);
    }
    this->held.reply_after(request,
                           std::chrono::milliseconds(this->switches.slow_ms),
                           HTTP_OK, answer, "application/json");
}

void plain_service::count(std::string const& key)
{
    ++this->executions;
    ++this->counts[key];
    if (this->journal.empty())
        return;
    std::ofstream file(this->journal, std::ios::app);
    file << key << '\n' << std::flush;
}

void plain_service::load_journal()
{
    std::ifstream file(this->journal);
    std::string key;
    while (!this->journal.empty() && std::getline(file, key))
    {
        ++this->executions;
        ++this->counts[key];
    }
}

} // namespace jujubestand::standins
