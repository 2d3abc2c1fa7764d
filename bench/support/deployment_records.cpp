// What a deployment records outside itself: tables in the log, and rows of its
// processes in the instance list.

#include <bench/support/deployment.hpp>

#include <bench/support/ask.hpp>
#include <jujubestand/config/records.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

namespace jujubestand::bench
{

namespace
{

config::change set_pool(config::pool const& row)
{
    config::change made;
    made.kind = config::change_kind::set_pool;
    made.pool_row = row;
    return made;
}

config::change set_route(config::route const& row)
{
    config::change made;
    made.kind = config::change_kind::set_route;
    made.route_row = row;
    return made;
}

} // namespace

void deployment::publish(config::tables const& wanted, log_offset base)
{
    config::edit made;
    std::random_device random;
    made.nonce = request_id{random(), random()};
    made.base = base;
    made.author = "bench";
    for (auto const& [id, row] : wanted.pools)
        made.changes.push_back(set_pool(row));
    for (auto const& [id, row] : wanted.routes)
        made.changes.push_back(set_route(row));
    standins::fetch_request request;
    request.where = this->log.http;
    request.method = EVHTTP_REQ_POST;
    request.path =
        std::string("/v1/streams/") + config::stream_name + "/records";
    request.body = config::pack(made);
    auto const result = ask(request);
    if (result.status != HTTP_OK)
        throw std::runtime_error("the log did not take the tables");
}

void deployment::list_as(deployed_process const& process,
                         std::string const& state)
{
    nlohmann::json const row{
        {"role", process.role},          {"data_centre", process.data_centre},
        {"link", to_text(process.link)}, {"http", to_text(process.http)},
        {"upstream", process.upstream},  {"state", state}};
    standins::fetch_request request;
    request.where = this->list.http;
    request.method = EVHTTP_REQ_PUT;
    request.path = "/v1/instances/" + process.name;
    request.body = row.dump();
    if (ask(request).status != HTTP_OK)
        throw std::runtime_error("the list did not take " + process.name);
}

void deployment::unlist(deployed_process const& process)
{
    standins::fetch_request request;
    request.where = this->list.http;
    request.method = EVHTTP_REQ_DELETE;
    request.path = "/v1/instances/" + process.name;
    if (ask(request).status != HTTP_OK)
        throw std::runtime_error("the list kept " + process.name);
}

} // namespace jujubestand::bench
