#include <programs/test_clients/clients_fixture.hpp>
#include <sstream>

// Request bodies of legal size that stop just short of their end, and bodies
// without an end. They took memory without a limit where each is small, and
// held it for as long as the client sent a byte now and then.
namespace jujubestand::programs::test
{

namespace
{

struct body_kind
{
    std::string name;
    std::size_t body_bytes = 0;
    std::size_t clients = 0;
    instance_limits limits;
    std::size_t piece_bytes = 65'536;
    bool is_chunked = false;

    friend std::ostream& operator<<(std::ostream& out, body_kind const& shown)
    {
        return out << shown.name;
    }
};

constexpr std::size_t small_bytes = 16'000;
constexpr std::size_t small_clients = 2'000;
constexpr std::size_t large_clients = 30;
constexpr std::size_t segment_bytes = 1'400;
constexpr instance_limits few_connections{60, 600};
constexpr instance_limits many_connections{40, 8'200};

std::vector<body_kind> body_kinds()
{
    return {
        {"large_in_one_piece", body_limit_bytes, large_clients,
         few_connections},
        {"large_in_small_pieces", body_limit_bytes, large_clients,
         few_connections, segment_bytes},
        {"large_in_chunks", body_limit_bytes, large_clients, few_connections,
         segment_bytes, true},
        {"small_in_one_piece", small_bytes, small_clients, many_connections},
        {"small_in_chunks", small_bytes, small_clients, many_connections,
         segment_bytes, true}};
}

/// \brief Chunks of this size, as many as one write takes.
std::string chunks_of(std::size_t bytes)
{
    constexpr std::size_t text_bytes = 65'536;
    std::ostringstream chunk;
    chunk << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    std::string result;
    while (result.size() < text_bytes)
        result += chunk.str();
    return result;
}

client_script script_of(body_kind const& kind, std::string const& path)
{
    constexpr std::size_t chunk_bytes = 100;
    client_script result;
    result.piece_bytes = kind.piece_bytes;
    result.beginning = head_of("POST", path);
    if (kind.is_chunked)
    {
        result.beginning += "Transfer-Encoding: chunked\r\n\r\n";
        result.repeated = chunks_of(chunk_bytes);
        // The last chunk is missing, and a part of the one before.
        result.total_bytes = result.beginning.size() + kind.body_bytes;
        return result;
    }
    result.beginning +=
        "Content-Length: " + std::to_string(kind.body_bytes) + "\r\n\r\n";
    result.repeated = std::string(kind.body_bytes, 'x');
    result.total_bytes = result.beginning.size() + kind.body_bytes - 1;
    return result;
}

class unfinished_bodies
    : public clients_test,
      public testing::WithParamInterface<std::tuple<body_kind, client_target>>
{
};

class endless_bodies
    : public clients_test,
      public testing::WithParamInterface<std::tuple<bool, client_target>>
{
};

} // namespace

TEST_P(unfinished_bodies, memory_is_kept_and_callers_are_served)
{
    auto const& [kind, target] = GetParam();
    this->start(kind.limits);
    this->add_clients(this->address_of(target), script_of(kind, target.path),
                      kind.clients);
    this->run_load();
    this->expect_sound();
}

TEST_P(endless_bodies, memory_is_kept_and_callers_are_served)
{
    constexpr std::size_t client_count = 10;
    constexpr std::size_t announced_bytes = 400'000'000;
    constexpr std::size_t sent_bytes = 40'000'000;
    auto const& [is_chunked, target] = GetParam();
    this->start(few_connections);
    client_script script;
    script.beginning =
        head_of("POST", target.path) +
        (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                    : "Content-Length: " + std::to_string(announced_bytes) +
                          "\r\n\r\n");
    script.repeated = chunks_of(segment_bytes);
    script.total_bytes = sent_bytes;
    this->add_clients(this->address_of(target), script, client_count);
    this->run_load();
    this->expect_sound();
}

INSTANTIATE_TEST_SUITE_P(clients, unfinished_bodies,
                         testing::Combine(testing::ValuesIn(body_kinds()),
                                          testing::ValuesIn(client_targets())),
                         [](auto const& given)
                         {
                             return std::get<0>(given.param).name + "_to_" +
                                    std::get<1>(given.param).name;
                         });

INSTANTIATE_TEST_SUITE_P(
    clients, endless_bodies,
    testing::Combine(testing::Bool(), testing::ValuesIn(client_targets())),
    [](auto const& given)
    {
        return std::string(std::get<0>(given.param) ? "chunked" : "announced") +
               "_to_" + std::get<1>(given.param).name;
    });

} // namespace jujubestand::programs::test
