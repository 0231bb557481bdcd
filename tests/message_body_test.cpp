// Tests of the bodies of the pub-sub channel's frames: encoding, decoding and rejection of invalid input.
#include <gtest/gtest.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "pubsub/message_body.h"
#include "pubsub_entries.h"

namespace zincstack::pubsub {
namespace {

using tests::weightEntry;
using namespace std::chrono_literals;

std::string cborOf(const nlohmann::json& value) {
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

TEST(MessageBody, RoundTripsThroughEncoding) {
    Hello hello;
    hello.proxy = ProxyId{17};
    hello.zone = "a";
    hello.weight = 21.5;
    hello.onlyBootstrapTable = true;
    hello.positions = {{{1}, {1'790'000'000'000'000}, {5}}};
    const auto decodedHello = decodeHello(encode(hello));
    ASSERT_TRUE(decodedHello);
    EXPECT_EQ(decodedHello->proxy, hello.proxy);
    EXPECT_EQ(decodedHello->weight, 21.5);
    EXPECT_EQ(decodedHello->positions, hello.positions);
    const auto notice = decodeDisconnectNotice(encode(DisconnectNotice{"off", 3s}));
    EXPECT_EQ(notice->retryAfter, Micros(3s));
    EXPECT_FALSE(decodeDisconnectNotice(encode(DisconnectNotice{"off", {}}))->retryAfter);
    const TopicBody body{{"lookup", "order"},
                         {weightEntry(1, 0.6),
                          weightEntry(2, 3),
                          {{Key::Kind::Admission, "order"}, {0.25, RetryPolicy::AfterProofOfNoEffect}},
                          {{Key::Kind::Exclusion, "s-9"}, {1, {}}}}};
    const auto decodedBody = decodeTopicBody(encode(body));
    EXPECT_EQ(decodedBody->requestClasses, body.requestClasses);
    EXPECT_EQ(decodedBody->entries, body.entries);
    EXPECT_EQ(decodeTopicHeads(encode(TopicHeads{{{0}, {4}}, {{2}, {5}}}))->size(), 2U);
    EXPECT_EQ(decodeDemandRecord(encode(DemandRecord{"order", 5, 1, 1s}))->requests, 5U);
}

// Values of a wrong type or out of range, deep nesting and huge announced sizes must not reach the planner or
// exhaust its memory. Unknown keys are accepted for compatibility with later versions.
TEST(MessageBody, RejectsInvalidBodiesAndIgnoresUnknownKeys) {
    using nlohmann::json;
    const json hello{{"versions", {1, 1}}, {"features", 0}, {"zone", "a"}};
    EXPECT_TRUE(decodeHello(cborOf(hello)));
    for (const auto& [name, invalid] :
         std::vector<std::pair<std::string, json>>{{"versions", 1},
                                                   {"versions", {1}},
                                                   {"versions", {-1, 1}},
                                                   {"features", "x"},
                                                   {"zone", ""},
                                                   {"zone", std::string(300, 'z')},
                                                   {"proxy", 70000},
                                                   {"proxy", 3},
                                                   {"have", {{1, 2}}},
                                                   {"have", 4}}) {
        json other = hello;
        other[name] = invalid;
        EXPECT_FALSE(decodeHello(cborOf(other))) << name << " " << invalid;
    }
    for (const json& invalid :
         {json{{"lines", {{"s", -1}}}}, json{{"lines", {{"s", "1"}}}}, json{{"lines", {{"", 1}}}},
          json{{"levels", {{"p", 1}}}}, json{{"levels", {{"p", {1, 9}}}}}, json::array({1})})
        EXPECT_FALSE(decodeTopicBody(cborOf(invalid))) << invalid;
    const json withUnknownKey{{"later", {1, 2}}, {"lines", {{"s", 1}}}};
    EXPECT_TRUE(decodeTopicBody(cborOf(withUnknownKey)));
    EXPECT_FALSE(decodeTopicBody(std::string(100'000, '\x81'))); // 100,000 nested arrays
    EXPECT_FALSE(decodeTopicBody(std::string(9, '\xbb')));       // a map with 13 quintillion entries
    EXPECT_FALSE(decodeTopicBody(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
}

} // namespace
} // namespace zincstack::pubsub
