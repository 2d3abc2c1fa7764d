#include <jujubestand/http/server.hpp>

#include <event2/http.h>
#include <map>
#include <memory>
#include <utility>

namespace jujubestand::http
{

namespace
{

struct uri_deleter
{
    void operator()(evhttp_uri* owned) const noexcept
    {
        evhttp_uri_free(owned);
    }
};

std::string text_of(char const* part)
{
    return part == nullptr ? std::string{} : std::string{part};
}

// A target may be a whole URI, as sent to a proxy.
void read_target(std::string const& target, request& into)
{
    std::unique_ptr<evhttp_uri, uri_deleter> const uri(
        evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT));
    if (!uri)
    {
        into.path = target;
        return;
    }
    into.path = text_of(evhttp_uri_get_path(uri.get()));
    into.query = text_of(evhttp_uri_get_query(uri.get()));
}

struct open_exchange
{
    http1::exchange_id exchange;
    bool is_started = false;
};

} // namespace

struct server::state
{
    server* owner = nullptr;
    slot_map<open_exchange, struct caller_tag> callers;
    std::map<http1::exchange_id, caller_id> by_exchange;
    std::optional<http1::server> connections;

    caller_id add(http1::exchange_id exchange)
    {
        caller_id const caller = this->callers.insert({exchange, false});
        this->by_exchange[exchange] = caller;
        return caller;
    }

    void on_request(http1::exchange_id exchange, http1::server_request received)
    {
        request asked;
        asked.method = std::move(received.head.method);
        read_target(received.head.target, asked);
        asked.headers = std::move(received.head.fields);
        asked.body = std::move(received.body);
        asked.remote_host = this->connections->peer_host(exchange);
        this->owner->requested.emit(this->add(exchange), asked);
    }

    void on_written(http1::exchange_id exchange)
    {
        auto const found = this->by_exchange.find(exchange);
        if (found != this->by_exchange.end())
            this->owner->drained.emit(found->second);
    }

    void on_gone(http1::exchange_id exchange)
    {
        auto const found = this->by_exchange.find(exchange);
        if (found == this->by_exchange.end())
            return;
        caller_id const caller = found->second;
        this->callers.erase(caller);
        this->by_exchange.erase(found);
        this->owner->closed.emit(caller);
    }

    // Takes a caller out before its last write.
    std::optional<http1::exchange_id> release(caller_id caller)
    {
        auto const* const found = this->callers.find(caller);
        if (found == nullptr)
            return std::nullopt;
        auto const exchange = found->exchange;
        this->by_exchange.erase(exchange);
        this->callers.erase(caller);
        return exchange;
    }

    http1::server_events events_of(server_options const& options)
    {
        http1::server_events result;
        result.on_request =
            [this](http1::exchange_id exchange, http1::server_request received)
        {
            this->on_request(exchange, std::move(received));
        };
        result.on_gone = [this](http1::exchange_id exchange)
        {
            this->on_gone(exchange);
        };
        result.on_no_room =
            [this](http1::exchange_id exchange, http1::message_head const&)
        {
            this->owner->refused.emit(this->add(exchange));
        };
        result.on_limited = [this](http1::limited_clients const& counts)
        {
            this->owner->limited.emit(counts);
        };
        result.on_written = [this](http1::exchange_id exchange)
        {
            this->on_written(exchange);
        };
        result.refusal_of = options.refusal_of;
        return result;
    }
};

server::server(event_base* base, server_options options)
    : self(std::make_unique<state>())
{
    this->self->owner = this;
    this->self->connections.emplace(base, this->self->events_of(options));
    this->self->connections->set_limits(options.requests);
    this->self->connections->set_connection_limit(options.connections);
    this->self->connections->set_request_limit(options.held_requests_bytes);
}

server::~server() = default;

std::optional<address> server::listen(address const& where, reason& why)
{
    if (!this->self->connections->listen(where, why))
        return std::nullopt;
    return this->self->connections->bound();
}

void server::stop_accepting()
{
    this->self->connections->stop_accepting();
}

void server::reply(caller_id caller, int status,
                   std::vector<field> const& headers, std::string_view body)
{
    if (auto const exchange = this->self->release(caller))
        this->self->connections->respond(*exchange, status, headers, body);
}

void server::start(caller_id caller, int status,
                   std::vector<field> const& headers)
{
    auto* const found = this->self->callers.find(caller);
    if (found == nullptr || found->is_started)
        return;
    found->is_started = true;
    this->self->connections->begin(found->exchange, status, headers);
}

void server::write(caller_id caller, std::string_view bytes)
{
    auto const* const found = this->self->callers.find(caller);
    if (found != nullptr && found->is_started)
        this->self->connections->send(found->exchange, bytes);
}

void server::finish(caller_id caller)
{
    if (auto const exchange = this->self->release(caller))
        this->self->connections->finish(*exchange);
}

void server::abort(caller_id caller)
{
    if (auto const exchange = this->self->release(caller))
        this->self->connections->abort(*exchange);
}

std::size_t server::buffered_bytes(caller_id caller)
{
    auto const* const found = this->self->callers.find(caller);
    return found == nullptr
               ? 0
               : this->self->connections->unwritten_bytes(found->exchange);
}

std::size_t server::open_callers() const
{
    return this->self->connections->unfinished();
}

} // namespace jujubestand::http
