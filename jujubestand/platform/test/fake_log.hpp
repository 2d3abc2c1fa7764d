#ifndef JUJUBESTAND_PLATFORM_TEST_FAKE_LOG_HPP
#define JUJUBESTAND_PLATFORM_TEST_FAKE_LOG_HPP

#include <cstdint>
#include <deque>
#include <jujubestand/platform/test/fake_server.hpp>
#include <map>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

namespace jujubestand::platform::test
{

/// \brief The log service of docs/design/outside-protocols.md in one object,
/// without waiting reads; its faults are members.
class fake_log
{
public:
    using record = std::tuple<std::uint64_t, std::int64_t, std::string>;

    struct stream
    {
        std::uint64_t first = 1;
        std::deque<record> records;
    };

    fake_log()
    {
        this->server.handle = [this](evhttp_request* request)
        {
            this->handle(request);
        };
    }

    std::uint64_t append(std::string const& name, std::string const& bytes)
    {
        auto& kept = this->streams[name];
        std::uint64_t const offset = kept.first + kept.records.size();
        kept.records.emplace_back(offset, this->wall_ms, bytes);
        return offset;
    }

    void truncate(std::string const& name, std::uint64_t first)
    {
        auto& kept = this->streams[name];
        while (kept.first < first && !kept.records.empty())
        {
            kept.records.pop_front();
            ++kept.first;
        }
    }

    fake_server server;
    std::map<std::string, stream> streams;
    std::int64_t wall_ms = 1'000;
    bool out = false;
    bool lose_answers = false;
    std::uint64_t reads = 0;
    /// Runs when an append arrives, before it takes effect.
    std::function<void()> before_append;
    /// Runs when one has taken effect, before its answer.
    std::function<void()> after_append;

private:
    void handle(evhttp_request* request)
    {
        if (this->out)
            return fake_server::reply(request, 503, "");
        std::string const uri = evhttp_request_get_uri(request);
        std::string const prefix = "/v1/streams/";
        auto const end = uri.find('/', prefix.size());
        auto const name = uri.substr(prefix.size(), end - prefix.size());
        if (evhttp_request_get_command(request) == EVHTTP_REQ_POST)
            return this->take(request, name);
        this->read(request, name,
                   std::stoull(uri.substr(uri.find("from=") + 5)));
    }

    void take(evhttp_request* request, std::string const& name)
    {
        if (this->before_append)
            this->before_append();
        auto const offset = this->append(name, fake_server::body_of(request));
        if (this->after_append)
            this->after_append();
        if (this->lose_answers)
            return fake_server::reply(request, 500, "");
        fake_server::reply(request, 200,
                           "{\"offset\": " + std::to_string(offset) + "}");
    }

    void read(evhttp_request* request, std::string const& name,
              std::uint64_t from)
    {
        ++this->reads;
        auto const& kept = this->streams[name];
        auto* fields = evhttp_request_get_output_headers(request);
        evhttp_add_header(fields, "X-First-Offset",
                          std::to_string(kept.first).c_str());
        evhttp_add_header(
            fields, "X-Next-Offset",
            std::to_string(kept.first + kept.records.size()).c_str());
        if (from < kept.first)
            return fake_server::reply(request, 410, "");
        std::vector<record> found;
        for (auto const& one : kept.records)
        {
            if (std::get<0>(one) >= from)
                found.push_back(one);
        }
        msgpack::sbuffer packed;
        msgpack::pack(packed, found);
        fake_server::reply(request, 200,
                           std::string(packed.data(), packed.size()));
    }
};

} // namespace jujubestand::platform::test

#endif
