#include <bench/placement/cluster.hpp>

#include <bench/support/http_call.hpp>
#include <csignal>
#include <fstream>
#include <jujubestand/config/records.hpp>
#include <jujubestand/core/digest.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

namespace jujubestand::bench
{

namespace
{

constexpr std::chrono::milliseconds start_limit{10'000};
constexpr std::chrono::milliseconds ready_poll{50};
constexpr char const* any_port = "127.0.0.1:0";
constexpr char const* link_key = "0123456789abcdef0123456789abcdef";

/// The address that follows `mark` in a program's first line.
address address_after(std::string const& line, std::string const& mark,
                      std::string const& who)
{
    auto const at = line.find(mark);
    if (at == std::string::npos)
        throw std::runtime_error(who + " said: " + line);
    auto const begin = at + mark.size();
    auto const end = line.find(' ', begin);
    reason why;
    auto const found = parse_address(line.substr(begin, end - begin), why);
    if (!found)
        throw std::runtime_error(who + ": " + to_text(why));
    return *found;
}

std::string first_line(child_process& process, std::string const& beginning,
                       std::string const& who)
{
    auto const line = process.wait_line(beginning, start_limit);
    if (!line)
        throw std::runtime_error(who + " did not start");
    return *line;
}

config::edit tables_of(fleet const& size)
{
    config::pool pool;
    pool.id = pool_id("fleet");
    pool.tail_weight = size.tail_weight;
    pool.weights_version = "v1";
    for (std::size_t engine = 0; engine < size.engines; ++engine)
        pool.upstreams.emplace_back("engine-" + std::to_string(engine));
    config::route route;
    route.id = route_id("completions");
    route.pool = pool.id;
    config::edit made;
    made.nonce = request_id{1, 1};
    made.author = "bench";
    made.changes.push_back({config::change_kind::set_pool, {}, pool});
    made.changes.push_back({config::change_kind::set_route, route, {}});
    return made;
}

std::chrono::microseconds
processor_time_of(std::vector<child_process> const& processes)
{
    std::chrono::microseconds total{0};
    for (auto const& each : processes)
        total += each.usage().processor_time;
    return total;
}

} // namespace

cluster::cluster(event_base* loop, fleet const& sizes, cluster_options chosen)
    : base(loop)
    , size(sizes)
    , options(std::move(chosen))
{
    this->start_platform();
    for (std::size_t engine = 0; engine < this->size.engines; ++engine)
    {
        this->engine_addresses.push_back(this->start_standin(
            this->engine_processes,
            this->engine_arguments(engine, {"127.0.0.1", 0})));
        this->set_faults(engine);
        this->start_sidecar(engine);
    }
    this->start_entries();
}

std::vector<address> const& cluster::entries() const noexcept
{
    return this->entry_relays;
}

std::vector<address> const& cluster::engines() const noexcept
{
    return this->engine_addresses;
}

std::vector<address> const& cluster::entry_pages() const noexcept
{
    return this->entry_addresses;
}

std::string cluster::path_of(std::string const& program) const
{
    bool const is_standin = program.starts_with("standin_");
    return this->options.binaries + (is_standin ? "/standins/" : "/") + program;
}

std::string cluster::centre_of(std::size_t number) const
{
    return this->size.data_centres[number % this->size.data_centres.size()];
}

std::string cluster::write_settings(std::string const& name,
                                    std::string const& text) const
{
    std::string path = this->options.folder + "/" + name + ".toml";
    std::ofstream(path) << text;
    return path;
}

address cluster::start_standin(std::vector<child_process>& into,
                               std::vector<std::string> arguments)
{
    std::string const name = arguments.front() + std::to_string(into.size());
    into.push_back(this->start(std::move(arguments), name));
    return address_after(first_line(into.back(), "listening ", name), "", name);
}

child_process cluster::start(std::vector<std::string> arguments,
                             std::string const& name) const
{
    arguments.front() = this->path_of(arguments.front());
    return {std::move(arguments), this->options.folder + "/" + name};
}

address cluster::start_relay(address const& target, std::int64_t distance_us)
{
    std::string const distance = std::to_string(distance_us);
    return this->start_standin(this->relay_processes,
                               {"standin_relay", "--target", to_text(target),
                                "--there-us", distance, "--back-us", distance});
}

void cluster::start_platform()
{
    this->log = this->start_standin(this->platform, {"standin_log"});
    for (std::size_t centre = 0; centre < this->size.data_centres.size();
         ++centre)
        this->lists.push_back(
            this->start_standin(this->platform, {"standin_list"}));
    this->publish_tables();
}

void cluster::publish_tables()
{
    auto const answer =
        call(this->base, this->log, "POST",
             "/v1/streams/" + std::string(config::stream_name) + "/records",
             config::pack(tables_of(this->size)));
    if (answer.status != 200)
        throw std::runtime_error("the tables were not taken");
}

std::vector<std::string> cluster::engine_arguments(std::size_t engine,
                                                   address const& listen) const
{
    engine_size const& cost = this->size.engine;
    return {"standin_engine",
            "--listen",
            to_text(listen),
            "--name",
            "engine-" + std::to_string(engine),
            "--seed",
            std::to_string(engine + 1),
            "--step-us",
            std::to_string(cost.step_us),
            "--decode-us",
            std::to_string(cost.decode_us),
            "--prefill-us",
            std::to_string(cost.prefill_us_per_token),
            "--prefill-tokens",
            std::to_string(cost.prefill_tokens_per_step),
            "--slots",
            std::to_string(cost.slots),
            "--blocks",
            std::to_string(cost.cache_blocks)};
}

void cluster::set_faults(std::size_t engine)
{
    nlohmann::json const faults{
        {"events_gap_per_1000", this->options.events_gap_per_1000}};
    static_cast<void>(call(this->base, this->engine_addresses[engine], "POST",
                           "/_fault", faults.dump()));
}

std::string cluster::common_settings(std::string const& instance,
                                     std::string const& centre,
                                     address const& list,
                                     address const& http) const
{
    return "[process]\ninstance = \"" + instance + "\"\ndata_centre = \"" +
           centre + "\"\nlink_key = \"" + link_key + "\"\n[listen]\nhttp = \"" +
           to_text(http) + "\"\nlink = \"" + any_port +
           "\"\n[platform]\nlog = \"" + to_text(this->log) +
           "\"\ninstances = \"" + to_text(list) + "\"\n";
}

void cluster::start_sidecar(std::size_t engine)
{
    std::string const name = "sidecar-" + std::to_string(engine);
    std::string const text =
        this->common_settings(name, this->centre_of(engine), this->lists[0],
                              {"127.0.0.1", 0}) +
        "[upstream]\nname = \"engine-" + std::to_string(engine) +
        "\"\nkind = \"engine\"\naddress = \"" +
        to_text(this->engine_addresses[engine]) +
        "\"\n[queue]\nslots = " + std::to_string(this->size.engine.slots) +
        "\n";
    auto& process = this->sidecar_processes.emplace_back(this->start(
        {"jujubestandd", "sidecar", "-s", this->write_settings(name, text)},
        name));
    std::string const line = first_line(process, "ready ", name);
    this->list_sidecar(engine, address_after(line, "link=", name),
                       address_after(line, "http=", name));
}

void cluster::list_sidecar(std::size_t engine, address const& link,
                           address const& http)
{
    address const relay =
        this->start_relay(link, this->size.centre_distance_us);
    for (std::size_t centre = 0; centre < this->lists.size(); ++centre)
    {
        bool const is_near =
            this->centre_of(engine) == this->size.data_centres[centre];
        nlohmann::json const row{
            {"role", "sidecar"},
            {"data_centre", this->centre_of(engine)},
            {"link", to_text(is_near ? link : relay)},
            {"http", to_text(http)},
            {"upstream", "engine-" + std::to_string(engine)},
            {"state", "live"}};
        static_cast<void>(call(
            this->base, this->lists[centre], "PUT",
            "/v1/instances/sidecar-" + std::to_string(engine), row.dump()));
    }
}

child_process cluster::start_entry(std::size_t entry, address& http) const
{
    std::string const name = "entry-" + std::to_string(entry);
    std::string text = this->common_settings(name, this->centre_of(entry),
                                             this->lists[entry], http);
    text += "[limits]\npin_header = 1\n";
    for (std::size_t team = 0; team < this->size.prompts.teams; ++team)
        text += "[[team]]\nname = \"" + team_name(team) +
                "\"\nkey_sha256 = [\"" + sha256_hex(team_key(team)) + "\"]\n";
    child_process process = this->start(
        {"jujubestandd", "entry", "-s", this->write_settings(name, text)},
        name);
    http = address_after(first_line(process, "ready ", name), "http=", name);
    return process;
}

void cluster::start_entries()
{
    for (std::size_t entry = 0; entry < this->lists.size(); ++entry)
    {
        address http{"127.0.0.1", 0};
        this->entry_processes.push_back(this->start_entry(entry, http));
        this->entry_addresses.push_back(http);
        this->entry_relays.push_back(
            this->start_relay(http, this->size.caller_distance_us));
    }
    for (auto const& http : this->entry_addresses)
        this->wait_until_ready(http);
}

void cluster::wait_until_ready(address const& http)
{
    auto const until = std::chrono::steady_clock::now() + start_limit;
    while (std::chrono::steady_clock::now() < until)
    {
        if (call(this->base, http, "GET", "/readyz", {}).status == 200)
            return;
        std::this_thread::sleep_for(ready_poll);
    }
    throw std::runtime_error("an entry is not ready");
}

void cluster::crash_engine(std::size_t engine)
{
    this->engine_processes[engine].kill();
}

void cluster::restart_engine(std::size_t engine)
{
    auto const arguments =
        this->engine_arguments(engine, this->engine_addresses[engine]);
    std::string const name = "engine-again-" + std::to_string(engine);
    child_process next = this->start(arguments, name);
    static_cast<void>(first_line(next, "listening ", name));
    std::swap(this->engine_processes[engine], next);
    this->set_faults(engine);
}

void cluster::pause_engine(std::size_t engine)
{
    this->engine_processes[engine].signal(SIGSTOP);
}

void cluster::resume_engine(std::size_t engine)
{
    this->engine_processes[engine].signal(SIGCONT);
}

void cluster::restart_entries()
{
    for (auto& each : this->entry_processes)
        each.kill();
    for (std::size_t entry = 0; entry < this->entry_processes.size(); ++entry)
    {
        auto next = this->start_entry(entry, this->entry_addresses[entry]);
        std::swap(this->entry_processes[entry], next);
    }
}

std::chrono::microseconds cluster::entry_processor_time() const
{
    return processor_time_of(this->entry_processes);
}

std::chrono::microseconds cluster::sidecar_processor_time() const
{
    return processor_time_of(this->sidecar_processes);
}

} // namespace jujubestand::bench
