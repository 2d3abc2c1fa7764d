#include <bench/support/deployment.hpp>

#include <bench/support/ask.hpp>
#include <bench/support/settings_text.hpp>
#include <bench/support/workload.hpp>
#include <fstream>
#include <standins/support/program.hpp>
#include <stdexcept>

namespace jujubestand::bench
{

namespace
{

constexpr char const* build_folder = JUJUBESTAND_BINARY_DIR;
constexpr char const* any_port = "127.0.0.1:0";

std::filesystem::path make_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "jujubestand-XXXXXX")
            .string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make " + pattern);
    return pattern;
}

deployed_process make_standin(std::string const& name,
                              std::string const& program,
                              std::vector<std::string> const& more)
{
    deployed_process made;
    made.name = name;
    made.arguments = {std::string(build_folder) + "/standins/" + program,
                      "--listen", any_port};
    made.arguments.insert(made.arguments.end(), more.begin(), more.end());
    return made;
}

deployed_process make_daemon(std::string const& name, std::string const& role,
                             std::filesystem::path const& folder)
{
    deployed_process made;
    made.name = name;
    made.role = role;
    made.http = made.link = standins::address_argument(any_port);
    made.arguments = {std::string(build_folder) + "/jujubestandd", role,
                      "--settings", (folder / (name + ".toml")).string()};
    return made;
}

/// The value of `key=` in a line of words.
std::string value_of(std::string const& line, std::string const& key)
{
    auto const place = line.find(key + '=');
    if (place == std::string::npos)
        throw std::runtime_error("no " + key + " in \"" + line + '"');
    auto const rest = line.substr(place + key.size() + 1);
    return rest.substr(0, rest.find(' '));
}

std::string wait_first_line(deployed_process& process,
                            std::string const& beginning,
                            std::chrono::milliseconds limit)
{
    auto const line = process.child->wait_line(beginning, limit);
    if (!line)
        throw std::runtime_error(process.name + " did not start; see " +
                                 process.child->output() + ".err");
    return *line;
}

} // namespace

std::string numbered(std::string const& name, std::size_t index)
{
    return name + '-' + std::to_string(index + 1);
}

deployment::deployment(deployment_plan chosen)
    : planned(std::move(chosen))
{
    if (this->planned.folder.empty())
    {
        this->planned.folder = make_folder();
        this->owns_folder = true;
    }
    std::filesystem::create_directories(this->planned.folder);
    try
    {
        this->start_platform();
        this->start_upstreams();
        this->start_sidecars();
        this->start_entries();
    }
    catch (...)
    {
        // What is left in the folder says why.
        this->owns_folder = false;
        this->stop();
        throw;
    }
}

deployment::~deployment()
{
    this->stop();
    std::error_code ignored;
    if (this->owns_folder)
        std::filesystem::remove_all(this->planned.folder, ignored);
}

// Those of a kind leave together; callers' side first, so that a sidecar's
// drain finds no entry that still sends to it.
std::vector<std::string> deployment::stop()
{
    std::vector<std::string> unclean;
    for (auto* group :
         {&this->entries, &this->sidecars, &this->services, &this->engines})
    {
        for (deployed_process& process : *group)
        {
            if (process.child)
                process.child->begin_stop();
        }
        for (deployed_process& process : *group)
            this->stop_one(process, unclean);
    }
    for (auto* process : {&this->store, &this->list, &this->log})
        this->stop_one(*process, unclean);
    return unclean;
}

void deployment::stop_one(deployed_process& process,
                          std::vector<std::string>& unclean) const
{
    if (!process.child)
        return;
    if (process.child->stop(this->planned.stop_limit) != 0)
        unclean.push_back(process.name);
    process.child.reset();
}

void deployment::start_platform()
{
    this->log = make_standin("log", "standin_log", this->planned.log_arguments);
    this->start_standin(this->log);
    this->list =
        make_standin("list", "standin_list",
                     {"--lag-ms", std::to_string(this->planned.list_lag_ms)});
    this->start_standin(this->list);
    this->store = make_standin("store", "standin_store", {});
    this->start_standin(this->store);
    auto const wanted = this->planned.tables ? *this->planned.tables
                                             : default_tables(this->planned);
    this->publish(wanted, log_offset{});
}

void deployment::start_upstreams()
{
    for (std::size_t index = 0; index < this->planned.engines; ++index)
    {
        auto arguments = this->planned.engine_arguments;
        arguments.insert(arguments.end(),
                         {"--name", numbered("engine", index), "--seed",
                          std::to_string(index + 1), "--weight-store",
                          to_text(this->store.http)});
        this->engines.push_back(make_standin(numbered("engine", index),
                                             "standin_engine", arguments));
        this->start_standin(this->engines.back());
    }
    for (std::size_t index = 0; index < this->planned.services; ++index)
    {
        auto const name = numbered("service", index);
        this->services.push_back(make_standin(
            name, "standin_service",
            {"--journal", (this->planned.folder / (name + ".log")).string()}));
        this->start_standin(this->services.back());
    }
}

void deployment::start_sidecars()
{
    for (deployed_process const& upstream : this->engines)
        this->add_sidecar(upstream, "engine");
    for (deployed_process const& upstream : this->services)
        this->add_sidecar(upstream, "service");
    for (deployed_process const& process : this->sidecars)
        this->wait_ready(process);
}

void deployment::add_sidecar(deployed_process const& upstream,
                             std::string const& kind)
{
    std::size_t const index = this->sidecars.size();
    auto const& centres = this->planned.data_centres;
    this->sidecars.push_back(make_daemon("sidecar-" + upstream.name, "sidecar",
                                         this->planned.folder));
    deployed_process& made = this->sidecars.back();
    made.upstream = upstream.name;
    made.data_centre = centres[index % centres.size()];
    this->write_settings(
        made, settings_section("upstream", {{"name", upstream.name},
                                            {"address", to_text(upstream.http)},
                                            {"kind", kind}}) +
                  extra_sections(this->planned.sidecar_settings));
    this->start_daemon(made);
}

void deployment::start_entries()
{
    auto const& centres = this->planned.data_centres;
    for (std::size_t index = 0; index < this->planned.entries; ++index)
    {
        this->entries.push_back(make_daemon(numbered("entry", index), "entry",
                                            this->planned.folder));
        deployed_process& made = this->entries.back();
        made.data_centre = centres[index % centres.size()];
        this->write_settings(made,
                             team_sections(this->planned.teams) +
                                 extra_sections(this->planned.entry_settings));
        this->start_daemon(made);
    }
    for (deployed_process const& process : this->entries)
        this->wait_ready(process);
}

void deployment::start_standin(deployed_process& process)
{
    process.child.emplace(process.arguments, this->output_of(process.name));
    process.http = standins::address_argument(
        wait_first_line(process, "listening ", this->planned.start_limit));
    // A restart comes back at the same place.
    process.arguments[2] = to_text(process.http);
}

void deployment::start_daemon(deployed_process& process)
{
    process.child.emplace(process.arguments, this->output_of(process.name));
    auto const line =
        wait_first_line(process, "ready ", this->planned.start_limit);
    process.http = standins::address_argument(value_of(line, "http"));
    process.link = standins::address_argument(value_of(line, "link"));
    this->list_as(process, "live");
}

void deployment::restart(deployed_process& process)
{
    if (process.child)
        process.child->kill();
    if (process.role.empty())
        return this->start_standin(process);
    std::filesystem::path const file = process.arguments.back();
    std::ifstream in(file);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    in.close();
    std::ofstream(file) << with_addresses(text, process.http, process.link);
    this->start_daemon(process);
}

void deployment::wait_ready(deployed_process const& process)
{
    if (!wait_ok(process.http, "/readyz", this->planned.start_limit))
        throw std::runtime_error(process.name + " is not ready; see " +
                                 this->output_of(process.name) + ".err");
}

std::vector<address> deployment::entry_addresses() const
{
    std::vector<address> result;
    for (deployed_process const& process : this->entries)
        result.push_back(process.http);
    return result;
}

std::filesystem::path const& deployment::folder() const noexcept
{
    return this->planned.folder;
}

deployment_plan const& deployment::plan() const noexcept
{
    return this->planned;
}

std::string deployment::output_of(std::string const& name) const
{
    return (this->planned.folder / name).string();
}

void deployment::write_settings(deployed_process const& process,
                                std::string const& more) const
{
    std::ofstream(process.arguments.back())
        << this->common_settings(process) << more;
}

std::string deployment::common_settings(deployed_process const& process) const
{
    return settings_section("process",
                            {{"instance", process.name},
                             {"data_centre", process.data_centre},
                             {"link_key", "key-of-this-deployment"}}) +
           settings_section("listen",
                            {{"http", any_port}, {"link", any_port}}) +
           settings_section("platform",
                            {{"log", to_text(this->log.http)},
                             {"instances", to_text(this->list.http)}});
}

} // namespace jujubestand::bench
