#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string result;
    for (unsigned at = bytes; at-- > 0;)
        result += static_cast<char>((value >> (8U * at)) & 0xffU);
    return result;
}

std::uint64_t from_big_endian(std::string const& bytes)
{
    std::uint64_t value = 0;
    for (char const byte : bytes)
        value = (value << 8U) | static_cast<unsigned char>(byte);
    return value;
}

std::string base64(std::string const& text)
{
    constexpr char const* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        auto const count = std::min<std::size_t>(3, text.size() - at);
        std::uint32_t bits = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            bits =
                (bits << 8U) |
                (offset < count ? static_cast<unsigned char>(text[at + offset])
                                : 0U);
        for (std::size_t offset = 0; offset < 4; ++offset)
            result += offset <= count
                          ? digits[(bits >> (18 - 6 * offset)) & 63U]
                          : '=';
    }
    return result;
}

std::string decoded(std::string const& text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '%' || at + 2 >= text.size())
        {
            result += text[at];
            continue;
        }
        result +=
            static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
        at += 2;
    }
    return result;
}

std::uint64_t number_of(std::string const& text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

/// A number or a text of a flat JSON object.
std::string json_value(std::string const& json, std::string const& name)
{
    auto const key = '"' + name + "\":";
    auto const at = json.find(key);
    if (at == std::string::npos)
        return {};
    auto const first = at + key.size();
    if (json[first] == '"')
        return json.substr(first + 1, json.find('"', first + 1) - first - 1);
    return json.substr(first, json.find_first_of(",}", first) - first);
}

std::string in_quotes(std::string const& text)
{
    return '"' + text + '"';
}

std::vector<field> answer_fields(request const& asked)
{
    return {{"X-Request-Id", value_of(asked.fields, "X-Request-Id")},
            {"X-Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"}};
}

constexpr char const* json_type = "application/json";

} // namespace

std::string host(unsigned number)
{
    return "127.40.9." + std::to_string(number);
}

void pause_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool wait_until(std::function<bool()> const& condition, milliseconds within)
{
    auto const end = steady::now() + within;
    while (!condition())
    {
        if (steady::now() > end)
            return false;
        pause_for(milliseconds{5});
    }
    return true;
}

record::record(std::filesystem::path const& file)
    : out(file)
{
}

void record::write(std::string const& line)
{
    std::lock_guard const lock(this->mutex);
    this->out << this->now().count() << " ms " << line << std::endl;
}

milliseconds record::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() -
                                                    this->begun);
}

store::store(std::string const& where)
{
    this->front.start({where, 0},
                      [this](request const& asked, connection& peer)
                      {
                          this->handle(asked, peer);
                      });
    this->expiry = std::thread(
        [this]
        {
            while (!this->is_ended)
            {
                pause_for(milliseconds{50});
                this->end_silent_entries();
            }
        });
}

store::~store()
{
    this->is_ended = true;
    this->changed.notify_all();
    this->expiry.join();
}

// Holds the lock.
void store::add(std::string const& name, std::string const& bytes)
{
    auto& target = this->topics[name];
    if (name.rfind("keyed.", 0) == 0)
    {
        auto const key_bytes = static_cast<unsigned char>(bytes.at(0));
        auto const key = bytes.substr(1, key_bytes);
        auto const value = bytes.substr(1U + key_bytes);
        if (value.empty())
            target.newest.erase(key);
        else
            target.newest[key] = {value, target.records.size()};
    }
    target.records.push_back(bytes);
    this->changed.notify_all();
}

void store::put(std::string const& topic, std::string const& key,
                std::string const& value)
{
    std::lock_guard const lock(this->mutex);
    this->add(topic, static_cast<char>(key.size()) + key + value);
}

void store::beat(std::string const& id, std::string const& entry)
{
    this->put("keyed.servers", id, entry);
    std::lock_guard const lock(this->mutex);
    this->beats[id] = steady::now();
}

void store::end_silent_entries()
{
    std::lock_guard const lock(this->mutex);
    for (auto row = this->beats.begin(); row != this->beats.end();)
    {
        if (steady::now() - row->second < 3 * heartbeat)
        {
            ++row;
            continue;
        }
        this->add("keyed.servers",
                  static_cast<char>(row->first.size()) + row->first);
        row = this->beats.erase(row);
    }
}

void store::handle(request const& asked, connection& peer)
{
    auto const path = asked.path();
    if (path == "/log-append")
        this->append(asked, peer);
    else if (path == "/log-read")
        this->read(asked, peer);
    else if (path == "/log-newest")
        this->list(asked, peer);
    else
        peer.answer(404, {{"Store-Era", "1"}}, "");
}

void store::append(request const& asked, connection& peer)
{
    std::vector<field> const fields{{"Store-Era", "1"},
                                    {"Content-Type", json_type}};
    auto const name = decoded(query_value(asked.target, "topic"));
    auto const at = query_value(asked.target, "at");
    std::unique_lock lock(this->mutex);
    auto const end = this->topics[name].records.size();
    if (!at.empty() && number_of(at) != end)
    {
        lock.unlock();
        peer.answer(412, fields, "{\"end\":" + std::to_string(end) + '}');
        return;
    }
    for (std::size_t from = 0; from + 4 <= asked.body.size();)
    {
        auto const size = from_big_endian(asked.body.substr(from, 4));
        this->add(name, asked.body.substr(from + 4, size));
        from += 4 + size;
    }
    auto const next = this->topics[name].records.size();
    lock.unlock();
    peer.answer(200, fields,
                "{\"offset\":" + std::to_string(end) +
                    ",\"end\":" + std::to_string(next) + '}');
}

void store::read(request const& asked, connection& peer)
{
    auto const name = decoded(query_value(asked.target, "topic"));
    auto const from = number_of(query_value(asked.target, "from"));
    milliseconds const wait{number_of(query_value(asked.target, "wait-ms"))};
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait,
                           [&]
                           {
                               return this->is_ended ||
                                      this->topics[name].records.size() > from;
                           });
    auto const& records = this->topics[name].records;
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t at = from; at < records.size(); ++at)
        body += big_endian(records[at].size(), 4) + records[at];
    bool const is_gone = from > records.size();
    lock.unlock();
    if (is_gone)
        peer.answer(410, {{"Store-Era", "1"}}, "{\"first\":0}");
    else
        peer.answer(200, {{"Store-Era", "1"}}, body);
}

void store::list(request const& asked, connection& peer)
{
    auto const name = decoded(query_value(asked.target, "topic"));
    std::unique_lock lock(this->mutex);
    std::string items;
    for (auto const& [key, row] : this->topics[name].newest)
        items += std::string(items.empty() ? "" : ",") +
                 "{\"key\":" + in_quotes(key) +
                 ",\"value\":" + in_quotes(base64(row.value)) +
                 ",\"offset\":" + std::to_string(row.offset) + '}';
    auto const end = this->topics[name].records.size();
    lock.unlock();
    peer.answer(200, {{"Store-Era", "1"}, {"Content-Type", json_type}},
                "{\"items\":[" + items + "],\"has-more\":false,\"end\":" +
                    std::to_string(end) + '}');
}

worker::worker(store& where, record& to, worker_traits what)
    : platform(where)
    , log(to)
    , traits(std::move(what))
{
}

worker::~worker()
{
    this->is_ended = true;
    if (this->crasher.joinable())
        this->crasher.join();
    this->front.stop();
    if (this->beats.joinable())
        this->beats.join();
}

void worker::start()
{
    {
        std::lock_guard const lock(this->mutex);
        this->born_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count());
        this->sequence = 0;
        this->highest_fence = 0;
        this->is_busy = false;
    }
    this->is_up = true;
    this->beat();
    this->front.start(this->traits.where,
                      [this](request const& asked, connection& peer)
                      {
                          this->handle(asked, peer);
                      });
    this->log.write("worker " + this->traits.id + " of " +
                    this->traits.service + " starts, software " +
                    this->traits.software + ", at " +
                    to_text(this->traits.where));
    if (this->beats.joinable())
        return;
    this->beats = std::thread(
        [this]
        {
            auto next = steady::now() + heartbeat;
            while (!this->is_ended)
            {
                pause_for(milliseconds{10});
                if (steady::now() < next)
                    continue;
                next += heartbeat;
                if (this->is_up)
                    this->beat();
            }
        });
}

void worker::crash()
{
    this->is_up = false;
    this->front.stop();
    this->log.write("worker " + this->traits.id + " has ended");
}

void worker::crash_later()
{
    std::lock_guard const lock(this->mutex);
    if (!this->is_up.exchange(false))
        return;
    this->crash_times.push_back(this->log.now());
    if (this->crasher.joinable())
        this->crasher.join();
    this->crasher = std::thread(
        [this]
        {
            this->crash();
        });
}

void worker::change(std::function<void(worker_traits&)> const& change)
{
    std::lock_guard const lock(this->mutex);
    change(this->traits);
}

std::vector<order> worker::orders() const
{
    std::lock_guard const lock(this->mutex);
    return this->taken;
}

std::vector<run> worker::runs() const
{
    std::lock_guard const lock(this->mutex);
    return this->run_list;
}

std::vector<part_use> worker::shared_parts() const
{
    std::lock_guard const lock(this->mutex);
    return this->uses;
}

std::vector<milliseconds> worker::unanswered() const
{
    std::lock_guard const lock(this->mutex);
    return this->unanswered_times;
}

std::vector<milliseconds> worker::crashes() const
{
    std::lock_guard const lock(this->mutex);
    return this->crash_times;
}

std::string worker::models() const
{
    return "[{\"name\":\"m1\",\"version\":" + std::to_string(this->loaded) +
           ",\"adapters\":[]}]";
}

// Holds the lock.
std::string worker::entry()
{
    std::string result =
        "{\"service\":" + in_quotes(this->traits.service) +
        ",\"address\":" + in_quotes(to_text(this->traits.where)) +
        ",\"zone\":\"zone-a\",\"version\":" + in_quotes(this->traits.software) +
        ",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0";
    if (this->traits.is_engine)
        result += ",\"stage\":\"both\",\"models\":" + this->models();
    return result + ",\"sequence\":" + std::to_string(++this->beat_number) +
           ",\"born\":" + std::to_string(this->born_ms) + '}';
}

void worker::beat()
{
    std::lock_guard const lock(this->mutex);
    this->platform.beat(this->traits.id, this->entry());
}

void worker::handle(request const& asked, connection& peer)
{
    auto const path = asked.path();
    std::vector<field> const json{{"Content-Type", json_type}};
    if (path == "/report")
        this->report(peer);
    else if (path == "/order")
        this->take_order(asked, peer);
    else if (path == "/kv-events")
    {
        auto const wait = number_of(value_of(asked.fields, "Wait-Ms"));
        pause_for(milliseconds{std::min<std::uint64_t>(wait, 1'000)});
        peer.answer(200, json,
                    "{\"boot-epoch\":" + std::to_string(this->born_ms) +
                        ",\"next\":0,\"lost\":false,\"events\":[]}");
    }
    else if (path == "/kv-list")
        peer.answer(200, json,
                    "{\"boot-epoch\":" + std::to_string(this->born_ms) +
                        ",\"next\":0,\"held\":[]}");
    else if (path == "/health")
        peer.answer(200, {{"X-Instance-Id", this->traits.id}}, "");
    else if (this->refuse_misdirected(asked, peer))
        return;
    else if (this->traits.is_engine)
        this->run_stream(asked, peer);
    else
        this->run_plain(asked, peer);
}

void worker::report(connection& peer)
{
    std::unique_lock lock(this->mutex);
    std::string const body =
        "{\"stage\":\"both\",\"models\":" + this->models() +
        ",\"busy\":" + (this->is_busy ? "true" : "false") +
        ",\"sequence\":" + std::to_string(this->sequence) +
        ",\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":93705,"
        "\"handles\":0,\"runs\":[],\"born\":" +
        std::to_string(this->born_ms) + '}';
    lock.unlock();
    peer.answer(200, {{"Content-Type", json_type}}, body);
}

bool worker::refuse_misdirected(request const& asked, connection& peer) const
{
    auto const expected = value_of(asked.fields, "X-Expect-Instance");
    if (expected.empty() || expected == this->traits.id)
        return false;
    peer.answer(421,
                {{"X-Request-Id", value_of(asked.fields, "X-Request-Id")},
                 {"X-Instance-Id", this->traits.id}},
                "");
    return true;
}

void worker::take_order(request const& asked, connection& peer)
{
    constexpr milliseconds load_time{320};
    if (this->refuse_misdirected(asked, peer))
        return;
    order given;
    given.at = this->log.now();
    given.holder = json_value(asked.body, "holder");
    auto const fence = json_value(asked.body, "fencing-token");
    given.fence = number_of(fence);
    given.version = number_of(json_value(asked.body, "version"));
    auto const expected = json_value(asked.body, "expect");
    std::unique_lock lock(this->mutex);
    if (given.holder.empty() || fence.empty())
        given.status = 400;
    else if (this->traits.checks_fences && given.fence < this->highest_fence)
        given.status = 412;
    else if (given.version == this->loaded)
        given.status = 200;
    else if (this->is_busy ||
             (!expected.empty() && number_of(expected) != this->sequence))
        given.status = 409;
    else
        given.status = 202;
    this->highest_fence = std::max(this->highest_fence, given.fence);
    this->taken.push_back(given);
    if (given.status == 202)
    {
        ++this->sequence;
        this->is_busy = true;
    }
    lock.unlock();
    this->log.write("worker " + this->traits.id + " is sent the order of " +
                    given.holder + " with fence " +
                    std::to_string(given.fence) + ": version " +
                    std::to_string(given.version) + ", answers " +
                    std::to_string(given.status));
    peer.answer(given.status, {{"Content-Type", json_type}}, "{}");
    if (given.status != 202)
        return;
    pause_for(load_time);
    this->loaded = given.version;
    this->is_busy = false;
    this->beat();
}

void worker::note_run(request const& asked)
{
    std::lock_guard const lock(this->mutex);
    run const begun{this->log.now(), this->traits.id, this->traits.software,
                    value_of(asked.fields, "X-Request-Id")};
    this->run_list.push_back(begun);
    this->log.write("worker " + begun.worker + " runs " + begun.request_id +
                    ' ' + asked.method + ' ' + asked.target + " after event " +
                    value_of(asked.fields, "Last-Event-Id"));
}

// Parts are found under the text of `X-Cache-Salt` only; an absent one counts
// as one text.
void worker::use_cache(request const& asked)
{
    auto const salt = value_of(asked.fields, "X-Cache-Salt");
    auto const tenant = value_of(asked.fields, "X-Tenant");
    auto parts = value_of(asked.fields, "X-Prompt-Prefix");
    std::lock_guard const lock(this->mutex);
    while (!parts.empty())
    {
        auto const end = std::min(parts.find(','), parts.size());
        auto const part = parts.substr(0, parts.find(':'));
        parts.erase(0, end + 1);
        auto const [row, is_new] =
            this->cache.emplace(std::make_pair(salt, part), tenant);
        if (is_new || row->second == tenant)
            continue;
        this->uses.push_back({part, row->second, tenant});
        this->log.write("worker " + this->traits.id + " uses part " + part +
                        " of tenant " + row->second + " for a request of " +
                        tenant + ", X-Cache-Salt \"" + salt + '"');
    }
}

void worker::run_stream(request const& asked, connection& peer)
{
    auto const expected = value_of(asked.fields, "X-Expect-Version");
    if (!expected.empty() && number_of(expected) != this->loaded)
    {
        peer.answer(421,
                    {{"X-Request-Id", value_of(asked.fields, "X-Request-Id")},
                     {"X-Instance-Id", this->traits.id}},
                    "");
        return;
    }
    this->note_run(asked);
    this->use_cache(asked);
    auto fields = answer_fields(asked);
    fields.push_back({"Content-Type", "text/event-stream"});
    fields.push_back({"X-Weight-Versions", std::to_string(this->loaded)});
    if (!peer.begin(200, fields))
        return;
    auto const software = this->traits.software;
    auto next = number_of(value_of(asked.fields, "Last-Event-Id")) + 1;
    for (; next <= this->traits.events; ++next)
    {
        pause_for(this->traits.event_interval);
        if (peer.has_left() ||
            !peer.chunk("id: " + std::to_string(next) + "\ndata: " + software +
                        ' ' + std::to_string(next) + "\n\n"))
            return;
    }
    peer.end();
}

void worker::run_plain(request const& asked, connection& peer)
{
    this->note_run(asked);
    bool const is_crashing =
        !this->traits.crashing.empty() &&
        asked.target.find(this->traits.crashing) != std::string::npos;
    if (is_crashing)
    {
        this->crash_later();
        return;
    }
    pause_for(this->traits.event_interval);
    if (this->is_up && peer.answer(200, answer_fields(asked), "whole body\n"))
        return;
    std::lock_guard const lock(this->mutex);
    this->unanswered_times.push_back(this->log.now());
    this->log.write("worker " + this->traits.id + " has ended with " +
                    value_of(asked.fields, "X-Request-Id"));
}

process::process(std::vector<std::string> command, std::string settings,
                 std::string output)
{
    std::string const variable = "JUJUBESTAND_NODE_FILE=" + settings;
    std::string const path = "PATH=/usr/bin:/bin";
    std::vector<char*> arguments;
    for (auto& word : command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    char* environment[] = {const_cast<char*>(variable.c_str()),
                           const_cast<char*>(path.c_str()), nullptr};
    auto const parent = ::getpid();
    this->id = ::fork();
    if (this->id != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(1);
    int const file =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), environment);
    ::_exit(127);
}

process::~process()
{
    this->kill();
}

void process::signal(int number) const
{
    if (this->id > 0)
        ::kill(this->id, number);
}

void process::kill()
{
    if (this->id <= 0)
        return;
    this->signal(SIGKILL);
    ::waitpid(this->id, nullptr, 0);
    this->id = -1;
}

bool process::is_running()
{
    return this->id > 0 && ::waitpid(this->id, nullptr, WNOHANG) == 0;
}

world::world(record& to, bounds within)
    : platform(host(1))
    , log(to)
    , limits(within)
{
    for (unsigned number = 1; number < 255; ++number)
        this->hosts.push_back(host(number));
    this->internal_port = free_port(this->hosts);
    auto pattern =
        (std::filesystem::temp_directory_path() / "jujubestand-review-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    this->folder = pattern;
}

world::~world()
{
    this->sides.clear();
    this->fronts.clear();
    this->services.clear();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(this->folder);
}

std::string world::bounds_text() const
{
    auto const number = [](unsigned value)
    {
        return std::to_string(value) + '\n';
    };
    return "[bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = " +
           number(this->limits.contact_ms) +
           "ack-timeout-ms = 4000\ncatch-up-s = 4\ndrain-ms = " +
           number(this->limits.drain_ms) +
           "grace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = " +
           number(this->limits.config_apply_ms) +
           "rollback-slack-ms = 250\nmax-stretch-ms = 5000\n"
           "strict-revoke = true\nrevoke-ms = 5000\n"
           "retry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = " +
           number(this->limits.budget_slack) +
           "recovery-s = 12\ntransit-ms = 120\nretry-after-s = 10\n"
           "fencing-required = " +
           (this->limits.is_fencing_required ? "true" : "false") +
           "\nlease-ms = " + number(this->limits.lease_ms) +
           "thaw-slack-ms = " + number(this->limits.thaw_slack_ms) +
           "version-ms = " + number(this->limits.version_ms) +
           "version-all-ms = 8400\n";
}

std::string world::common_settings(std::string const& name,
                                   std::string const& role,
                                   std::string const& where) const
{
    auto const port = std::to_string(this->internal_port);
    return "node-name = " + in_quotes(name) + "\nrole = " + in_quotes(role) +
           "\nmachine-class = " + in_quotes(role) + "\nserves = [" +
           in_quotes(role) + "]\nip = " + in_quotes(where) +
           "\nzone = \"zone-a\"\nregion = \"region-a\"\n"
           "internal-port-range = [" +
           port + ", " + port +
           "]\nseed-nodes = []\nbootstrap = true\nloss-counted = false\n"
           "discovery = \"platform\"\nentry-mode = \"vip\"\n"
           "heartbeat-ms = 1200\n";
}

void world::add_front()
{
    // Hosts whose delays in taking a lease are short, so that a run is.
    constexpr unsigned first_hosts[] = {203, 226, 248};
    auto const number = this->fronts.size();
    auto made = std::make_unique<front_machine>();
    made->name = "front-zone-a-" + std::to_string(number + 1);
    made->host = host(first_hosts[number]);
    made->callers = {made->host, free_port({made->host})};
    do
        made->readiness = {made->host, free_port({made->host})};
    while (made->readiness.port == made->callers.port);
    this->start_gateway(*made);
    this->fronts.push_back(std::move(made));
}

void world::start_gateway(front_machine& machine) const
{
    auto const path = (this->folder / machine.name).string();
    std::ofstream(path + ".toml")
        << this->common_settings(machine.name, "front", machine.host)
        << "[zones]\nzone-a = \"region-a\"\n[listen-addrs]\nfront = "
        << in_quotes(to_text(machine.callers))
        << "\nready = " << in_quotes(to_text(machine.readiness))
        << "\n[limits]\ncpu-share = 0.19\ncpu-cores = 1\nmemory-mb = 110\n"
           "max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n"
        << this->bounds_text() << "[platform]\naddress = "
        << in_quotes(to_text(this->platform.bound())) << "\nform = \"log\"\n";
    machine.gateway = std::make_unique<process>(
        std::vector<std::string>{"target/jujubestand_node", "gateway"},
        path + ".toml", path + ".log");
    this->log.write("gateway " + machine.name + " starts");
}

void world::start_agent(side_machine& machine) const
{
    auto const path = (this->folder / machine.name).string();
    machine.agent = std::make_unique<process>(
        std::vector<std::string>{"target/jujubestand_node", "agent"},
        path + ".toml", path + ".log");
    this->log.write("agent " + machine.name + " starts");
}

void world::add_side(worker_traits traits)
{
    constexpr unsigned first_host = 20;
    auto const number = static_cast<unsigned>(this->sides.size());
    auto made = std::make_unique<side_machine>();
    made->name = "side-zone-a-" + std::to_string(number + 1);
    made->host = host(first_host + number);
    traits.where = {made->host, free_port({made->host})};
    traits.is_engine = true;
    auto const path = (this->folder / made->name).string();
    std::ofstream(path + ".toml")
        << this->common_settings(made->name, "side", made->host)
        << "app = " << in_quotes(to_text(traits.where))
        << "\nservice = " << in_quotes(traits.service)
        << "\n[zones]\nzone-a = \"region-a\"\n[listen-addrs]\n[limits]\n"
           "cpu-share = 0.2\ncpu-cores = 1\nmemory-mb = 192\nmax-fds = 4096\n"
           "link-mbps = 2000.0\ndisk-mb = 0\n"
        << this->bounds_text() << "[platform]\naddress = "
        << in_quotes(to_text(this->platform.bound())) << "\nform = \"log\"\n";
    made->engine =
        std::make_unique<worker>(this->platform, this->log, std::move(traits));
    made->engine->start();
    this->start_agent(*made);
    this->sides.push_back(std::move(made));
}

worker& world::add_service(worker_traits traits)
{
    constexpr unsigned first_host = 60;
    auto const number = static_cast<unsigned>(this->services.size());
    auto const where = host(first_host + number);
    traits.where = {where, free_port({where})};
    this->services.push_back(
        std::make_unique<worker>(this->platform, this->log, std::move(traits)));
    this->services.back()->start();
    return *this->services.back();
}

void world::wait_ready()
{
    constexpr milliseconds limit{10'000};
    for (auto const& machine : this->fronts)
    {
        bool const is_ready = wait_until(
            [&]
            {
                request asked{"GET", "/ready", {{"Host", "ready"}}, ""};
                return call(machine->readiness, asked, milliseconds{500})
                           .status == 200;
            },
            limit);
        if (!is_ready)
            throw std::runtime_error(machine->name + " is not ready");
    }
    this->log.write("all gateways are ready");
}

} // namespace review
