#ifndef JUJUBESTAND_PROGRAMS_TEST_SURROUNDINGS_HPP
#define JUJUBESTAND_PROGRAMS_TEST_SURROUNDINGS_HPP

#include <arpa/inet.h>
#include <chrono>
#include <gtest/gtest.h>
#include <jujubestand/http1/sockets.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubestand::programs::test
{

/// \brief A loopback address of this test process alone.
inline std::string host(std::size_t number)
{
    constexpr unsigned byte_values = 256;
    constexpr unsigned second_byte_values = 250;
    auto const process = static_cast<unsigned>(::getpid());
    return "127." +
           std::to_string(1 + process / byte_values % second_byte_values) +
           '.' + std::to_string(process % byte_values) + '.' +
           std::to_string(number);
}

/// \brief A TCP port that is free at an address.
inline std::uint16_t free_port(std::string const& where)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto local = *http1::to_sockaddr({where, 0});
    socklen_t size = sizeof local;
    EXPECT_EQ(::bind(descriptor, reinterpret_cast<sockaddr*>(&local), size), 0);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
    ::close(descriptor);
    return ntohs(local.sin_port);
}

/// \brief A configuration of three routes to a pool of engines, with streams
/// that may be resumed, streams that may run once only and calls that may be
/// repeated, and of two to a pool of plain services, with calls that may run
/// once only and calls that may be repeated.
/// \param plain_timeout of the calls to plain services
inline std::string configuration(
    std::uint64_t version = 1,
    std::chrono::milliseconds plain_timeout = std::chrono::milliseconds{4'000})
{
    nlohmann::json const resumable{
        {"name", "chat"},          {"host", "engines.example"},
        {"path-prefix", "/chat/"}, {"service", "engines"},
        {"kind", "stream"},        {"resumable", true},
        {"public", true},          {"max-attempts", 4},
        {"sticky", true},          {"timeout-ms", 60'000}};
    nlohmann::json once = resumable;
    once["name"] = "once";
    once["path-prefix"] = "/once/";
    once["resumable"] = false;
    nlohmann::json ask = resumable;
    ask["name"] = "ask";
    ask["path-prefix"] = "/ask/";
    ask["kind"] = "safe";
    ask["resumable"] = false;
    nlohmann::json const plain{
        {"name", "book"},          {"host", "engines.example"},
        {"path-prefix", "/book/"}, {"service", "books"},
        {"kind", "unsafe"},        {"public", true},
        {"max-attempts", 3},       {"timeout-ms", plain_timeout.count()}};
    nlohmann::json status = plain;
    status["name"] = "status";
    status["path-prefix"] = "/status/";
    status["kind"] = "safe";
    auto const routes =
        nlohmann::json::array({resumable, once, ask, plain, status});
    auto const pools =
        nlohmann::json::array({{{"name", "engines"}}, {{"name", "books"}}});
    return nlohmann::json{
        {"version", version}, {"routes", routes}, {"services", pools}}
        .dump();
}

/// Gateways prefer engines of their own data centre.
inline constexpr char const* near = "almaty";
inline constexpr char const* far = "shymkent";

/// \brief Settings of a gateway but for its bounds.
inline std::string settings_text(std::string const& name,
                                 address const& callers, std::uint16_t internal,
                                 address const& store)
{
    auto const port = std::to_string(internal);
    return "node-name = \"" + name + "\"\nzone = \"" + near + "\"\nip = \"" +
           callers.host + "\"\ninternal-port-range = [" + port + ", " + port +
           "]\n[listen-addrs]\nfront = \"" + to_text(callers) +
           "\"\n[platform]\nparts = 16\naddress = \"" + to_text(store) + "\"\n";
}

/// \brief Settings of the agent beside an engine.
inline std::string agent_settings_text(std::string const& name,
                                       address const& engine,
                                       std::uint16_t internal,
                                       address const& store)
{
    auto const port = std::to_string(internal);
    return "node-name = \"side-" + name + "\"\nzone = \"" + near +
           "\"\nip = \"" + engine.host + "\"\napp = \"" + to_text(engine) +
           "\"\ninternal-port-range = [" + port + ", " + port +
           "]\n[platform]\naddress = \"" + to_text(store) + "\"\n";
}

/// \brief Record of a plain service.
/// \param starts how often it has started
inline std::string service_record(address const& where, std::uint64_t sequence,
                                  std::uint64_t starts = 0)
{
    constexpr std::uint64_t first_born_ms = 1'000;
    return nlohmann::json{
        {"service", "books"},   {"address", to_text(where)},
        {"zone", near},         {"version", "v1"},
        {"slots", 6},           {"state", "ready"},
        {"sequence", sequence}, {"born", first_born_ms + starts}}
        .dump();
}

} // namespace jujubestand::programs::test

#endif
