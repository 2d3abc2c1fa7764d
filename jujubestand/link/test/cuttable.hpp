#ifndef JUJUBESTAND_LINK_TEST_CUTTABLE_HPP
#define JUJUBESTAND_LINK_TEST_CUTTABLE_HPP

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <jujubestand/link/socket_address.hpp>
#include <memory>
#include <vector>

namespace jujubestand::link::test
{

/// \brief Passes TCP connections on to an address, until they are cut.
class cuttable
{
public:
    cuttable(event_base* loop, address target)
        : base(loop)
        , to(std::move(target))
    {
        auto any = to_socket_address({"127.0.0.1", 0});
        this->listener = evconnlistener_new_bind(
            loop, on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1, any->get(),
            static_cast<int>(any->length));
        auto const bound = bound_address(evconnlistener_get_fd(this->listener));
        EXPECT_TRUE(bound);
        this->where = bound.value_or(address{});
    }

    ~cuttable()
    {
        this->cut();
        evconnlistener_free(this->listener);
    }

    cuttable(cuttable const&) = delete;
    cuttable& operator=(cuttable const&) = delete;
    cuttable(cuttable&&) = delete;
    cuttable& operator=(cuttable&&) = delete;

    /// \brief Closes all connections; new ones pass.
    void cut()
    {
        for (auto* const end : this->ends)
            bufferevent_free(end);
        this->ends.clear();
    }

    /// \brief What is read is not passed on any more, until the next cut.
    void hold()
    {
        this->is_holding = true;
    }

    void let_pass()
    {
        this->is_holding = false;
    }

    address where;

private:
    struct way
    {
        cuttable* owner;
        bufferevent* to;
    };

    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*,
                          int, void* context)
    {
        auto* const self = static_cast<cuttable*>(context);
        auto target = to_socket_address(self->to);
        auto* const near =
            bufferevent_socket_new(self->base, socket, BEV_OPT_CLOSE_ON_FREE);
        auto* const far =
            bufferevent_socket_new(self->base, -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_socket_connect(far, target->get(),
                                   static_cast<int>(target->length));
        self->join(near, far);
        self->join(far, near);
    }

    void join(bufferevent* from, bufferevent* into)
    {
        this->ways.push_back(std::make_unique<way>(way{this, into}));
        bufferevent_setcb(from, on_readable, nullptr, nullptr,
                          this->ways.back().get());
        bufferevent_enable(from, EV_READ | EV_WRITE);
        this->ends.push_back(from);
    }

    static void on_readable(bufferevent* from, void* context)
    {
        auto const* const way_of = static_cast<way*>(context);
        evbuffer* const input = bufferevent_get_input(from);
        if (way_of->owner->is_holding)
            evbuffer_drain(input, evbuffer_get_length(input));
        else
            bufferevent_write_buffer(way_of->to, input);
    }

    event_base* base;
    address to;
    evconnlistener* listener = nullptr;
    std::vector<bufferevent*> ends;
    std::vector<std::unique_ptr<way>> ways;
    bool is_holding = false;
};

} // namespace jujubestand::link::test

#endif
