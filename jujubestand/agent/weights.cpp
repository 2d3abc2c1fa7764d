#include <jujubestand/agent/weights.hpp>

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
constexpr std::chrono::milliseconds settled_after{3'000};
constexpr std::chrono::milliseconds fence_retry_pause{400};

constexpr char const* fence_topic = "jujubestand.fences";

constexpr int ok = 200;

order_answer answer_of(int status)
{
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    constexpr int old_fence = 412;
    if (status == ok || status == accepted)
        return order_answer::accepted;
    if (status == conflict)
        return order_answer::conflict;
    if (status == old_fence)
        return order_answer::old_fence;
    return status == 0 ? order_answer::none : order_answer::refused;
}

void on_order_end(agent_state& self, order const& given, int status)
{
    auto const answer = answer_of(status);
    on_order_answer(self.weights, answer, mono_now());
    self.log->write(
        answer == order_answer::accepted ? event_number::order_given
                                         : event_number::order_refused,
        {},
        {{"model", given.model},
         {"version", static_cast<std::int64_t>(given.version)},
         {"fence", static_cast<std::int64_t>(given.fence)},
         {"expect", static_cast<std::int64_t>(given.orders_accepted)},
         {"status", status},
         {"answer", to_name(order_answer_names, answer)}});
    if (!self.weights.fence)
        take_fence(self);
}

} // namespace

// The fencing token is derived from the offset of a record that this run of
// the agent appends, so every later run gets a higher one.
void take_fence(agent_state& self)
{
    self.store->append(fence_topic, self.settings.name,
                       [&self](platform::append_end const& end)
                       {
                           if (!end.offset)
                           {
                               self.fence_timer->start(fence_retry_pause);
                               return;
                           }
                           self.weights.fence = *end.offset + 1;
                           self.log->write(event_number::fence_taken, {},
                                           {{"fence", static_cast<std::int64_t>(
                                                          *end.offset + 1)}});
                       });
}

void take_wanted(agent_state& self, std::string const& model,
                 std::uint64_t version, mono_time now)
{
    bool const is_age_known =
        self.first_asked_at && now - *self.first_asked_at > settled_after;
    if (on_wanted(self.weights, model, version, now, is_age_known))
        self.log->write(event_number::weights_wanted, {},
                        {{"model", model},
                         {"version", static_cast<std::int64_t>(version)}});
}

void apply_records(agent_state& self, std::vector<follow::record> const& rows)
{
    for (auto const& row : rows)
    {
        if (row.value.empty() ||
            !row.key.starts_with(platform::names::weights_key_prefix))
            continue;
        reason why;
        auto const wanted = platform::decode_weights(row.value, why);
        if (!wanted)
        {
            self.log->write(event_number::record_rejected, {},
                            {{"key", row.key}, {"why", to_text(why)}});
            continue;
        }
        take_wanted(self, wanted->model, wanted->version, mono_now());
    }
}

void give_order(agent_state& self, order const& given)
{
    platform::weights_order order;
    order.model = given.model;
    order.version = given.version;
    order.holder = self.settings.name;
    order.fence = given.fence;
    order.orders_accepted = given.orders_accepted;
    order.upstream = self.upstream;
    auto request = platform::order_request(*self.settings.upstream, order);
    request.timeout = order_timeout;
    auto const status = std::make_shared<int>(0);
    http1::call_events events;
    events.on_head = [status](http1::message_head const& head)
    {
        *status = head.status;
    };
    events.on_body = [](std::string_view) {};
    events.on_end = [&self, given, status](http1::call_end const&)
    {
        on_order_end(self, given, *status);
    };
    self.calls->start(std::move(request), std::move(events));
}

} // namespace jujubestand::agent
