#ifndef JUJUBESTAND_LINK_TEST_PAIR_HPP
#define JUJUBESTAND_LINK_TEST_PAIR_HPP

#include <chrono>
#include <event2/event.h>
#include <functional>
#include <gtest/gtest.h>
#include <jujubestand/link/messages.hpp>
#include <jujubestand/link/node.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubestand::link
{

/// \brief A loop for one test.
class test_loop
{
public:
    /// \brief Runs until `is_done`. \returns false if it took too long
    bool run_until(std::function<bool()> const& is_done)
    {
        auto const limit = mono_now() + std::chrono::seconds(60);
        while (!is_done() && mono_now() < limit)
        {
            timeval const tick{0, 2'000};
            event_base_once(
                this->base.get(), -1, EV_TIMEOUT,
                [](evutil_socket_t, short, void*) {}, nullptr, &tick);
            event_base_loop(this->base.get(), EVLOOP_ONCE);
        }
        return is_done();
    }

    /// \brief Runs for some time.
    void run_for(std::chrono::milliseconds span)
    {
        auto const limit = mono_now() + span;
        this->run_until(
            [limit]
            {
                return mono_now() >= limit;
            });
    }

    std::unique_ptr<event_base, void (*)(event_base*)> base{event_base_new(),
                                                            event_base_free};
};

/// \brief Limits that let a test meet them soon.
inline node_options quick_options(std::string role)
{
    node_options options;
    options.instance = instance_id(role + "-1");
    options.incarnation = incarnation_id(7);
    options.role = std::move(role);
    options.key = "a key of the test's own";
    options.connect_timeout = std::chrono::milliseconds(400);
    options.ping_timeout = std::chrono::milliseconds(400);
    return options;
}

/// \brief A node and what it told.
class recorder
{
public:
    recorder(test_loop& loop, node_options options)
        : subject(loop.base.get(), std::move(options), this->clock)
    {
        this->subject.opened.connect(
            [this](stream_id stream)
            {
                this->opened.push_back(stream);
            });
        this->subject.received.connect(
            [this](stream_id stream, frame message)
            {
                if (this->is_consuming)
                    this->subject.consume(stream, message.payload.size());
                this->received_bytes += message.payload.size();
                this->received[stream].push_back(std::move(message));
            });
        this->subject.closed.connect(
            [this](stream_id stream, stream_end how)
            {
                this->closed[stream] = how;
            });
        this->subject.drained.connect(
            [this](stream_id)
            {
                ++this->drained;
            });
        this->subject.noted.connect(
            [this](event_note const& note)
            {
                this->notes.push_back(note);
            });
    }

    [[nodiscard]] std::size_t count(event_number number) const
    {
        std::size_t found = 0;
        for (auto const& note : this->notes)
            found += note.number == number ? 1 : 0;
        return found;
    }

    hybrid_time clock;
    node subject;
    bool is_consuming = true;
    std::size_t received_bytes = 0;
    std::size_t drained = 0;
    std::vector<stream_id> opened;
    std::map<stream_id, std::vector<frame>> received;
    std::map<stream_id, stream_end> closed;
    std::vector<event_note> notes;
};

/// \brief An entry's node and a listening sidecar's on one loop.
class pair_test : public testing::Test
{
protected:
    void SetUp() override
    {
        this->start(quick_options("entry"), quick_options("sidecar"));
    }

    void start(node_options const& entry_options,
               node_options const& sidecar_options)
    {
        this->entry = std::make_unique<recorder>(this->loop, entry_options);
        this->sidecar = std::make_unique<recorder>(this->loop, sidecar_options);
        reason why;
        auto const bound = this->sidecar->subject.listen({"127.0.0.1", 0}, why);
        ASSERT_TRUE(bound) << to_text(why);
        this->where = *bound;
    }

    /// \brief Runs until a stream of the entry is closed.
    bool run_until_closed()
    {
        return this->loop.run_until(
            [this]
            {
                return !this->entry->closed.empty();
            });
    }

    /// \brief Runs until the sidecar has a frame.
    bool run_until_received()
    {
        return this->loop.run_until(
            [this]
            {
                return !this->sidecar->received.empty();
            });
    }

    test_loop loop;
    std::unique_ptr<recorder> entry;
    std::unique_ptr<recorder> sidecar;
    address where;
};

inline frame piece_of(std::string bytes)
{
    return frame{frame_kind::piece, {}, std::move(bytes)};
}

} // namespace jujubestand::link

#endif
