#include <jujubestand/sidecar/engine_report.hpp>

#include <nlohmann/json.hpp>

namespace jujubestand::sidecar
{

namespace
{

using nlohmann::json;

template <class Value>
Value value_in(json const& object, char const* key, Value otherwise)
{
    auto const found = object.find(key);
    if (found == object.end())
        return otherwise;
    return found->get<Value>();
}

std::vector<prefix::block_id> blocks_in(json const& object)
{
    std::vector<prefix::block_id> blocks;
    for (auto const& each : object.at("blocks"))
        blocks.push_back(
            prefix::to_block_id(each.get_ref<std::string const&>()));
    return blocks;
}

cache_event event_of(json const& object)
{
    auto const seq = object.at("seq").get<std::uint64_t>();
    incarnation_id const engine(object.at("incarnation").get<std::uint64_t>());
    auto const& kind = object.at("kind").get_ref<std::string const&>();
    if (kind == "removed")
        return prefix::blocks_removed{seq, engine, blocks_in(object)};
    if (kind == "cleared")
        return prefix::cache_cleared{seq, engine};
    if (kind != "stored")
        throw std::invalid_argument("unknown kind of cache event");
    prefix::blocks_stored stored;
    stored.seq = seq;
    stored.incarnation = engine;
    stored.request =
        request_id_from_text(object.at("request").get<std::string>())
            .value_or(request_id{});
    stored.first_token = object.at("first_token").get<std::uint32_t>();
    stored.block_tokens = object.at("block_tokens").get<std::uint32_t>();
    stored.blocks = blocks_in(object);
    return stored;
}

engine_report report_of(json const& object)
{
    engine_report report;
    report.incarnation =
        incarnation_id(object.at("incarnation").get<std::uint64_t>());
    report.model = value_in<std::string>(object, "model", {});
    report.weights_version =
        value_in<std::string>(object, "weights_version", {});
    report.adapters =
        value_in<std::vector<std::string>>(object, "adapters", {});
    report.role = value_in<std::string>(object, "role", {});
    report.running = value_in<std::uint32_t>(object, "running", 0);
    report.waiting = value_in<std::uint32_t>(object, "waiting", 0);
    report.waiting_tokens =
        value_in<std::uint32_t>(object, "waiting_tokens", 0);
    report.slots = value_in<std::uint32_t>(object, "slots", 0);
    report.prefill_us_per_token =
        value_in<double>(object, "prefill_us_per_token", 0);
    return report;
}

/// Runs a reader and turns the library's exceptions into a reason.
template <class Result, class Read>
std::optional<Result> guarded(std::string_view text, reason& why, Read read)
{
    try
    {
        return read(json::parse(text));
    }
    catch (std::exception const& error)
    {
        why = reason{reason_code::malformed_json, error.what(), {}};
        return std::nullopt;
    }
}

} // namespace

std::optional<engine_report> read_engine_report(std::string_view text,
                                                reason& why)
{
    return guarded<engine_report>(text, why, report_of);
}

std::optional<cache_event> read_cache_event(std::string_view line, reason& why)
{
    return guarded<cache_event>(line, why, event_of);
}

} // namespace jujubestand::sidecar
