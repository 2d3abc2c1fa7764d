#include <standins/list/instance_list.hpp>

#include <standins/support/program.hpp>

namespace jujubestand::standins
{

namespace
{

constexpr std::string_view instances_prefix = "/v1/instances/";

std::string list_text(std::uint64_t version, nlohmann::json const& instances)
{
    nlohmann::json const list{{"version", version}, {"instances", instances}};
    return list.dump();
}

} // namespace

instance_list::instance_list(event_base* base, address const& where,
                             list_switches const& initial)
    : server(base, where)
    , switches(initial)
    , held(base)
    , later(base)
    , shown(list_text(0, nlohmann::json::array()))
{
    std::string const prefix(instances_prefix);
    this->server.on(EVHTTP_REQ_PUT, prefix,
                    [this](http_call const& call)
                    {
                        this->handle_put(call);
                    });
    this->server.on(EVHTTP_REQ_DELETE, prefix,
                    [this](http_call const& call)
                    {
                        this->handle_delete(call);
                    });
    this->server.on(EVHTTP_REQ_GET, "/v1/instances",
                    [this](http_call const& call)
                    {
                        this->handle_read(call);
                    });
    serve_switches(this->server, this->switches);
}

address instance_list::bound() const
{
    return this->server.bound();
}

void instance_list::handle_put(http_call const& call)
{
    auto instance = nlohmann::json::parse(call.body(), nullptr, false);
    if (!instance.is_object())
        return reply(call.request, HTTP_BADREQUEST, R"({"error":"no object"})");
    std::string const name = call.path.substr(instances_prefix.size());
    instance["instance"] = name;
    this->instances[name] = std::move(instance);
    this->publish();
    reply(call.request, HTTP_OK, "{}");
}

void instance_list::handle_delete(http_call const& call)
{
    this->instances.erase(call.path.substr(instances_prefix.size()));
    this->publish();
    reply(call.request, HTTP_OK, "{}");
}

void instance_list::publish()
{
    auto rows = nlohmann::json::array();
    for (auto const& [name, instance] : this->instances)
        rows.push_back(instance);
    std::string text = list_text(++this->version, rows);
    std::chrono::milliseconds const lag(this->switches.lag_ms);
    if (lag.count() == 0)
        this->shown = std::move(text);
    else
        this->later.run(lag,
                        [this, text = std::move(text)]
                        {
                            this->shown = text;
                        });
}

void instance_list::handle_read(http_call const& call)
{
    bool const is_out = this->switches.outage;
    this->held.reply_after(
        call.request, std::chrono::milliseconds(this->switches.slow_ms),
        is_out ? HTTP_SERVUNAVAIL : HTTP_OK,
        is_out ? R"({"error":"out"})" : this->shown, "application/json");
}

} // namespace jujubestand::standins
