// Tests the parser of platform protocol messages.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <type_traits>

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

/// Guards against memory that grows with the number of fields: one line of 1 MiB with very many short fields
/// cost 17 MB, at a limit of 32 MB.
TEST(MessageParser, OwnsNoMemory) {
    static_assert(std::is_trivially_copyable_v<Message> && std::is_trivially_destructible_v<Message>);
    std::string line = "demand";
    while (line.size() < (std::size_t{1} << 20U) - 20) line += " a=";
    line += " proxy=3  class=x ";
    const auto message = parseMessage(line);
    ASSERT_TRUE(message);
    EXPECT_EQ(message->kind, "demand");
    EXPECT_EQ(message->find("a"), "");
    EXPECT_EQ(message->count("proxy", 9), 3U);
    EXPECT_EQ(message->find("class"), "x");
    EXPECT_FALSE(message->find("b"));
    EXPECT_FALSE(parseMessage(line + "b"));
}

TEST(MessageParser, ReturnsTheFirstOfFieldsWithTheSameNameAndIgnoresRepeatedSpaces) {
    const auto message = parseMessage("  hello   proxy=1 proxy=2 zone=a=b ");
    ASSERT_TRUE(message);
    EXPECT_EQ(message->kind, "hello");
    EXPECT_EQ(message->find("proxy"), "1");
    EXPECT_EQ(message->find("zone"), "a=b");
    EXPECT_FALSE(message->find("prox"));
    EXPECT_FALSE(parseMessage("   "));
}

} // namespace
} // namespace zincstack::net
