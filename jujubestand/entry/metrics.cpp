#include <jujubestand/entry/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <string>

namespace jujubestand::entry
{

namespace
{

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

// The target of 0.74 s is a bound of its own, so that the share within it
// can be read off.
Histogram::BucketBoundaries first_token_bounds()
{
    return {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35,
            0.5,   0.74, 1.0,   2.0,  5.0, 10.0};
}

Histogram::BucketBoundaries whole_bounds()
{
    return {0.01, 0.05, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0};
}

double seconds(microseconds span)
{
    return std::chrono::duration<double>(span).count();
}

std::string name_of(reason_code code)
{
    return std::string(to_name(code));
}

Family<Counter>& counter(prometheus::Registry& registry, char const* name,
                         char const* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram>& histogram(prometheus::Registry& registry, char const* name,
                             char const* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        registry);
}

} // namespace

struct metrics::state
{
    explicit state(prometheus::Registry& registry)
        : refused(counter(registry, "jujubestand_requests_refused_total",
                          "Requests refused before any upstream was asked"))
        , ended(counter(registry, "jujubestand_requests_total",
                        "Requests that ended, by verdict and wholeness"))
        , failed(counter(registry, "jujubestand_attempts_failed_total",
                         "Attempts that gave no whole answer"))
        , prompt(counter(registry, "jujubestand_prompt_tokens_total",
                         "Prompt tokens of whole answers"))
        , cached(counter(registry, "jujubestand_cached_tokens_total",
                         "Prompt tokens that the engine had cached"))
        , completion(counter(registry, "jujubestand_completion_tokens_total",
                             "Tokens generated in whole answers"))
        , first_token(histogram(registry, "jujubestand_first_token_seconds",
                                "Time from arrival to the first bytes"))
        , whole(histogram(registry, "jujubestand_request_seconds",
                          "Time from arrival to the end of the answer"))
        , probes(counter(registry, "jujubestand_entry_probes_total",
                         "Probes sent to sidecars"))
        , control_bytes(counter(registry,
                                "jujubestand_entry_control_bytes_total",
                                "Bytes of probes and of their replies"))
        , open(prometheus::BuildGauge()
                   .Name("jujubestand_open_requests")
                   .Help("Requests open now")
                   .Register(registry)
                   .Add({}))
    {
    }

    Family<Counter>& refused;
    Family<Counter>& ended;
    Family<Counter>& failed;
    Family<Counter>& prompt;
    Family<Counter>& cached;
    Family<Counter>& completion;
    Family<Histogram>& first_token;
    Family<Histogram>& whole;
    Family<Counter>& probes;
    Family<Counter>& control_bytes;
    Gauge& open;
};

metrics::metrics(prometheus::Registry& registry)
    : self(std::make_unique<state>(registry))
{
}

metrics::~metrics() = default;

void metrics::refused(reason_code code)
{
    this->self->refused.Add({{"reason", name_of(code)}}).Increment();
}

void metrics::first_token(pool_id const& pool, microseconds since_arrival)
{
    this->self->first_token.Add({{"pool", pool.text}}, first_token_bounds())
        .Observe(seconds(since_arrival));
}

void metrics::ended(pool_id const& pool, verdict outcome, bool is_whole,
                    microseconds since_arrival)
{
    this->self->ended
        .Add({{"pool", pool.text},
              {"verdict", std::string(to_name(verdict_names, outcome))},
              {"whole", is_whole ? "yes" : "no"}})
        .Increment();
    this->self->whole.Add({{"pool", pool.text}}, whole_bounds())
        .Observe(seconds(since_arrival));
}

void metrics::used(pool_id const& pool, link::last const& usage)
{
    prometheus::Labels const labels{{"pool", pool.text}};
    this->self->prompt.Add(labels).Increment(usage.prompt_tokens);
    this->self->cached.Add(labels).Increment(usage.cached_tokens);
    this->self->completion.Add(labels).Increment(usage.completion_tokens);
}

void metrics::attempt_failed(pool_id const& pool, reason_code code)
{
    this->self->failed.Add({{"pool", pool.text}, {"reason", name_of(code)}})
        .Increment();
}

void metrics::probe_sent(std::size_t bytes)
{
    this->self->probes.Add({}).Increment();
    this->self->control_bytes.Add({}).Increment(static_cast<double>(bytes));
}

void metrics::probe_answered(std::size_t bytes)
{
    this->self->control_bytes.Add({}).Increment(static_cast<double>(bytes));
}

void metrics::open(std::size_t calls)
{
    this->self->open.Set(static_cast<double>(calls));
}

} // namespace jujubestand::entry
