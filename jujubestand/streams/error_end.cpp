#include <jujubestand/streams/error_end.hpp>

#include <nlohmann/json.hpp>

namespace jujubestand::streams
{

std::string error_event(request_id const& request, verdict outcome,
                        reason const& why)
{
    nlohmann::ordered_json problem;
    problem["code"] = static_cast<unsigned>(why.code);
    problem["type"] = to_name(why.code);
    problem["message"] = why.text;
    problem["verdict"] = to_name(verdict_names, outcome);
    problem["request"] = to_text(request);
    nlohmann::ordered_json event;
    event["error"] = std::move(problem);
    using nlohmann::detail::error_handler_t;
    return "event: error\ndata: " +
           event.dump(-1, ' ', false, error_handler_t::replace) + "\n\n";
}

} // namespace jujubestand::streams
