// Tests that the line framer yields the same lines for any fragmentation of the input and bounds its memory.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "input_pieces.h"
#include "net/line_framer.h"

namespace zincstack::net {
namespace {

constexpr auto maxLineBytes = [] { return kMaxLineBytes; };

RC_GTEST_PROP(LineFramerTest, LinesDoNotDependOnInputFragmentation, ()) {
    BufferPool pool(8);
    std::string input;
    std::vector<std::string> expected;
    std::vector<std::string> framed;
    for (int k = *rc::gen::inRange(0, 6); k > 0; --k) {
        expected.emplace_back(*rc::gen::inRange<std::size_t>(0, 300), static_cast<char>('a' + k));
        input += expected.back() + "\r\n";
    }
    LineFramer framer(pool);
    tests::feedInPieces(input + "rest", [&](std::string_view piece) {
        const auto handleLine = [&](std::string_view line) {
            framed.emplace_back(line);
            return true;
        };
        RC_ASSERT(framer.feed(piece, maxLineBytes, handleLine) == LineFramer::Outcome::Incomplete);
    });
    RC_ASSERT(framed == expected);
    RC_ASSERT(pool.leasedCount() == 0U); // short lines need no block of the pool
}

RC_GTEST_PROP(LineFramerTest, LongLinesDoNotDependOnInputFragmentation, ()) {
    BufferPool pool(8);
    const auto length = *rc::gen::inRange<std::size_t>(kOwnBufferBytes - 2, 6 * kBlockBytes);
    std::string line(length, 'a');
    for (std::size_t k = 0; k < length; k += 7) line[k] = static_cast<char>('b' + k % 20);
    std::string framed;
    LineFramer framer(pool);
    const auto handleLine = [&](std::string_view text) {
        framed = text;
        return true;
    };
    tests::feedInPieces(line, [&](std::string_view piece) {
        RC_ASSERT(framer.feed(piece, maxLineBytes, handleLine) == LineFramer::Outcome::Incomplete);
    });
    const std::size_t rest = length > kOwnBufferBytes ? length - kOwnBufferBytes : 0;
    RC_ASSERT(pool.leasedCount() == (rest + kBlockBytes - 1) / kBlockBytes);
    RC_ASSERT(framer.unfinishedLine() == line.substr(0, kOwnBufferBytes));
    RC_ASSERT(framer.feed("\r\n", maxLineBytes, handleLine) == LineFramer::Outcome::Incomplete);
    RC_ASSERT(framed == line);
    RC_ASSERT(pool.leasedCount() == 0U);
}

/// Regression (docs/incidents/2026-12-half-messages.md): a peer needed a block of the pool for any incomplete
/// line, so that others could leave it none.
TEST(LineFramerTest, ShortLinesNeedNoBlockAndLongLinesLeaveTheReserve) {
    BufferPool pool(4);
    LineFramer longLine(pool);
    longLine.leaveBlocks(1);
    const std::string block(kBlockBytes, 'x');
    auto outcome = LineFramer::Outcome::Incomplete;
    while (outcome == LineFramer::Outcome::Incomplete) outcome = longLine.feed(block, maxLineBytes, {});
    EXPECT_EQ(outcome, LineFramer::Outcome::OutOfBuffers);
    EXPECT_EQ(pool.leasedCount(), 3U);
    LineFramer another(pool);
    EXPECT_EQ(another.feed(block, maxLineBytes, {}), LineFramer::Outcome::Incomplete); // takes the reserve
    LineFramer shortLine(pool);
    const std::string own(kOwnBufferBytes, 'x');
    EXPECT_EQ(shortLine.feed(own, maxLineBytes, {}), LineFramer::Outcome::Incomplete);
    EXPECT_EQ(shortLine.feed("x", maxLineBytes, {}), LineFramer::Outcome::OutOfBuffers);
}

TEST(LineFramerTest, RejectsOverlongLinesAndReturnsTheirBuffers) {
    BufferPool pool(300);
    BufferPool small(2);
    const std::string block(kBlockBytes, 'x');
    const auto outcome = [&](BufferPool& from) {
        LineFramer framer(from);
        auto last = LineFramer::Outcome::Incomplete;
        for (int k = 0; k < 300 && last == LineFramer::Outcome::Incomplete; ++k)
            last = framer.feed(block, maxLineBytes, {});
        return last;
    };
    EXPECT_EQ(outcome(pool), LineFramer::Outcome::TooLong);
    EXPECT_EQ(outcome(small), LineFramer::Outcome::OutOfBuffers);
    EXPECT_EQ(pool.leasedCount() + small.leasedCount(), 0U);
}

} // namespace
} // namespace zincstack::net
