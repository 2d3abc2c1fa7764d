// Commands that ask the running processes.

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <jujubestand/ctl/fleet_session.hpp>
#include <jujubestand/timeline/drawing.hpp>
#include <jujubestand/timeline/json.hpp>
#include <jujubestand/timeline/merge.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

namespace jujubestand::ctl
{

namespace
{

constexpr int status_ok = 200;

// What `timeline` was asked for, beside what goes to the processes.
struct timeline_arguments
{
    std::string query = "limit=10000";
    instance_id instance;
    std::string svg_file;
};

struct gathered_events
{
    std::vector<timeline::stamped_event> merged;
    std::vector<std::string> silent;
    std::uint64_t lost = 0;
};

bool read_arguments(std::vector<std::string> const& words,
                    timeline_arguments& into, reason& why)
{
    for (auto const& word : words)
    {
        auto const pair = parse_assignment(word);
        if (!pair)
        {
            why = {reason_code::settings_invalid, "expected KEY=VALUE", word};
            return false;
        }
        if (pair->key == "instance")
            into.instance = instance_id(pair->value);
        else if (pair->key == "svg")
            into.svg_file = pair->value;
        else
            into.query += '&' + word;
    }
    // Checked here, so that a wrong name is told before anyone is asked.
    return timeline::parse_query(into.query, why).has_value();
}

gathered_events gather(std::vector<instance_answer> const& answers,
                       instance_id const& only)
{
    gathered_events result;
    std::vector<std::vector<timeline::stamped_event>> parts;
    parts.reserve(answers.size());
    for (auto const& answer : answers)
    {
        if (!only.empty() && answer.from.instance != only)
            continue;
        reason why;
        auto page = timeline::page_from_json(answer.body, why);
        if (answer.status != status_ok || !page)
        {
            result.silent.push_back(answer.from.instance.text);
            continue;
        }
        result.lost += page->lost;
        parts.push_back(std::move(page->events));
    }
    result.merged = timeline::merge_processes(std::move(parts));
    return result;
}

std::optional<gathered_events> gather_all(command_context const& context,
                                          timeline_arguments const& wanted,
                                          reason& why)
{
    fleet_session session(context);
    auto const list = session.read_list(why);
    if (!list)
        return std::nullopt;
    return gather(session.ask_all(*list, "/timeline?" + wanted.query),
                  wanted.instance);
}

void print(command_context const& context, gathered_events const& events)
{
    for (auto const& event : events.merged)
    {
        if (context.is_json)
            *context.out << timeline::to_json(event).dump() << '\n';
        else
            *context.out << timeline::to_line(event) << '\n';
    }
    for (auto const& name : events.silent)
        *context.err << "no answer from " << name << '\n';
    if (events.lost > 0)
        *context.err << events.lost << " older events are no longer kept\n";
}

exit_code show_timeline(command_context const& context,
                        std::vector<std::string> const& words)
{
    reason why;
    timeline_arguments wanted;
    if (!read_arguments(words, wanted, why))
        return fail(context, exit_code::usage, why);
    auto const events = gather_all(context, wanted, why);
    if (!events)
        return fail(context, exit_code::unreachable, why);
    if (wanted.svg_file.empty())
    {
        print(context, *events);
        return exit_code::done;
    }
    std::ofstream file(wanted.svg_file);
    file << timeline::draw_svg(events->merged);
    file.flush();
    if (!file)
        return fail(
            context, exit_code::refused,
            {reason_code::settings_invalid, "cannot write", wanted.svg_file});
    return exit_code::done;
}

std::string field_of(event_note const& what, std::string_view key)
{
    for (auto const& field : what.fields)
    {
        if (field.key == key)
            return field.value;
    }
    return {};
}

// One event in plain words; empty where it says nothing to a caller's fate.
std::string sentence_of(timeline::stamped_event const& event)
{
    auto const& what = event.what;
    auto const field = [&what](std::string_view key)
    {
        return field_of(what, key);
    };
    switch (what.number)
    {
    case event_number::request_accepted:
        return "took it in on route " + field("route") + " with about " +
               field("tokens") + " prompt tokens";
    case event_number::request_refused:
        return "refused it before any upstream was asked: " + field("reason");
    case event_number::upstream_chosen:
        return "sent attempt " + field("attempt") + " to " + field("upstream");
    case event_number::call_started:
        return "gave it to its upstream";
    case event_number::call_refused:
        return "refused it; its upstream never had it: " + field("reason");
    case event_number::attempt_failed:
        return "lost the attempt at " + field("upstream") + " (" +
               field("verdict") + "): " + field("reason");
    case event_number::claim_won:
        return "holds the claim: nobody else may run this call";
    case event_number::claim_refused:
        return "did not get the claim: " + field("reason");
    case event_number::request_finished:
        return "gave the caller the whole answer of " + field("upstream") +
               ", status " + field("status") + ", " + field("cached_tokens") +
               " of " + field("prompt_tokens") + " prompt tokens cached";
    case event_number::request_failed:
        return "told the caller " + field("verdict") + ": " + field("reason");
    case event_number::caller_closed:
        return "saw the caller leave and gave the call up";
    default:
        return {};
    }
}

exit_code explain(command_context const& context,
                  std::vector<std::string> const& words)
{
    reason why{reason_code::settings_invalid, "expected one request id", {}};
    timeline_arguments wanted;
    if (words.size() != 1 ||
        !read_arguments({"request=" + words[0]}, wanted, why))
        return fail(context, exit_code::usage, why);
    auto const events = gather_all(context, wanted, why);
    if (!events)
        return fail(context, exit_code::unreachable, why);
    if (events->merged.empty())
        return fail(
            context, exit_code::refused,
            {reason_code::none, "no process knows this request", words[0]});
    if (context.is_json)
    {
        print(context, *events);
        return exit_code::done;
    }
    auto const begin = events->merged.front().stamp.wall_ms;
    for (auto const& event : events->merged)
    {
        auto const sentence = sentence_of(event);
        if (!sentence.empty())
            *context.out << '+' << event.stamp.wall_ms - begin << " ms  "
                         << event.instance.text << ' ' << sentence << '\n';
    }
    return exit_code::done;
}

void print_status_json(command_context const& context,
                       std::vector<instance_answer> const& answers)
{
    auto rows = nlohmann::ordered_json::array();
    for (auto const& answer : answers)
        rows.push_back({{"instance", answer.from.instance.text},
                        {"data_centre", answer.from.data_centre.text},
                        {"upstream", answer.from.upstream.text},
                        {"is_ready", answer.status == status_ok},
                        {"says", answer.body}});
    *context.out << rows.dump() << '\n';
}

exit_code show_status(command_context const& context,
                      std::vector<std::string> const& words)
{
    reason why{reason_code::settings_invalid, "no arguments are taken", {}};
    if (!words.empty())
        return fail(context, exit_code::usage, why);
    fleet_session session(context);
    auto const list = session.read_list(why);
    if (!list)
        return fail(context, exit_code::unreachable, why);
    auto const answers = session.ask_all(*list, "/readyz");
    bool const all_ready = std::all_of(answers.begin(), answers.end(),
                                       [](instance_answer const& answer)
                                       {
                                           return answer.status == status_ok;
                                       });
    if (context.is_json)
        print_status_json(context, answers);
    else
    {
        for (auto const& answer : answers)
        {
            auto says = answer.status == 0 ? "no answer\n" : answer.body;
            *context.out << std::left << std::setw(16)
                         << answer.from.instance.text << ' ' << std::setw(14)
                         << answer.from.data_centre.text << ' ' << std::setw(14)
                         << answer.from.upstream.text << ' ' << says;
        }
    }
    return all_ready ? exit_code::done : exit_code::refused;
}

constexpr std::array<command, 3> commands{{
    {"timeline", "",
     "[request=ID] [instance=NAME] [team=NAME] [event=NAME] [svg=FILE]  events "
     "of all processes in causal order",
     show_timeline},
    {"explain", "", "REQUEST  why a request went where it did", explain},
    {"status", "", "  which processes are ready, and why not", show_status},
}};

} // namespace

std::span<command const> fleet_commands() noexcept
{
    return commands;
}

} // namespace jujubestand::ctl
