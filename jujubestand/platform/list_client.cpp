#include <algorithm>
#include <event2/event.h>
#include <jujubestand/platform/libevent.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <simdjson.h>
#include <utility>

namespace jujubestand::platform
{

namespace
{

constexpr int status_ok = 200;

std::string text_of(simdjson::dom::element row, std::string_view key)
{
    std::string_view text;
    if (row[key].get_string().get(text) != simdjson::SUCCESS)
        return {};
    return std::string(text);
}

std::optional<listed_instance> parse_row(simdjson::dom::element row,
                                         reason& why)
{
    listed_instance result;
    result.instance = instance_id(text_of(row, "instance"));
    result.data_centre = data_centre_id(text_of(row, "data_centre"));
    result.upstream = upstream_id(text_of(row, "upstream"));
    auto const role = from_name(listed_role_names, text_of(row, "role"));
    auto const state = from_name(listed_state_names, text_of(row, "state"));
    auto const link = parse_address(text_of(row, "link"), why);
    auto const http = parse_address(text_of(row, "http"), why);
    bool const has_addresses =
        link && http && link->port != 0 && http->port != 0;
    if (result.instance.empty() || !role || !state || !has_addresses)
    {
        why = {reason_code::settings_invalid, "bad row of the instance list",
               result.instance.text};
        return std::nullopt;
    }
    result.role = *role;
    result.state = *state;
    result.link = *link;
    result.http = *http;
    return result;
}

// A row is parsed by itself: one that is nested too deeply, or has a number
// that is too large, would make the whole document unreadable.
void add_row(instance_list& list, std::string_view json)
{
    simdjson::dom::parser parser;
    simdjson::dom::element row;
    reason why;
    if (parser.parse(simdjson::padded_string(json)).get(row) !=
        simdjson::SUCCESS)
    {
        list.unreadable.push_back({{}, "row is no JSON that can be read"});
        return;
    }
    if (auto parsed = parse_row(row, why))
        list.instances.push_back(std::move(*parsed));
    else
        list.unreadable.push_back(
            {instance_id(text_of(row, "instance")), why.text});
}

} // namespace

std::optional<instance_list> parse_instance_list(std::string const& json,
                                                 reason& why)
{
    simdjson::ondemand::parser parser;
    simdjson::padded_string const padded(json);
    simdjson::ondemand::document root;
    simdjson::ondemand::array rows;
    instance_list list;
    auto const fail = [&why]
    {
        why = {reason_code::malformed_json, "not an instance list", {}};
        return std::nullopt;
    };
    if (parser.iterate(padded).get(root) != simdjson::SUCCESS ||
        root.find_field_unordered("version").get_uint64().get(list.version) !=
            simdjson::SUCCESS ||
        root.find_field_unordered("instances").get_array().get(rows) !=
            simdjson::SUCCESS)
        return fail();
    for (auto row : rows)
    {
        std::string_view row_json;
        if (simdjson::to_json_string(row).get(row_json) != simdjson::SUCCESS)
            return fail();
        add_row(list, row_json);
    }
    return list;
}

void keep_unreadable_rows(instance_list& list, instance_list const& previous)
{
    for (auto const& row : list.unreadable)
    {
        auto const known =
            std::find_if(previous.instances.begin(), previous.instances.end(),
                         [&row](listed_instance const& instance)
                         {
                             return instance.instance == row.instance;
                         });
        if (known != previous.instances.end())
            list.instances.push_back(*known);
    }
}

std::chrono::milliseconds list_period(list_client_options const& options,
                                      std::size_t bytes) noexcept
{
    auto const rate = std::max<std::uint32_t>(options.bytes_per_second, 1);
    std::chrono::milliseconds const paced(
        static_cast<std::int64_t>(bytes * 1'000 / rate));
    return std::max(options.period, paced);
}

struct list_client::state
{
    list_client* owner = nullptr;
    http_client* http = nullptr;
    list_client_options options;
    backoff failures;
    /// The list that was read last.
    instance_list last;
    http_call_id call;
    event_ptr timer;

    void poll();
    void answered(http_result const& answer);
    void schedule(std::chrono::milliseconds wait) const;
    static void on_timer(evutil_socket_t socket, short what, void* argument);
};

void list_client::state::schedule(std::chrono::milliseconds wait) const
{
    timeval const delay = to_timeval(wait);
    evtimer_add(this->timer.get(), &delay);
}

void list_client::state::poll()
{
    http_request request;
    request.server = this->options.service;
    request.target = "/v1/instances";
    this->call = this->http->start(request,
                                   [this](http_result const& answer)
                                   {
                                       this->answered(answer);
                                   });
}

void list_client::state::answered(http_result const& answer)
{
    reason why = answer.why;
    std::optional<instance_list> list;
    if (answer.status == status_ok)
        list = parse_instance_list(answer.body, why);
    else if (answer.status != 0)
        why = {reason_code::upstream_error,
               "status " + std::to_string(answer.status),
               {}};
    if (!list)
    {
        this->schedule(next_delay(this->failures, this->options.backoff));
        this->owner->failed.emit(why);
        return;
    }
    reset(this->failures);
    // Spread over a fifth, so that restarted processes do not read in step.
    auto const period = list_period(this->options, answer.body.size());
    auto const spread = static_cast<std::uint64_t>(period.count() / 5 + 1);
    std::chrono::milliseconds const jitter(
        static_cast<std::int64_t>(next_random(this->failures.seed) % spread));
    this->schedule(period - jitter);
    keep_unreadable_rows(*list, this->last);
    this->last = *list;
    for (auto const& row : list->unreadable)
        this->owner->failed.emit(
            reason{reason_code::settings_invalid, row.why, row.instance.text});
    this->owner->received.emit(*list);
}

void list_client::state::on_timer(evutil_socket_t /*socket*/, short /*what*/,
                                  void* argument)
{
    static_cast<state*>(argument)->poll();
}

list_client::list_client(event_base* base, http_client& http,
                         list_client_options options)
    : self(std::make_unique<state>())
{
    this->self->owner = this;
    this->self->http = &http;
    this->self->failures.seed = options.seed;
    this->self->options = std::move(options);
    this->self->timer.reset(
        evtimer_new(base, state::on_timer, this->self.get()));
}

list_client::~list_client()
{
    this->self->http->cancel(this->self->call);
}

void list_client::start()
{
    this->self->schedule(std::chrono::milliseconds(0));
}

} // namespace jujubestand::platform
