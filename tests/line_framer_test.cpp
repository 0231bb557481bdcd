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
    RC_ASSERT(pool.leasedCount() == 1U);
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
