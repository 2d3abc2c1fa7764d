#include <jujubestand/ctl/fleet_session.hpp>

#include <event2/event.h>
#include <functional>
#include <jujubestand/core/time.hpp>
#include <jujubestand/platform/http_client.hpp>
#include <jujubestand/platform/libevent.hpp>

namespace jujubestand::ctl
{

namespace
{

constexpr int status_ok = 200;
constexpr std::size_t answer_limit_bytes = 64U << 20U;

struct base_deleter
{
    void operator()(event_base* owned) const noexcept
    {
        event_base_free(owned);
    }
};

} // namespace

struct fleet_session::state
{
    explicit state(command_context const& given)
        : context(given)
        , base(event_base_new())
        , http(this->base.get())
    {
    }

    command_context context;
    std::unique_ptr<event_base, base_deleter> base;
    platform::http_client http;

    [[nodiscard]] platform::http_request get(address const& server,
                                             std::string target) const
    {
        platform::http_request asked;
        asked.server = server;
        asked.target = std::move(target);
        asked.timeout = this->context.timeout;
        asked.answer_limit_bytes = answer_limit_bytes;
        if (!this->context.operator_key.empty())
            asked.headers.push_back(
                {"Authorization", "Bearer " + this->context.operator_key});
        return asked;
    }

    // Each request ends by its own time limit, so this does too.
    void run_until(std::function<bool()> const& done) const
    {
        while (!done())
        {
            timeval const tick =
                platform::to_timeval(std::chrono::milliseconds(5));
            event_base_loopexit(this->base.get(), &tick);
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
    }
};

fleet_session::fleet_session(command_context const& context)
    : self(std::make_unique<state>(context))
{
}

fleet_session::~fleet_session() = default;

std::optional<platform::instance_list> fleet_session::read_list(reason& why)
{
    if (!this->self->context.instances)
    {
        why = {reason_code::settings_invalid, "--instances is needed", {}};
        return std::nullopt;
    }
    std::optional<platform::http_result> result;
    this->self->http.start(
        this->self->get(*this->self->context.instances, "/v1/instances"),
        [&result](platform::http_result const& got)
        {
            result = got;
        });
    this->self->run_until(
        [&result]
        {
            return result.has_value();
        });
    if (result->status != status_ok)
    {
        why = result->why;
        return std::nullopt;
    }
    return platform::parse_instance_list(result->body, why);
}

std::vector<instance_answer>
fleet_session::ask_all(platform::instance_list const& whom,
                       std::string const& target)
{
    std::vector<instance_answer> answers;
    answers.reserve(whom.instances.size());
    std::size_t open = whom.instances.size();
    for (auto const& instance : whom.instances)
    {
        answers.push_back({instance, 0, {}});
        std::size_t const at = answers.size() - 1;
        this->self->http.start(
            this->self->get(instance.http, target),
            [&answers, &open, at](platform::http_result const& got)
            {
                answers[at].status = got.status;
                answers[at].body = got.body;
                --open;
            });
    }
    this->self->run_until(
        [&open]
        {
            return open == 0;
        });
    return answers;
}

} // namespace jujubestand::ctl
