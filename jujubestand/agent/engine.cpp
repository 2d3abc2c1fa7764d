#include <jujubestand/agent/engine.hpp>

#include <jujubestand/agent/answers.hpp>
#include <jujubestand/agent/weights.hpp>
#include <jujubestand/http1/text_call.hpp>
#include <platform/calls.hpp>
#include <platform/documents.hpp>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds report_timeout{400};
constexpr std::chrono::milliseconds cache_wait{1'000};
constexpr std::chrono::milliseconds cache_pause{20};
constexpr std::chrono::milliseconds cache_retry_pause{250};

/// Consecutive failed reports after which the engine counts as unreachable.
constexpr unsigned report_failures_limit = 2;

void set_reachable(agent_state& self, bool is_reachable, reason const& why)
{
    if (self.is_reachable == is_reachable)
        return;
    self.is_reachable = is_reachable;
    self.log->write(is_reachable ? event_number::engine_reachable
                                 : event_number::engine_unreachable,
                    {}, {{"why", to_text(why)}});
}

void log_loaded(agent_state& self, status::engine_report const& next)
{
    if (!self.report)
        return;
    for (auto const& [model, version] : next.versions)
    {
        auto const before = self.report->versions.find(model);
        if (before != self.report->versions.end() && before->second != version)
            self.log->write(event_number::weights_loaded, {},
                            {{"model", model},
                             {"version", static_cast<std::int64_t>(version)}});
    }
}

void on_report(agent_state& self, std::string const& body)
{
    reason why;
    auto const report = platform::decode_report(body, why);
    if (!report)
    {
        if (++self.report_failures >= report_failures_limit)
            set_reachable(self, false, why);
        return;
    }
    self.report_failures = 0;
    log_loaded(self, *report);
    self.report = report;
    self.reported_at = self.report_asked_at;
    set_reachable(self, true, {});
    on_runs(self.weights, report->runs, mono_now());
    if (auto const due = next_order(self.weights, *report, mono_now()))
        give_order(self, *due);
}

void list_cache(agent_state& self)
{
    auto request = platform::cache_list_request(*self.settings.upstream);
    request.timeout = cache_wait;
    http1::ask_for_text(*self.calls, std::move(request),
                        [&self](std::optional<std::string> const& body)
                        {
                            reason why;
                            auto const list = platform::decode_cache_list(
                                body.value_or(""), why);
                            if (list)
                                status::on_list(self.cache, *list);
                            self.cache_timer->start(cache_retry_pause);
                        });
}

void on_cache_events(agent_state& self, std::optional<std::string> const& body)
{
    reason why;
    auto const events = platform::decode_cache_events(body.value_or(""), why);
    if (!events)
    {
        self.cache_timer->start(cache_retry_pause);
        return;
    }
    if (status::on_events(self.cache, *events))
    {
        self.cache_timer->start(cache_pause);
        return;
    }
    self.log->write(event_number::cache_events_gap, {},
                    {{"next", static_cast<std::int64_t>(events->next)}});
    list_cache(self);
}

} // namespace

void ask_report(agent_state& self)
{
    if (self.is_reporting)
        return;
    self.is_reporting = true;
    self.report_asked_at = mono_now();
    auto request = platform::report_request(*self.settings.upstream);
    request.timeout = report_timeout;
    request.connect_timeout = report_timeout;
    http1::ask_for_text(*self.calls, std::move(request),
                        [&self](std::optional<std::string> const& body)
                        {
                            self.is_reporting = false;
                            on_report(self, body.value_or(""));
                            tell_gateways(self);
                        });
}

void ask_cache_events(agent_state& self)
{
    auto request = platform::cache_events_request(*self.settings.upstream,
                                                  self.cache.next, cache_wait);
    request.timeout = 2 * cache_wait;
    http1::ask_for_text(*self.calls, std::move(request),
                        [&self](std::optional<std::string> const& body)
                        {
                            on_cache_events(self, body);
                        });
}

} // namespace jujubestand::agent
