// Tests the JSON parser.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "input_error_text.h"
#include "json/json.h"

namespace zincstack::net {
namespace {

TEST(JsonReader, ReadsATreeAndReportsTheOffsetOfAnError) {
    const json::Value tree = json::read(R"( {"a":[1, -2.5e3, true, null],"b\u00e9":{"c":"\ud83d\ude00"}} )");
    EXPECT_EQ(json::member(tree, "a")[1].get<double>(), -2500);
    EXPECT_EQ(*json::textOf(json::member(tree, "b\xc3\xa9"), "c"), "\xf0\x9f\x98\x80");
    EXPECT_EQ(json::textOf(tree, "a"), nullptr);
    EXPECT_TRUE(json::member(json::member(tree, "none"), "of this").is_null());
    for (const auto& [text, message] :
         std::vector<std::pair<std::string_view, std::string_view>>{{R"({"a":})", "offset 6"},
                                                                    {R"(["a)", "offset 4"},
                                                                    {"[1]x", "offset 4"},
                                                                    {R"("\q")", "offset 3"},
                                                                    {"", "offset 1"}})
        EXPECT_NE(tests::inputErrorOf([&, t = text] { json::read(t); }).find(message), std::string::npos)
            << text;
    EXPECT_NE(tests::inputErrorOf([] {
                  json::read(std::string(100'000, '['));
              }).find("nested deeper than 32 levels"),
              std::string::npos);
}

RC_GTEST_PROP(JsonReader, TruncatedTextIsAnInputError, ()) {
    const std::string text = R"({"revision":41,"complete":true,"members":[{"id":"s\n1","size":1.5e0}]})";
    const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!tests::inputErrorOf([&] { json::read(std::string_view(text).substr(0, size)); }).empty());
}

} // namespace
} // namespace zincstack::net
