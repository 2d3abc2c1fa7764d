#include <standins/engine/engine_service.hpp>

#include <algorithm>
#include <standins/support/http_client.hpp>

namespace jujubestand::standins
{

namespace
{

constexpr int status_conflict = 409;
constexpr int status_bad_gateway = 502;
constexpr std::chrono::milliseconds shortest_sample{20};
constexpr std::chrono::minutes load_time_limit{10};

} // namespace

feed_faults engine_service::faults() const
{
    return {this->switches.events_delay_ms, this->switches.events_gap_per_1000};
}

// What is published is the sample before the newest, so it is between one
// and two times the lag old.
void engine_service::sample_load()
{
    std::string newest = this->load_report();
    this->published_load =
        this->sampled_load.empty() ? newest : this->sampled_load;
    this->sampled_load = std::move(newest);
    if (this->switches.load_lag_ms <= 0)
        this->published_load = this->sampled_load;
    std::chrono::milliseconds const lag(this->switches.load_lag_ms);
    this->later.run(std::max(lag, shortest_sample),
                    [this]
                    {
                        this->sample_load();
                    });
}

std::string engine_service::load_report() const
{
    auto const& costs = this->options.costs;
    nlohmann::json const report{
        {"incarnation", this->options.incarnation},
        {"model", this->options.model},
        {"weights_version", this->options.weights_version},
        {"adapters", this->options.adapters},
        {"role", this->options.role},
        {"running", this->model.running.size()},
        {"waiting", this->model.waiting.size()},
        {"waiting_tokens", this->model.waiting_tokens},
        {"slots", costs.slots},
        {"kv_used_blocks", this->model.cache.blocks.size()},
        {"kv_total_blocks", costs.cache_blocks},
        {"prefill_us_per_token",
         costs.prefill_us_per_token * this->switches.slow_factor},
        {"decode_us_per_token",
         (costs.step_us + costs.decode_us) * this->switches.slow_factor},
    };
    return report.dump();
}

std::string engine_service::stats_report() const
{
    engine_totals const& totals = this->model.totals;
    nlohmann::json const report{
        {"requests", totals.requests},
        {"finished", totals.finished},
        {"cancelled", totals.cancelled},
        {"steps", totals.steps},
        {"prompt_tokens", totals.prompt_tokens},
        {"cached_tokens", totals.cached_tokens},
        {"prefilled_tokens", totals.prefilled_tokens},
        {"generated_tokens", totals.generated_tokens},
        {"stored_blocks", totals.stored_blocks},
        {"evicted_blocks", totals.evicted_blocks},
        {"running", this->model.running.size()},
        {"waiting", this->model.waiting.size()},
        {"cache_events", this->feed.newest()},
    };
    return report.dump();
}

void engine_service::handle_order(http_call const& call)
{
    auto const body = nlohmann::json::parse(call.body(), nullptr, false);
    if (!body.is_object())
        return reply(call.request, HTTP_BADREQUEST, R"({"error":"no order"})");
    order wanted;
    wanted.fence = body.value("fence", std::uint64_t{0});
    wanted.kind = body.value("kind", "");
    wanted.model = body.value("model", this->options.model);
    wanted.version = body.value("version", "");
    wanted.adapter = body.value("adapter", "");
    wanted.role = body.value("role", "");
    bool const is_old = wanted.fence < this->newest_fence;
    bool const is_refused = is_old && this->switches.check_fence;
    this->orders.push_back({{"fence", wanted.fence},
                            {"kind", wanted.kind},
                            {"version", wanted.version},
                            {"old", is_old},
                            {"accepted", !is_refused}});
    if (is_refused)
        return reply(call.request, status_conflict,
                     R"({"error":"old fence","newest":)" +
                         std::to_string(this->newest_fence) + '}');
    this->newest_fence = std::max(this->newest_fence, wanted.fence);
    auto const held_id = this->held.hold(call.request, longest_hold, cut);
    std::chrono::milliseconds const pause(this->switches.order_ms);
    this->later.run(pause,
                    [this, wanted, held_id]
                    {
                        this->carry_out(wanted, held_id);
                    });
}

void engine_service::carry_out(order const& wanted, std::uint64_t held_id)
{
    if (wanted.kind != "load_weights" || !this->options.weight_store)
        return this->apply(wanted, held_id);
    nlohmann::json const load{{"model", wanted.model},
                              {"version", wanted.version},
                              {"engine", this->options.name}};
    fetch(this->base,
          fetch_request{*this->options.weight_store, EVHTTP_REQ_POST,
                        "/v1/loads", load.dump(), load_time_limit},
          [this, wanted, held_id](fetch_result const& result)
          {
              if (result.status == HTTP_OK)
                  return this->apply(wanted, held_id);
              auto* const request = this->held.take(held_id);
              if (request != nullptr)
                  reply(request, status_bad_gateway,
                        R"({"error":"weight store"})");
          });
}

void engine_service::apply(order const& wanted, std::uint64_t held_id)
{
    if (wanted.kind == "load_weights")
    {
        this->options.model = wanted.model;
        this->options.weights_version = wanted.version;
        clear(this->model.cache);
        this->feed.cleared(this->faults());
    }
    else if (wanted.kind == "load_adapter")
        this->options.adapters.push_back(wanted.adapter);
    else if (wanted.kind == "set_role")
        this->options.role = wanted.role;
    auto* const request = this->held.take(held_id);
    if (request == nullptr)
        return;
    if (this->switches.lose_order_answers > 0)
    {
        --this->switches.lose_order_answers;
        return this->held.cut_off(request);
    }
    reply(request, HTTP_OK, R"({"done":true})");
}

void engine_service::handle_export(http_call const& call)
{
    auto const named = this->answer_names.find(call.text("request"));
    sequence const* item = nullptr;
    if (named != this->answer_names.end())
        item = this->model.sequences.find(
            this->answers.at(named->second).sequence);
    if (item == nullptr)
        return reply(call.request, HTTP_NOTFOUND, R"({"error":"no request"})");
    nlohmann::json exported{{"request", item->name},
                            {"blocks", nlohmann::json::array()}};
    for (std::size_t index = 0; index < item->used_blocks; ++index)
        exported["blocks"].push_back(std::to_string(item->keys[index]));
    reply(call.request, HTTP_OK, exported.dump(), "application/octet-stream");
}

void engine_service::handle_import(http_call const& call)
{
    auto const body = nlohmann::json::parse(call.body(), nullptr, false);
    if (!body.is_object() || !body.contains("blocks"))
        return reply(call.request, HTTP_BADREQUEST, R"({"error":"no blocks"})");
    stored_blocks stored{body.value("request", ""), 0, {}};
    std::vector<std::uint64_t> evicted;
    for (auto const& text : body["blocks"])
    {
        std::uint64_t const key = std::stoull(text.get<std::string>());
        use_block(this->model.cache, key, evicted);
        stored.keys.push_back(key);
    }
    std::for_each(stored.keys.rbegin(), stored.keys.rend(),
                  [this](std::uint64_t key)
                  {
                      release_block(this->model.cache, key);
                  });
    this->feed.stored(stored, this->faults());
    if (!evicted.empty())
        this->feed.removed(evicted, this->faults());
    reply(call.request, HTTP_OK,
          R"({"blocks":)" + std::to_string(stored.keys.size()) + '}');
}

} // namespace jujubestand::standins
