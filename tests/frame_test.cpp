// Tests of the pub-sub channel's framing: splitting a byte stream into frames and rejecting invalid input.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "pubsub/frame.h"
#include "pubsub/message_body.h"
#include "pubsub_entries.h"

namespace zincstack::pubsub {
namespace {

using tests::frameOf;
using tests::weightEntry;

RC_GTEST_PROP(Frame, DecodesSameFramesForAnyFragmentationOfStream, ()) {
    std::string stream;
    std::vector<std::string> expected;
    std::vector<std::string> received;
    for (int k = *rc::gen::inRange(0, 5); k > 0; --k) {
        expected.emplace_back(*rc::gen::inRange<std::size_t>(0, 3000), static_cast<char>('a' + k));
        stream += encodeFrame(frameOf(FrameType::Changes, expected.back()), *rc::gen::arbitrary<bool>());
    }
    FrameReader reader(kMaxServerFrameBytes);
    for (std::string_view rest = stream; !rest.empty();) {
        const auto size = std::min<std::size_t>(rest.size(), *rc::gen::inRange(1, 700));
        const auto fault = reader.feed(rest.substr(0, size), [&](Frame& frame) {
            received.push_back(frame.body);
            return frame.topic == TopicId{3} && frame.epoch == Epoch{7} && frame.sequence == Sequence{9};
        });
        RC_ASSERT(!fault);
        rest.remove_prefix(size);
    }
    RC_ASSERT(received == expected);
    RC_ASSERT(reader.bufferedBytes() == 0U);
}

// Corrupted or random bytes must neither crash the decoders nor grow the buffer beyond one frame.
RC_GTEST_PROP(Frame, HandlesCorruptedBytesAndBuffersAtMostOneFrame, ()) {
    const TopicBody body{{"lookup"}, {weightEntry(1, 2), weightEntry(2, .5)}};
    auto bytes = encodeFrame(frameOf(FrameType::Snapshot, encode(body)), true);
    for (int k = *rc::gen::inRange(0, 6); k > 0; --k)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
    bytes += *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    FrameReader reader(kMaxClientFrameBytes);
    reader.feed(bytes, [](Frame& frame) {
        decodeHello(frame.body);
        decodeWelcome(frame.body);
        decodeDisconnectNotice(frame.body);
        decodeDemandRecord(frame.body);
        decodeTopicHeads(frame.body);
        decodeTopicBody(frame.body);
        return true;
    });
    RC_ASSERT(reader.bufferedBytes() <= kMaxClientFrameBytes);
}

// A peer that announces an invalid length, or a body that expands beyond its announced size, must not make
// the reader allocate memory.
TEST(Frame, RejectsInvalidLengthsAndDecompressionBombsWithoutBuffering) {
    const auto faultOf = [](std::string bytes) {
        FrameReader reader(kMaxClientFrameBytes);
        const auto fault = reader.feed(bytes, [](Frame&) { return true; });
        EXPECT_LE(reader.bufferedBytes(), kMaxClientFrameBytes);
        return fault.value_or("");
    };
    EXPECT_NE(faultOf("GET / HTTP/1.1\r\n\r\n").find("a frame of"), std::string::npos);
    EXPECT_NE(faultOf(std::string("\xff\xff\xff\xff", 4)).find("a frame of"), std::string::npos);
    EXPECT_NE(faultOf(std::string("\0\0\0\1", 4)).find("a frame of 1 "), std::string::npos);
    EXPECT_EQ(faultOf(std::string("\0\0\0", 3)), "");
    const std::string zeros(kMaxBodyBytes, '\0');
    // Less than 1000 bytes that decompress to the largest allowed body.
    std::string bomb = encodeFrame(frameOf(FrameType::Hello, zeros), true);
    EXPECT_LT(bomb.size(), 1000U);
    EXPECT_EQ(faultOf(bomb), "");
    bomb[12] = '\x7f'; // announces a body larger than allowed
    EXPECT_NE(faultOf(bomb).find("a body of"), std::string::npos);
    bomb[12] = 0; // announces a body smaller than its decompressed size
    bomb[13] = 0;
    bomb[14] = 1;
    EXPECT_NE(faultOf(bomb).find("can't be unpacked"), std::string::npos);
}

} // namespace
} // namespace zincstack::pubsub
