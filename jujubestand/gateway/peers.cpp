#include <jujubestand/gateway/peers.hpp>

#include <algorithm>
#include <charconv>
#include <jujubestand/core/bounded_unpack.hpp>
#include <jujubestand/gateway/part_stores.hpp>
#include <jujubestand/http1/text_call.hpp>
#include <jujubestand/status/messages.hpp>

namespace jujubestand::gateway
{

namespace
{

/// Number of gateways that read the store in normal operation.
constexpr std::size_t readers = 2;

/// Record age above which a gateway reads the store directly.
constexpr std::chrono::milliseconds lag_limit{1'300};

// A confirmation is dated from the start of its long poll and is used until the
// next one arrives: too long a poll would make all gateways read the store.
static_assert(2 * operator_wait + 2 * tick_interval < lag_limit);
constexpr std::chrono::milliseconds fetch_timeout{800};

// IP addresses of the gateways that read the store.
std::vector<std::string> readers_of(gateway_state const& self)
{
    auto const count = std::min(readers, self.peers.size());
    return {self.peers.begin(),
            self.peers.begin() + static_cast<std::ptrdiff_t>(count)};
}

bool is_reader(gateway_state const& self)
{
    auto const begin = self.peers.begin();
    auto const found = std::find(begin, self.peers.end(), self.settings.ip);
    return found == self.peers.end() ||
           static_cast<std::size_t>(found - begin) < readers;
}

bool is_lagging(follow::follower const& topic, mono_time now)
{
    auto const age = follow::age(topic.known(), now);
    return !age || *age > lag_limit;
}

status::topic_standing standing_of(follow::follower const& topic, mono_time now)
{
    status::topic_standing result;
    result.end = topic.known().next;
    result.live_keys = follow::live_keys(topic.known());
    if (auto const age = follow::age(topic.known(), now))
        result.proof_age_us = age->count();
    return result;
}

void take_standing(gateway_state& self, std::string const& host,
                   follow::follower& topic, char const* path,
                   status::topic_standing const& standing,
                   std::int64_t asked_at_us)
{
    if (standing.proof_age_us < 0)
        return;
    mono_time const proven_at{
        microseconds{asked_at_us - standing.proof_age_us}};
    auto const& known = topic.known();
    bool const lacks_removals = standing.end == known.next &&
                                standing.live_keys != follow::live_keys(known);
    if (lacks_removals)
        fetch_records(self, host, topic, path, 0, proven_at);
    else if (!known.is_listed || standing.end > known.next)
        fetch_records(self, host, topic, path, known.is_listed ? known.next : 0,
                      proven_at);
    else
        topic.vouch(standing.end, proven_at);
}

void take_stores(gateway_state& self, std::string const& host,
                 status::peer_answer const& from)
{
    if (is_reader(self) || host != self.stores_from.host)
        return;
    self.stores_from.heard_at = mono_now();
    for (auto& store : self.dispatch.stores)
    {
        auto const told = from.stores.find(to_text(store.where));
        if (told == from.stores.end())
            continue;
        store.is_alive = told->second.is_alive;
        status::on_delta(store.cache, told->second.cache);
    }
}

std::map<std::string, status::cache_mark>
known_stores(gateway_state const& self)
{
    std::map<std::string, status::cache_mark> known;
    for (auto const& store : self.dispatch.stores)
        known[to_text(store.where)] = store.cache.mark;
    return known;
}

void on_question(gateway_state& self, address const& from,
                 status::peer_question const& asked)
{
    auto const now = mono_now();
    status::peer_answer answer;
    answer.asked_at_us = asked.asked_at_us;
    answer.operators = standing_of(*self.operator_topic, now);
    answer.upstreams = standing_of(*self.upstream_topic, now);
    for (auto const& [where, known] : asked.stores)
    {
        auto const watched = self.watched_stores.find(where);
        if (watched != self.watched_stores.end() && is_reader(self))
            answer.stores[where] = {
                watched->second.is_alive,
                status::delta_since(watched->second.cache, known)};
    }
    self.datagrams->send(from, status::to_datagram(answer));
}

void take_records(gateway_state& self, follow::follower& topic,
                  std::string const& bytes, std::uint64_t since,
                  mono_time proven_at)
{
    try
    {
        topic.take(bounded_unpack(bytes)->as<follow::listing>(), since,
                   proven_at);
    }
    catch (std::exception const& error)
    {
        self.log->write(event_number::record_rejected, {},
                        {{"key", "peer"}, {"why", error.what()}});
    }
}

} // namespace

void fetch_records(gateway_state& self, std::string const& host,
                   follow::follower& topic, std::string const& path,
                   std::uint64_t since, mono_time proven_at)
{
    if (!self.fetching.insert(path).second)
        return;
    http1::client_request request;
    request.server = address{host, self.settings.internal_port};
    request.target = path + "?since=" + std::to_string(since);
    request.fields = {{"Host", to_text(request.server)}};
    request.timeout = fetch_timeout;
    http1::ask_for_text(*self.calls, std::move(request),
                        [&self, &topic, path, since,
                         proven_at](std::optional<std::string> const& body)
                        {
                            self.fetching.erase(path);
                            if (body)
                                take_records(self, topic, *body, since,
                                             proven_at);
                        });
}

void ask_peers(gateway_state& self)
{
    auto const now = mono_now();
    bool const reads = is_reader(self);
    self.operator_topic->set_active(reads ||
                                    is_lagging(*self.operator_topic, now));
    self.upstream_topic->set_active(reads ||
                                    is_lagging(*self.upstream_topic, now));
    status::peer_question question;
    question.asked_at_us = to_us(now);
    if (reads)
        watch_stores(self, now);
    else
        follow_reader(self.stores_from, readers_of(self), now);
    for (auto const& host : readers_of(self))
    {
        if (host == self.settings.ip || !may_ask(self.questions, host, now))
            continue;
        question.stores = reads || host != self.stores_from.host
                              ? std::map<std::string, status::cache_mark>{}
                              : known_stores(self);
        self.datagrams->send(address{host, self.settings.internal_port},
                             status::to_datagram(question));
    }
}

void on_peer_datagram(gateway_state& self, address const& from,
                      std::string_view bytes)
{
    if (auto const asked = status::from_datagram<status::peer_question>(bytes))
    {
        on_question(self, from, *asked);
        return;
    }
    auto const answer = status::from_datagram<status::peer_answer>(bytes);
    if (!answer)
        return;
    on_answered(self.questions, from.host);
    take_standing(self, from.host, *self.operator_topic, operator_records_path,
                  answer->operators, answer->asked_at_us);
    take_standing(self, from.host, *self.upstream_topic, upstream_records_path,
                  answer->upstreams, answer->asked_at_us);
    take_stores(self, from.host, *answer);
}

void on_records_request(gateway_state& self, http1::exchange_id exchange,
                        http1::server_request const& request)
{
    constexpr int ok = 200;
    constexpr int not_found = 404;
    std::string_view const target = request.head.target;
    auto const mark = target.find("?since=");
    auto const path = target.substr(0, mark);
    std::uint64_t since = 0;
    if (mark != std::string_view::npos)
    {
        auto const text = target.substr(target.find('=') + 1);
        std::from_chars(text.data(), text.data() + text.size(), since);
    }
    follow::follower const* topic = nullptr;
    if (path == operator_records_path)
        topic = self.operator_topic.get();
    else if (path == upstream_records_path)
        topic = self.upstream_topic.get();
    if (topic == nullptr)
        self.records->respond(exchange, not_found, {}, {});
    else
        self.records->respond(
            exchange, ok, {},
            status::to_bytes(follow::changes_since(topic->known(), since)));
}

} // namespace jujubestand::gateway
