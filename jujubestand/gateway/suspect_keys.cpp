#include <jujubestand/gateway/crashes.hpp>

namespace jujubestand::gateway
{

std::vector<quarantine::suspect_key> suspect_keys_of(active_call const& call)
{
    std::vector<quarantine::suspect_key> keys;
    std::string content;
    append_part(content, call.caller_request.method);
    append_part(content, call.caller_request.target);
    append_part(content, call.caller_request.body);
    if (auto const& prompt = call.caller_request.asked)
    {
        append_part(content, prompt->model);
        std::uint8_t depth = 0;
        for (std::size_t at = 0; at < prompt->parts.size(); ++at)
        {
            auto const id = prompt->parts[at].id;
            append_part(content, std::to_string(id));
            bool const is_own = at + 1 == prompt->parts.size();
            if (!is_own && depth < quarantine::whole_request_depth)
                keys.push_back({quarantine::fingerprint_of_part(id), depth++});
        }
    }
    // Calls that differ in their prompts alone are not one.
    else if (!call.caller_request.stated.unread_parts.empty())
        append_part(content, call.caller_request.stated.unread_parts);
    keys.push_back(
        {quarantine::fingerprint_of(team_id{call.team.name},
                                    route_id{call.route.name}, content),
         quarantine::whole_request_depth});
    return keys;
}

} // namespace jujubestand::gateway
