// Recorded traces: round trip through each format, and errors for invalid lines.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "load/trace.h"

namespace zincstack::load {
namespace {

using namespace std::chrono_literals;

RC_GTEST_PROP(Trace, RoundTripsInEitherFormatCompressedOrNot, ()) {
    const std::vector<std::string> classNames{"lookup", "hold", "confirm \"x\""};
    std::vector<RecordedRequest> requests;
    Micros at{};
    for (int k = *rc::gen::inRange(1, 60); k > 0; --k) {
        at += Micros(*rc::gen::inRange(0, 3)); // including equal times
        requests.push_back({at,
                            {static_cast<std::uint16_t>(*rc::gen::inRange(0, 3))},
                            *rc::gen::arbitrary<std::uint64_t>()});
    }
    for (const auto format : {TraceFormat::Csv, TraceFormat::JsonLines})
        for (const bool compressed : {false, true}) {
            const auto read = readTrace(writeTrace(requests, classNames, format, compressed), classNames);
            RC_ASSERT(read.errors.empty());
            RC_ASSERT(read.requests == requests);
        }
}

TEST(Trace, EachInvalidLineIsReportedWithItsNumberAndTheRestIsRead) {
    const std::vector<std::string> classNames{"lookup"};
    const auto read =
        readTrace("at_us,product,caller\n5,lookup,1\r\n4,lookup,1\nx,lookup,1\n6,order,1\n7,lookup\n"
                  "8,lookup,-1\n99999999999999,lookup,1\n-1,lookup,1\n\n5,lookup,2\n9,lookup,1,2\n9,lookup,3",
                  classNames);
    EXPECT_EQ(read.requests, (std::vector<RecordedRequest>{{5us, {0}, 1}, {5us, {0}, 2}, {9us, {0}, 3}}));
    std::vector<std::size_t> lines;
    for (const auto& error : read.errors) lines.push_back(error.line);
    EXPECT_EQ(lines, (std::vector<std::size_t>{3, 4, 5, 6, 7, 8, 9, 12}));
    EXPECT_NE(read.errors[0].what.find("earlier"), std::string::npos);
    EXPECT_NE(read.errors[2].what.find("'order'"), std::string::npos);
    const auto jsonLines = readTrace(
        "{\"at_us\":1,\"product\":\"lookup\"}\n{\"at_us\":1.5,\"product\":\"lookup\"}\n{\"at_us\"\n{}\n",
        classNames);
    EXPECT_EQ(jsonLines.requests.size(), 1U);
    EXPECT_EQ(jsonLines.errors.size(), 3U);
    EXPECT_EQ(readTrace("", classNames).errors.size(), 1U);
    EXPECT_EQ(readTrace(std::string(100, '\n') + std::string(9000, 'x'), classNames, 1).errors.size(), 1U);
}

TEST(Trace, TruncatedCompressedTraceIsOneErrorAndYieldsNoRequests) {
    const std::vector<std::string> classNames{"lookup"};
    const auto whole = writeTrace({{1us, {0}, 1}, {2us, {0}, 2}}, classNames, TraceFormat::Csv, true);
    for (std::size_t size = 4; size < whole.size(); ++size) {
        const auto read = readTrace(whole.substr(0, size), classNames);
        EXPECT_EQ(read.errors.size(), 1U) << size;
        EXPECT_TRUE(read.requests.empty()) << size;
    }
}

} // namespace
} // namespace zincstack::load
