#include <jujubestand/http1/text_call.hpp>

#include <memory>
#include <utility>

namespace jujubestand::http1
{

call_id ask_for_text(client& from, client_request request, text_done done,
                     head_seen seen, foreign_test is_foreign)
{
    auto const body = std::make_shared<std::string>();
    call_events events;
    events.is_foreign = std::move(is_foreign);
    events.on_head = std::move(seen);
    events.on_body = [body](std::string_view bytes)
    {
        *body += bytes;
    };
    events.on_end = [body, done = std::move(done)](call_end const& end)
    {
        done(end.is_complete ? std::optional(*body) : std::nullopt);
    };
    return from.start(std::move(request), std::move(events));
}

} // namespace jujubestand::http1
