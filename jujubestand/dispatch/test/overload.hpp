#ifndef JUJUBESTAND_DISPATCH_TEST_OVERLOAD_HPP
#define JUJUBESTAND_DISPATCH_TEST_OVERLOAD_HPP

#include <algorithm>
#include <jujubestand/dispatch/queue_order.hpp>
#include <random>

/// \brief A queue under steady overload, bursts and the loss of upstreams, on a
/// virtual clock, before a pool that accepts a fixed number of tokens per
/// millisecond. Refused callers return once, as those of a deployment with
/// quotas do.
namespace jujubestand::dispatch
{

using std::chrono::milliseconds;

inline mono_time const start{std::chrono::seconds{100}};
inline constexpr milliseconds review_interval{15};
/// Upstreams hold so much work that has not begun.
inline constexpr double room_limit_ms = 50;

struct call_kind
{
    std::string team = "a";
    std::uint8_t priority = 0;
    double tokens = 900;
    milliseconds target{800};
    milliseconds patience{6'400};
    double calls_per_second = 6;
    /// From the start on.
    milliseconds from{0};
    milliseconds until{20'000};
};

inline call_kind urgent_kind(double calls_per_second)
{
    call_kind kind;
    kind.calls_per_second = calls_per_second;
    return kind;
}

inline call_kind patient_kind(double calls_per_second)
{
    call_kind kind;
    kind.priority = 2;
    kind.tokens = 9'250;
    kind.target = milliseconds{2'000};
    kind.patience = milliseconds{5'000};
    kind.calls_per_second = calls_per_second;
    return kind;
}

struct overload_plan
{
    std::vector<call_kind> kinds;
    /// What the pool accepts of this gateway with all of its upstreams.
    double tokens_per_ms = 10;
    std::size_t upstreams = 10;
    /// Half of the upstreams are gone from then on.
    std::optional<milliseconds> loss_at;
    milliseconds duration{20'000};
    unsigned seed = 1;
};

struct caller
{
    std::size_t kind = 0;
    mono_time arrived_at{};
    bool has_returned = false;
    mono_time sent_at{};
    mono_time output_at{};
};

struct kind_result
{
    int calls = 0;
    int in_time = 0;
    int late = 0;
    int refused = 0;
    /// Callers that left while their call waited, or after it was sent.
    int left_waiting = 0;
    int left_sent = 0;
    double accepted_tokens = 0;
    double useful_tokens = 0;
};

class overload
{
public:
    explicit overload(overload_plan const& chosen)
        : plan(chosen)
        , random(chosen.seed)
        , results(chosen.kinds.size())
    {
        for (auto const& kind : this->plan.kinds)
            this->next_arrivals.push_back(start + kind.from);
    }

    std::vector<kind_result> run()
    {
        auto const end = start + this->plan.duration + milliseconds{8'000};
        for (this->now = start; this->now < end; this->now += milliseconds{1})
        {
            this->room = std::min(this->room + this->tokens_per_ms(),
                                  this->tokens_per_ms() * room_limit_ms);
            this->arrive();
            this->leave();
            if ((this->now - start) % review_interval == microseconds{0})
                this->review();
            this->output();
        }
        return this->results;
    }

    /// Calls that were refused in the review right after the loss.
    std::size_t refused_at_loss = 0;

private:
    bool has_lost() const
    {
        return this->plan.loss_at && this->now >= start + *this->plan.loss_at;
    }

    std::size_t upstreams() const
    {
        return this->has_lost() ? this->plan.upstreams / 2
                                : this->plan.upstreams;
    }

    double tokens_per_ms() const
    {
        return this->plan.tokens_per_ms * (this->has_lost() ? 0.5 : 1.0);
    }

    call_kind const& kind_of(std::uint64_t key) const
    {
        return this->plan.kinds[this->callers.at(key).kind];
    }

    double draw(double most)
    {
        return std::uniform_real_distribution<double>(0, most)(this->random);
    }

    // A call that returns looks like a new one.
    queue_entry entry_of(std::uint64_t key) const
    {
        auto const& kind = this->kind_of(key);
        queue_entry entry;
        entry.key = key;
        entry.team = kind.team;
        entry.priority = kind.priority;
        entry.target_latency = kind.target;
        entry.due_at = this->now + kind.target;
        entry.deadline = this->now + kind.patience;
        entry.tokens = kind.tokens;
        return entry;
    }

    queue_terms terms() const
    {
        queue_terms result;
        result.now = this->now;
        result.prefill_tokens_per_ms = 40;
        return result;
    }

    void arrive()
    {
        for (std::size_t number = 0; number < this->plan.kinds.size(); ++number)
        {
            auto const& kind = this->plan.kinds[number];
            auto& next = this->next_arrivals[number];
            while (next <= this->now && next < start + kind.until)
            {
                ++this->results[number].calls;
                this->callers[++this->last_key] = {
                    number, this->now, false, {}, {}};
                this->submit(this->last_key);
                next += std::chrono::duration_cast<microseconds>(
                    std::chrono::duration<double>(
                        std::exponential_distribution<double>(
                            kind.calls_per_second)(this->random)));
            }
        }
        while (!this->returns.empty() &&
               this->returns.begin()->first <= this->now)
        {
            auto const key = this->returns.begin()->second;
            this->returns.erase(this->returns.begin());
            this->submit(key);
        }
    }

    void submit(std::uint64_t key)
    {
        begin_turn(this->flow, this->waiting, this->upstreams(), this->now);
        auto const own = this->entry_of(key);
        auto entries = this->waiting;
        entries.push_back(own);
        auto terms = this->terms();
        terms.newcomer = key;
        auto const places = plan_queue(this->flow, entries, terms);
        auto const place = std::find_if(places.begin(), places.end(),
                                        [&](auto const& row)
                                        {
                                            return row.entry.key == key;
                                        });
        if (place->is_refused)
            this->refuse(*place);
        else if (place == places.begin() && this->room > 0)
            this->send(own);
        else
            this->waiting.push_back(own);
    }

    void refuse(queue_place const& place)
    {
        auto& row = this->callers.at(place.entry.key);
        auto const leaves_at =
            row.arrived_at + this->kind_of(place.entry.key).patience;
        if (place.is_returning)
            record_returning(this->flow, place.entry);
        if (!row.has_returned &&
            place.retry_after <= (leaves_at - this->now) / 3)
        {
            row.has_returned = true;
            this->returns.emplace(this->now + place.retry_after,
                                  place.entry.key);
        }
        else
            ++this->results[row.kind].refused;
    }

    void send(queue_entry const& entry)
    {
        record_accepted(this->flow, entry, this->waiting, this->now);
        this->room -= entry.tokens;
        auto& row = this->callers.at(entry.key);
        row.sent_at = this->now;
        row.output_at = this->now + milliseconds{100} +
                        microseconds{static_cast<int>(this->draw(200'000))};
        this->results[row.kind].accepted_tokens += entry.tokens;
        this->running.push_back(entry.key);
    }

    void review()
    {
        bool const is_after_loss =
            this->has_lost() &&
            this->now - start - *this->plan.loss_at < review_interval;
        begin_turn(this->flow, this->waiting, this->upstreams(), this->now);
        for (auto const& place :
             plan_queue(this->flow, this->waiting, this->terms()))
        {
            if (place.is_refused)
            {
                this->refuse(place);
                this->refused_at_loss += is_after_loss;
            }
            else if (this->room > 0)
                this->send(place.entry);
            else
                continue;
            std::erase_if(this->waiting,
                          [&](queue_entry const& entry)
                          {
                              return entry.key == place.entry.key;
                          });
        }
    }

    // Callers leave whose time is over.
    void leave()
    {
        std::erase_if(this->waiting,
                      [&](queue_entry const& entry)
                      {
                          auto const& row = this->callers.at(entry.key);
                          bool const leaves =
                              row.arrived_at +
                                  this->kind_of(entry.key).patience <=
                              this->now;
                          this->results[row.kind].left_waiting += leaves;
                          return leaves;
                      });
    }

    void output()
    {
        std::erase_if(this->running,
                      [&](std::uint64_t key)
                      {
                          auto const& row = this->callers.at(key);
                          auto const& kind = this->kind_of(key);
                          if (row.output_at > this->now)
                              return false;
                          auto& result = this->results[row.kind];
                          auto const took = row.output_at - row.arrived_at;
                          record_service_time(this->flow, kind.priority,
                                              row.output_at - row.sent_at,
                                              false, this->now);
                          if (took > kind.patience)
                              ++result.left_sent;
                          else if (took > kind.target)
                              ++result.late;
                          else
                          {
                              ++result.in_time;
                              result.useful_tokens += kind.tokens;
                          }
                          return true;
                      });
    }

    overload_plan plan;
    std::mt19937 random;
    std::vector<kind_result> results;
    mono_time now{};
    pool_flow flow;
    double room = 0;
    std::uint64_t last_key = 0;
    std::map<std::uint64_t, caller> callers;
    std::vector<mono_time> next_arrivals;
    std::multimap<mono_time, std::uint64_t> returns;
    std::vector<queue_entry> waiting;
    std::vector<std::uint64_t> running;
};

} // namespace jujubestand::dispatch

#endif
