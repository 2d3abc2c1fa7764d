#include "explorer.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <xxhash.h>

namespace jujubestand::claims::test
{

namespace
{

using std::chrono::seconds;

constexpr digest the_key{1, 2};
constexpr digest the_body{3, 4};
constexpr seconds call_limit{6};
constexpr seconds sleep_time{7};

claim_options options_of(explorer_limits const& limits, std::uint64_t life)
{
    claim_options options;
    options.claimant = incarnation_id{life};
    options.append_pause = std::chrono::milliseconds{0};
    options.append_interval = std::chrono::milliseconds{0};
    options.rules = limits.rules;
    return options;
}

moment now_of(world const& at, std::size_t sidecar)
{
    return {at.sidecars[sidecar].mono, at.wall};
}

request_id request_of(std::size_t call)
{
    return {0, call + 1};
}

void break_rule(world& at, std::string rule)
{
    if (at.broken.empty())
        at.broken = std::move(rule);
}

void begin_call(world& at, std::size_t number)
{
    call_record& call = at.calls[number];
    if (call.told)
        break_rule(at, "begun after its answer");
    if (call.is_begun)
        break_rule(at, "begun twice");
    call.is_begun = true;
    ++at.executions;
    if (at.executions > 1)
        break_rule(at, "key run twice");
}

void tell_call(world& at, std::size_t number, answer_wanted const& answer)
{
    call_record& call = at.calls[number];
    if (call.told)
        break_rule(at, "answered twice");
    if (call.is_begun)
        break_rule(at, "answered while it runs");
    if (answer.result == verdict::ran && at.whole_answers == 0)
        break_rule(at, "told ran, but nothing ran");
    if (answer.result != verdict::not_run && answer.retry_after.count() != 0)
        break_rule(at, "retry advice on a call that may have run");
    call.told = answer.result;
}

void perform(world& at, std::size_t sidecar, claim_effects const& effects)
{
    for (auto const& effect : effects)
    {
        if (auto const* append = std::get_if<append_wanted>(&effect))
        {
            if (at.sidecars[sidecar].wire)
                break_rule(at, "two appends on their way");
            at.sidecars[sidecar].wire = *append;
        }
        else if (auto const* start = std::get_if<start_wanted>(&effect))
            begin_call(at, start->request.low - 1);
        else if (auto const* told = std::get_if<answer_wanted>(&effect))
            tell_call(at, told->request.low - 1, *told);
    }
}

void land(world& at, std::string bytes)
{
    log_offset const offset{at.first + at.log.size()};
    at.log.push_back({offset, at.wall, std::move(bytes)});
}

using step_list = std::vector<std::pair<std::string, world>>;

/// Collects the worlds that follow one world.
struct brancher
{
    world const& from;
    explorer_limits const& limits;
    step_list steps;

    template <class Change>
    void add(std::string name, Change const& change, bool is_fault = false)
    {
        if (is_fault && this->from.faults_left == 0)
            return;
        world next = this->from;
        next.faults_left -= is_fault ? 1 : 0;
        change(next);
        this->steps.emplace_back(std::move(name), std::move(next));
    }
};

void add_offer(brancher& to, std::size_t i, std::string const& name)
{
    if (to.from.calls.size() >= to.limits.calls)
        return;
    to.add(name + " is offered the call",
           [i](world& at)
           {
               at.calls.push_back({i, false, std::nullopt});
               call_offered const call{request_of(at.calls.size() - 1), the_key,
                                       the_body, wall_time{},
                                       at.sidecars[i].mono + call_limit};
               perform(at, i, offer(at.sidecars[i].state, call, now_of(at, i)));
           });
}

void answer_append(world& at, std::size_t i, std::optional<log_offset> offset)
{
    std::uint64_t const id = at.sidecars[i].wire->id;
    at.sidecars[i].wire.reset();
    perform(at, i, answer(at.sidecars[i].state, {id, offset}, now_of(at, i)));
}

void add_appends(brancher& to, std::size_t i, std::string const& name)
{
    if (!to.from.sidecars[i].wire)
        return;
    to.add(name + " append answered",
           [i](world& at)
           {
               land(at, at.sidecars[i].wire->bytes);
               answer_append(at, i, at.log.back().offset);
           });
    to.add(
        name + " append landed, answer lost",
        [i](world& at)
        {
            land(at, at.sidecars[i].wire->bytes);
            answer_append(at, i, std::nullopt);
        },
        true);
    to.add(
        name + " append landed twice",
        [i](world& at)
        {
            land(at, at.sidecars[i].wire->bytes);
            log_offset const offset = at.log.back().offset;
            land(at, at.sidecars[i].wire->bytes);
            answer_append(at, i, offset);
        },
        true);
    to.add(
        name + " append lost or late",
        [i](world& at)
        {
            at.late.push_back(at.sidecars[i].wire->bytes);
            answer_append(at, i, std::nullopt);
        },
        true);
}

void read_log(world& at, std::size_t i, std::size_t most)
{
    claimant& state = at.sidecars[i].state;
    records_read message;
    message.first = log_offset{at.first};
    message.next = log_offset{at.first + at.log.size()};
    std::uint64_t const from =
        std::max<std::uint64_t>(state.window.next.value, 1);
    for (auto const& record : at.log)
    {
        bool const is_wanted = from >= at.first && record.offset.value >= from;
        if (is_wanted && message.records.size() < most)
            message.records.push_back(record);
    }
    perform(at, i, read(state, message, now_of(at, i)));
}

void add_reads(brancher& to, std::size_t i, std::string const& name)
{
    std::uint64_t const end = to.from.first + to.from.log.size();
    claimant const& state = to.from.sidecars[i].state;
    if (state.is_read && state.window.next.value >= end)
        return;
    to.add(name + " reads one",
           [i](world& at)
           {
               read_log(at, i, 1);
           });
    if (end - std::max(state.window.next.value, to.from.first) > 1)
        to.add(name + " reads all",
               [i](world& at)
               {
                   read_log(at, i, SIZE_MAX);
               });
}

void end_call(world& at, std::size_t i, std::size_t number, verdict result)
{
    at.calls[number].told = result;
    if (result == verdict::not_run)
        --at.executions;
    if (result == verdict::ran)
        ++at.whole_answers;
    call_ended message;
    message.request = request_of(number);
    message.outcome.result = result;
    perform(at, i, end(at.sidecars[i].state, message, now_of(at, i)));
}

void add_ends(brancher& to, std::size_t i, std::string const& name)
{
    for (std::size_t number = 0; number < to.from.calls.size(); ++number)
    {
        call_record const& call = to.from.calls[number];
        if (call.sidecar != i || !call.is_begun || call.told)
            continue;
        to.add(name + " call ran",
               [i, number](world& at)
               {
                   end_call(at, i, number, verdict::ran);
               });
        to.add(
            name + " upstream refused to connect",
            [i, number](world& at)
            {
                end_call(at, i, number, verdict::not_run);
            },
            true);
        to.add(
            name + " answer cut",
            [i, number](world& at)
            {
                end_call(at, i, number, verdict::may_have_run);
            },
            true);
    }
}

void crash(world& at, std::size_t i, explorer_limits const& limits)
{
    sidecar_model& sidecar = at.sidecars[i];
    if (sidecar.wire)
        at.late.push_back(sidecar.wire->bytes);
    sidecar.wire.reset();
    sidecar.incarnation += limits.sidecars;
    sidecar.state = claimant{};
    sidecar.state.options = options_of(limits, sidecar.incarnation);
    for (auto& call : at.calls)
    {
        if (call.sidecar == i && !call.told)
            call.told = verdict::may_have_run;
    }
}

void add_faults(brancher& to, std::size_t i, std::string const& name)
{
    auto const& limits = to.limits;
    to.add(
        name + " sleeps past every limit",
        [i](world& at)
        {
            at.sidecars[i].mono += sleep_time;
        },
        true);
    to.add(
        name + " crashes and restarts",
        [i, &limits](world& at)
        {
            crash(at, i, limits);
        },
        true);
    auto const due = next_tick(to.from.sidecars[i].state);
    bool const rules_need_ticks = !to.limits.rules.begun_is_kept;
    if (rules_need_ticks || (due && to.from.sidecars[i].mono >= *due))
        to.add(name + " ticks",
               [i](world& at)
               {
                   perform(at, i, tick(at.sidecars[i].state, now_of(at, i)));
               });
}

void add_log_steps(brancher& to)
{
    for (std::size_t item = 0; item < to.from.late.size(); ++item)
        to.add("a late append lands",
               [item](world& at)
               {
                   land(at, at.late[item]);
                   at.late.erase(at.late.begin() +
                                 static_cast<std::ptrdiff_t>(item));
               });
    if (!to.from.log.empty() && to.from.wall == wall_time{})
        to.add(
            "the log drops its oldest record",
            [](world& at)
            {
                at.wall += claim_options{}.accepted_age + seconds{1};
                at.log.erase(at.log.begin());
                ++at.first;
            },
            true);
}

} // namespace

world first_world(explorer_limits const& limits)
{
    world first;
    first.faults_left = limits.faults;
    for (std::size_t i = 0; i < limits.sidecars; ++i)
    {
        sidecar_model sidecar;
        sidecar.incarnation = i + 1;
        sidecar.state.options = options_of(limits, sidecar.incarnation);
        first.sidecars.push_back(std::move(sidecar));
        read_log(first, i, SIZE_MAX);
    }
    return first;
}

step_list successors(world const& from, explorer_limits const& limits)
{
    brancher to{from, limits, {}};
    for (std::size_t i = 0; i < from.sidecars.size(); ++i)
    {
        std::string const name = "sidecar " + std::to_string(i + 1);
        add_offer(to, i, name);
        add_appends(to, i, name);
        add_reads(to, i, name);
        add_ends(to, i, name);
        add_faults(to, i, name);
    }
    add_log_steps(to);
    return std::move(to.steps);
}

} // namespace jujubestand::claims::test
