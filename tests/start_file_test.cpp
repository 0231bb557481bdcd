// Parsing of the start file.
#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "config/start_file.h"
#include "input_error_text.h"

namespace zincstack::config {
namespace {

constexpr std::string_view kStartFile =
    R"({"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
    "limits":{"sockets":512},"settings":{"Zones":["a","b c"],"Classes":[{"Name":"x","AimS":1.0},{"Name":"y"}],
    "Extra":{"ZoneBound":[false,true]},"Nothing":null}})";

TEST(StartFileTest, FlattensNestedSettingsAndNamesMissingFields) {
    const StartFile startFile = parseStartFile(kStartFile);
    EXPECT_EQ(startFile.seed, 0x8c1f30d27a5be964U);
    EXPECT_EQ(startFile.maxDescriptors, 512U);
    const FlatSettings expected{{"Zones", "a,b_c"},      {"Classes.count", "2"},
                                {"Classes.0.Name", "x"}, {"Classes.0.AimS", "1.0"},
                                {"Classes.1.Name", "y"}, {"Extra.ZoneBound", "false,true"}};
    EXPECT_EQ(startFile.settings, expected);
    for (const std::string_view field : {"name", "listen", "discovery", "seed", "settings"}) {
        std::string text(kStartFile);
        text.replace(text.find(field), field.size(), "other");
        EXPECT_NE(tests::inputErrorOf([&] { parseStartFile(text); }).find("field " + std::string(field)),
                  std::string::npos);
    }
}

} // namespace
} // namespace zincstack::config
