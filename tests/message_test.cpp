// Tests the parser of platform protocol messages.
#include <gtest/gtest.h>

#include <string_view>

#include "platform/message.h"

namespace zincstack::net {
namespace {

TEST(MessageParser, ParsesFieldsAndNumbers) {
    const auto message = parseMessage("ack proxy=17 mark=905 took_ms=310.4");
    ASSERT_TRUE(message);
    EXPECT_EQ(message->count("proxy", 20), 17U);
    EXPECT_FALSE(message->count("proxy", 16));
    EXPECT_EQ(message->millis("took_ms"), Micros(310'400));
    for (const std::string_view invalid : {"", "ack proxy", "ack =1"})
        EXPECT_FALSE(parseMessage(invalid)) << invalid;
    for (const std::string_view invalid : {"nan", "inf", "-1", "1x", "", "1e999"})
        EXPECT_FALSE(parseNumber(invalid)) << invalid;
}

} // namespace
} // namespace zincstack::net
