#include <jujubestand/agent/origins.hpp>

namespace jujubestand::agent
{

namespace
{

// A later notice of the same stream can only repeat the first one.
void keep(agent_state& state, status::origin_notice const& notice)
{
    if (state.origins.find(notice.stream) == nullptr)
        state.origins.insert(notice.stream, notice.software_version);
}

void answer(agent_state& state, address const& sender,
            status::origin_query const& query)
{
    auto const* const known = state.origins.find(query.stream);
    status::origin_response response;
    response.stream = query.stream;
    response.is_known = known != nullptr;
    response.software_version = known == nullptr ? "" : *known;
    state.status_socket->send(sender, status::to_datagram(response));
}

} // namespace

void on_origin_datagram(agent_state& state, address const& sender,
                        std::string_view bytes)
{
    if (auto const notice = status::from_datagram<status::origin_notice>(bytes))
        keep(state, *notice);
    else if (auto const query =
                 status::from_datagram<status::origin_query>(bytes))
        answer(state, sender, *query);
}

} // namespace jujubestand::agent
