#ifndef JUJUBESTAND_STANDINS_SUPPORT_PROGRAM_HPP
#define JUJUBESTAND_STANDINS_SUPPORT_PROGRAM_HPP

#include <jujubestand/core/address.hpp>
#include <nlohmann/json.hpp>
#include <standins/support/http_server.hpp>
#include <string>

namespace jujubestand::standins
{

/// \brief A new loop. \throws std::runtime_error if libevent has none
[[nodiscard]] base_ptr make_base();

/// \brief Reads an address argument. \throws std::runtime_error if malformed
[[nodiscard]] address address_argument(std::string const& text);

/// \brief Prints `listening IP:PORT` and runs the loop until a signal.
/// \returns the exit code
int serve(event_base* base, address const& bound);

/// \brief Runs the loop until a signal. \returns the exit code
int run_loop(event_base* base);

/// \brief Calls a program's `run`; an exception becomes a line on standard
/// error and exit code 1.
int guarded_main(int argc, char** argv, int (*run)(int, char**));

/// \brief Lays the members of `change` over `current`.
/// \returns false, with `unknown` set, if `current` lacks one of them
[[nodiscard]] bool overlay(nlohmann::json& current,
                           nlohmann::json const& change, std::string& unknown);

/// \brief Serves the switches at `/_fault`: POST sets, GET shows.
/// \param changed called after each change
template <class Switches>
void serve_switches(
    http_server& server, Switches& switches,
    std::function<void()> const& changed = [] {})
{
    server.on(EVHTTP_REQ_GET, "/_fault",
              [&switches](http_call const& call)
              {
                  nlohmann::json const shown = switches;
                  reply(call.request, HTTP_OK, shown.dump());
              });
    server.on(EVHTTP_REQ_POST, "/_fault",
              [&switches, changed](http_call const& call)
              {
                  try
                  {
                      nlohmann::json shown = switches;
                      std::string unknown;
                      if (!overlay(shown, nlohmann::json::parse(call.body()),
                                   unknown))
                          return reply(call.request, HTTP_BADREQUEST,
                                       "no switch " + unknown, "text/plain");
                      switches = shown.get<Switches>();
                      reply(call.request, HTTP_OK, shown.dump());
                      changed();
                  }
                  catch (nlohmann::json::exception const& error)
                  {
                      reply(call.request, HTTP_BADREQUEST, error.what(),
                            "text/plain");
                  }
              });
}

} // namespace jujubestand::standins

#endif
