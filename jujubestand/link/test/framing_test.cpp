#include <gtest/gtest.h>

#include <deque>
#include <jujubestand/link/framing.hpp>
#include <jujubestand/link/handshake.hpp>
#include <rapidcheck/gtest.h>

namespace jujubestand::link
{

namespace
{

constexpr std::size_t limit_bytes = 4'096;

frame any_frame(std::string payload, std::int64_t wall_ms)
{
    return frame{frame_kind::piece, hybrid_time{wall_ms, 3},
                 std::move(payload)};
}

handshake side(bool is_opener, std::string key)
{
    handshake made;
    made.key = std::move(key);
    made.nonce = std::string(nonce_bytes, is_opener ? 'o' : 'a');
    made.self = peer{instance_id(is_opener ? "entry-1" : "sidecar-1"),
                     incarnation_id(1), is_opener ? "entry" : "sidecar"};
    made.is_opener = is_opener;
    return made;
}

} // namespace

RC_GTEST_PROP(framing, random_cuts_give_the_frames_of_a_plain_queue, ())
{
    auto const payloads = *rc::gen::container<std::vector<std::string>>(
        rc::gen::arbitrary<std::string>());
    std::deque<frame> queue;
    std::string wire;
    for (auto const& payload : payloads)
    {
        queue.push_back(any_frame(payload, *rc::gen::inRange(0, 1 << 30)));
        append_wire(wire, queue.back());
    }
    frame_reader reader{limit_bytes, ""};
    std::vector<received_frame> frames;
    reason why;
    std::size_t used = 0;
    for (std::size_t at = 0; at < wire.size();)
    {
        auto const step = *rc::gen::inRange<std::size_t>(1, 40);
        RC_ASSERT(
            feed(reader, std::string_view(wire).substr(at, step), frames, why));
        at += step;
    }
    RC_ASSERT(frames.size() == queue.size());
    for (auto const& one : frames)
    {
        RC_ASSERT(one.message.kind == queue.front().kind);
        RC_ASSERT(one.message.stamp == queue.front().stamp);
        RC_ASSERT(one.message.payload == queue.front().payload);
        queue.pop_front();
        used += one.wire_bytes;
    }
    RC_ASSERT(used == wire.size());
    RC_ASSERT(reader.partial.empty());
}

RC_GTEST_PROP(framing, random_bytes_never_crash_the_reader, (std::string junk))
{
    frame_reader reader{limit_bytes, ""};
    std::vector<received_frame> frames;
    reason why;
    std::string wire;
    append_wire(wire, any_frame(junk, 1));
    if (!wire.empty())
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, wire.size());
        wire[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    bool const is_taken = feed(reader, wire, frames, why);
    RC_ASSERT(is_taken || why.code == reason_code::link_malformed);
    RC_ASSERT(reader.partial.size() <= wire.size());
}

TEST(framing, a_length_over_the_limit_is_refused_before_its_bytes_come)
{
    frame_reader reader{limit_bytes, ""};
    std::vector<received_frame> frames;
    reason why;
    EXPECT_FALSE(feed(reader, std::string("\x7f\xff\xff\xff", 4), frames, why));
    EXPECT_EQ(why.code, reason_code::link_malformed);
}

TEST(framing, an_unknown_kind_is_refused)
{
    std::string wire;
    append_wire(wire, any_frame("x", 1));
    wire[frame_length_bytes + 2] = '\x7e';
    frame_reader reader{limit_bytes, ""};
    std::vector<received_frame> frames;
    reason why;
    EXPECT_FALSE(feed(reader, wire, frames, why));
}

TEST(handshake, two_holders_of_the_key_prove_it_to_each_other)
{
    auto opener = side(true, "key");
    auto acceptor = side(false, "key");
    reason why;
    auto const challenged = step(acceptor, begin(opener), why);
    auto const proved = step(opener, *challenged.reply, why);
    auto const welcomed = step(acceptor, *proved.reply, why);
    EXPECT_EQ(acceptor.proved->instance.text, "entry-1");
    EXPECT_FALSE(opener.proved);
    EXPECT_FALSE(step(opener, *welcomed.reply, why).is_refused);
    EXPECT_EQ(opener.proved->instance.text, "sidecar-1");
}

TEST(handshake, a_proof_does_not_pass_as_a_welcome)
{
    auto opener = side(true, "key");
    auto acceptor = side(false, "key");
    reason why;
    auto const challenged = step(acceptor, begin(opener), why);
    auto const proved = step(opener, *challenged.reply, why);
    auto const own = from_frame<proof>(*proved.reply, why).value_or(proof{});
    EXPECT_TRUE(step(opener, to_frame(welcome{own.mac}), why).is_refused);
    EXPECT_FALSE(opener.proved);
}

TEST(handshake, a_proof_of_an_earlier_link_is_refused)
{
    auto opener = side(true, "key");
    auto acceptor = side(false, "key");
    reason why;
    auto const challenged = step(acceptor, begin(opener), why);
    auto const proved = step(opener, *challenged.reply, why);
    auto again = side(false, "key");
    again.nonce[0] = 'z';
    EXPECT_FALSE(step(again, begin(opener), why).is_refused);
    EXPECT_TRUE(step(again, *proved.reply, why).is_refused);
    EXPECT_EQ(why.code, reason_code::link_refused);
}

TEST(handshake, another_claimed_instance_spoils_the_proof)
{
    auto opener = side(true, "key");
    auto acceptor = side(false, "key");
    reason why;
    auto altered = *from_frame<hello>(begin(opener), why);
    altered.self.instance = instance_id("entry-2");
    auto const challenged = step(acceptor, to_frame(altered), why);
    auto const proved = step(opener, *challenged.reply, why);
    EXPECT_TRUE(step(acceptor, *proved.reply, why).is_refused);
}

TEST(handshake, another_version_is_refused)
{
    auto acceptor = side(false, "key");
    hello other{protocol_version + 1, std::string(nonce_bytes, 'o'), {}};
    reason why;
    EXPECT_TRUE(step(acceptor, to_frame(other), why).is_refused);
}

} // namespace jujubestand::link
