#ifndef JUJUBESTAND_CTL_FLEET_SESSION_HPP
#define JUJUBESTAND_CTL_FLEET_SESSION_HPP

#include <chrono>
#include <jujubestand/ctl/command.hpp>
#include <jujubestand/platform/list_client.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubestand::ctl
{

/// \brief One process's answer to one question.
struct instance_answer
{
    platform::listed_instance from;
    /// 0 where it did not answer.
    int status = 0;
    std::string body;
};

/// \brief The processes of the deployment, asked over HTTP by a tool that
/// waits.
class fleet_session
{
public:
    explicit fleet_session(command_context const& context);
    ~fleet_session();
    fleet_session(fleet_session const&) = delete;
    fleet_session& operator=(fleet_session const&) = delete;
    fleet_session(fleet_session&&) = delete;
    fleet_session& operator=(fleet_session&&) = delete;

    /// \brief Reads the instance list.
    /// \returns nothing, with `why` set, if it does not answer in time
    [[nodiscard]] std::optional<platform::instance_list> read_list(reason& why);

    /// \brief Asks all processes the same, side by side.
    /// \param target path and query
    [[nodiscard]] std::vector<instance_answer>
    ask_all(platform::instance_list const& whom, std::string const& target);

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace jujubestand::ctl

#endif
