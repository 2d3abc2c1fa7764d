#include <jujubestand/gateway/moves.hpp>

#include <jujubestand/dispatch/dispatch.hpp>
#include <jujubestand/dispatch/upstreams.hpp>
#include <jujubestand/gateway/repeats.hpp>
#include <jujubestand/gateway/sends.hpp>

namespace jujubestand::gateway
{

namespace
{

// Migrations leave half of the retry budget to failed attempts.
bool can_afford_move(gateway_state& self, live_call const& call)
{
    return self.budgets[call.terms.pool].saved >=
           retry_options_of(self).budget_limit / 2;
}

void move_stream(gateway_state& self, dispatch::call_key key)
{
    live_call* const call = find_call(self, key);
    auto const now = mono_now();
    bool const is_movable = call != nullptr && !self.is_stopping &&
                            call->route.kind == traffic::call_kind::stream &&
                            may_repeat(*call);
    if (!is_movable ||
        !dispatch::has_alternative(self.dispatch, call->terms,
                                   call->upstream_key, now) ||
        call->runs + 1 >= call->route.attempts_limit ||
        !can_afford_move(self, *call) ||
        why_not_again(self, *call, dispatch::send_outcome::cancelled, now) !=
            reason_code::none)
        return;
    self.upstreams->cancel(call->send);
    call->send = http1::call_id{};
    call->outcome = worst(call->outcome, verdict::may_have_run);
    count_run(*call);
    dispatch::on_send_end(self.dispatch, key, dispatch::send_outcome::cancelled,
                          now);
    send_again(self, key);
}

} // namespace

void move_streams(gateway_state& self, dispatch::upstream_key from)
{
    std::vector<dispatch::call_key> moved;
    for (auto const& [key, sent] : self.dispatch.sends)
    {
        if (sent.upstream == from)
            moved.push_back(key);
    }
    for (auto const key : moved)
        move_stream(self, key);
}

} // namespace jujubestand::gateway
