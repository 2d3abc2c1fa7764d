#include <jujubestand/agent/weights.hpp>

#include <jujubestand/agent/call_limit.hpp>
#include <jujubestand/agent/fence.hpp>
#include <jujubestand/agent/pauses.hpp>
#include <platform/calls.hpp>
#include <platform/documents.hpp>
#include <platform/names.hpp>

namespace jujubestand::agent
{

namespace
{

constexpr std::chrono::milliseconds order_timeout{1'000};
/// A version first seen within this time after the first status request may
/// have been requested long before this process started.
constexpr std::chrono::milliseconds startup_period{3'000};
constexpr std::chrono::milliseconds fence_retry_delay{400};

void on_order_end(agent_state& state, order const& load_order, int status)
{
    auto const answer = order_response_of(status);
    on_order_response(state.weights, answer, mono_now());
    state.log->write(
        answer == order_response::accepted ? event_number::order_given
                                           : event_number::order_refused,
        {},
        {{"model", load_order.model},
         {"version", static_cast<std::int64_t>(load_order.version)},
         {"fence", static_cast<std::int64_t>(load_order.fence)},
         {"expect", static_cast<std::int64_t>(load_order.orders_accepted)},
         {"status", status},
         {"answer", to_name(order_response_names, answer)}});
    if (!state.weights.fence)
        acquire_fence(state);
}

} // namespace

void acquire_fence(agent_state& state)
{
    request_fence(*state.store, state.settings.name,
                  [&state](std::optional<std::uint64_t> fence)
                  {
                      if (!fence)
                      {
                          state.fence_timer->start(fence_retry_delay);
                          return;
                      }
                      state.weights.fence = fence;
                      state.log->write(
                          event_number::fence_taken, {},
                          {{"fence", static_cast<std::int64_t>(*fence)}});
                  });
}

void on_requested_version(agent_state& state, std::string const& model,
                          std::uint64_t version, mono_time now)
{
    bool const is_age_known = state.first_request_at &&
                              now - *state.first_request_at > startup_period;
    if (record_request(state.weights, model, version, now, is_age_known))
        state.log->write(event_number::weights_wanted, {},
                         {{"model", model},
                          {"version", static_cast<std::int64_t>(version)}});
}

void apply_records(agent_state& state, std::vector<follow::record> const& rows)
{
    for (auto const& row : rows)
    {
        if (row.value.empty() ||
            !row.key.starts_with(platform::names::weights_key_prefix))
            continue;
        reason why;
        auto const requested_weights = platform::decode_weights(row.value, why);
        if (!requested_weights)
        {
            state.log->write(event_number::record_rejected, {},
                             {{"key", row.key}, {"why", to_text(why)}});
            continue;
        }
        on_requested_version(state, requested_weights->model,
                             requested_weights->version, mono_now());
    }
}

void send_order(agent_state& state, order const& load_order)
{
    platform::weights_order order;
    order.model = load_order.model;
    order.version = load_order.version;
    order.holder = state.settings.name;
    order.fence = load_order.fence;
    order.orders_accepted = load_order.orders_accepted;
    order.upstream = state.upstream;
    auto request = platform::order_request(*state.settings.upstream, order);
    request.timeout = order_timeout;
    use_order_permit(state, mono_now());
    auto const status = std::make_shared<int>(0);
    http1::call_events events;
    events.on_head = [&state, status](http1::message_head const& head)
    {
        *status = head.status;
        on_stated_limit(state, limit_source::order, head);
        on_stated_pause(state, head);
    };
    events.on_body = [](std::string_view) {};
    events.on_end = [&state, load_order, status](http1::call_end const&)
    {
        on_order_end(state, load_order, *status);
    };
    state.http_client->start(std::move(request), std::move(events));
}

} // namespace jujubestand::agent
