#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <jujubestand/follow/follower.hpp>
#include <jujubestand/http1/client.hpp>
#include <jujubestand/http1/server.hpp>
#include <jujubestand/http1/sockets.hpp>
#include <memory>
#include <platform/store.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace jujubestand::follow
{

namespace
{

address free_address()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local = *http1::to_sockaddr({"127.0.0.1", 0});
    socklen_t size = sizeof local;
    EXPECT_EQ(bind(descriptor, reinterpret_cast<sockaddr*>(&local), size), 0);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
    close(descriptor);
    return {"127.0.0.1", ntohs(local.sin_port)};
}

} // namespace

// If the store deletes unread records, peers may lack them too. Records handed
// over by such peers were taken for a complete list, so the next read failed
// again, for ever.
TEST(follower, deleted_records_force_a_list_despite_peer_records)
{
    std::unique_ptr<event_base, decltype(&event_base_free)> const base(
        event_base_new(), event_base_free);
    int lists = 0;
    int reads = 0;
    std::unique_ptr<http1::server> store_server;
    std::unique_ptr<follower> reader;
    http1::server_events served;
    served.on_request =
        [&](http1::exchange_id id, http1::server_request const& request)
    {
        if (request.head.target.starts_with("/log-newest"))
        {
            std::string const end = ++lists == 1 ? "5" : "9";
            store_server->respond(
                id, 200, {},
                R"({"items":[{"key":"a","value":"Mg==","offset":)" +
                    std::to_string(lists) + R"(}],"has-more":false,"end":)" +
                    end + "}");
            return;
        }
        ++reads;
        reader->apply({{}, 6}, 5, mono_now());
        store_server->respond(id, 410, {}, R"({"first":8})");
    };
    served.on_gone = [](http1::exchange_id) {};
    store_server = std::make_unique<http1::server>(base.get(), served);
    auto const store_address = free_address();
    reason why;
    ASSERT_TRUE(store_server->listen(store_address, why)) << why.text;
    http1::client calls(base.get());
    platform::store store(calls, store_address);
    follower_events events;
    events.on_changes =
        [&](std::vector<record> const&, std::optional<mono_time>)
    {
        if (lists == 2)
            event_base_loopbreak(base.get());
    };
    events.on_unreachable = [](reason const&) {};
    events.on_reachable = [] {};
    events.on_expired = [](reason const&) {};
    reader = std::make_unique<follower>(
        base.get(), store,
        read_options{"keyed.t", {}, std::chrono::milliseconds{1}}, events);
    reader->set_active(true);
    timeval const limit{5, 0};
    event_base_loopexit(base.get(), &limit);
    event_base_dispatch(base.get());
    EXPECT_EQ(lists, 2);
    EXPECT_EQ(reads, 1);
    EXPECT_EQ(reader->known().next, 9U);
}

// Guards against a time limit that counts from the arrival of a late record:
// when changes are reported, the copy is confirmed anew, so the confirmation
// from before them was lost.
TEST(follower, changes_come_with_the_confirmation_before_them)
{
    std::unique_ptr<event_base, decltype(&event_base_free)> const base(
        event_base_new(), event_base_free);
    http1::client calls(base.get());
    platform::store store(calls, free_address());
    std::vector<std::optional<mono_time>> confirmations;
    follower_events events;
    events.on_changes = [&](std::vector<record> const&,
                            std::optional<mono_time> confirmed_before)
    {
        confirmations.push_back(confirmed_before);
    };
    follower copy(base.get(), store, read_options{"keyed.t", {}, {}}, events);
    auto const start = mono_now();
    auto const at = [start](int ms)
    {
        return start + std::chrono::milliseconds{ms};
    };
    copy.apply({{{"a", "1", 3}}, 4}, 0, at(0));
    copy.confirm(0, 4, at(700));
    copy.apply({{{"a", "2", 4}}, 5}, 4, at(2'000));
    copy.apply({{{"a", "3", 5}}, 6}, 5, at(3'000));
    std::vector<std::optional<mono_time>> const expected = {std::nullopt,
                                                            at(700), at(2'000)};
    EXPECT_EQ(confirmations, expected);
}

} // namespace jujubestand::follow
