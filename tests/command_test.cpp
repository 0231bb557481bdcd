// The command line, the operator's file, the log's lines, and what a person is told of a fault.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "command/check.h"
#include "command/command_line.h"
#include "config/operator_config.h"
#include "log/log.h"
#include "json/json.h"

namespace zincstack {
namespace {

using namespace std::chrono_literals;

std::variant<command::Order, int> read(std::vector<const char*> words) {
    words.insert(words.begin(), "zincstack");
    testing::internal::CaptureStdout(), testing::internal::CaptureStderr();
    auto out = command::read(static_cast<int>(words.size()), words.data());
    testing::internal::GetCapturedStdout(), testing::internal::GetCapturedStderr();
    return out;
}
template <class T>
T orderOf(std::vector<const char*> words) {
    const auto out = read(std::move(words));
    return std::get<T>(std::get<command::Order>(out));
}

TEST(CommandLine, RunsWithoutASubcommandAndReadsEachOne) {
    EXPECT_EQ(orderOf<command::Run>({}).operatorFile, "");
    EXPECT_EQ(orderOf<command::Run>({"--operator", "x.json"}).operatorFile, "x.json");
    EXPECT_EQ(orderOf<command::Run>({"run", "--operator", "x.json"}).operatorFile, "x.json");
    EXPECT_EQ(orderOf<command::Check>({"check", "a", "b"}).files, (std::vector<std::string>{"a", "b"}));
    const auto watch =
        orderOf<command::Subscribe>({"subscribe", "127.0.0.1:1", "127.0.0.1:2", "--zone", "a"});
    EXPECT_EQ(watch.planners.size(), 2U);
    EXPECT_FALSE(watch.proxy);
    const auto joins = orderOf<command::Subscribe>(
        {"subscribe", "127.0.0.1:1", "--zone", "a", "--proxy", "0", "--weight", "2.5", "--json"});
    EXPECT_EQ(joins.proxy, 0);
    EXPECT_EQ(joins.weight, 2.5);
    EXPECT_TRUE(joins.json);
}

TEST(CommandLine, WhatCantBeReadEndsWithTwoAndHelpWithNothing) {
    for (const auto& words :
         std::vector<std::vector<const char*>>{{"fly"},
                                               {"check"},
                                               {"subscribe", "x"},
                                               {"--nothing"},
                                               {"run", "check"},
                                               {"subscribe", "x", "--zone", "a", "--proxy", "99999"},
                                               {"subscribe", "x", "--zone", "a", "--weight", "1"}})
        EXPECT_EQ(std::get<int>(read(words)), 2) << words[0];
    EXPECT_EQ(std::get<int>(read({"--help"})), 0);
    EXPECT_EQ(std::get<int>(read({"--version"})), 0);
}

std::string placesOf(std::string_view text) {
    std::string out;
    for (const auto& one : config::findOperatorConfigErrors(text))
        out += (out.empty() ? "" : " ") + one.pointer;
    return out;
}

TEST(OperatorFile, EveryFaultIsToldByItsPlace) {
    EXPECT_EQ(placesOf(R"({"log":{"format":"xml"},"channel":{"listen":"x","subscribers":0,"other":1}})"),
              "/channel /channel/listen /channel/subscribers /log/format");
    EXPECT_EQ(placesOf(R"({"channel":{}})"), "/channel");
    EXPECT_EQ(placesOf(R"({"channel":{"listen":"300.0.0.1:1","lease_s":1}})"),
              "/channel/listen /channel/lease_s");
    EXPECT_EQ(placesOf(R"({"channel":{"listen":"127.0.0.1:1","beat_s":4}})"), "/channel/lease_s");
    EXPECT_EQ(placesOf(R"({"later":1})"), "");
    ASSERT_EQ(config::findOperatorConfigErrors(R"({"later":1})").size(), 1U);
    EXPECT_NE(config::findOperatorConfigErrors("{").at(0).what.find("offset 2"), std::string::npos);
    EXPECT_EQ(placesOf("{}"), "");
    EXPECT_TRUE(config::findOperatorConfigErrors("{}").empty());
    try {
        config::readOperatorConfig(R"({"log":{"level":3}})");
        FAIL();
    } catch (const InputError& error) { EXPECT_EQ(std::string(error.what()).find("/log/level: "), 0U); }
}

TEST(OperatorFile, AbsentPartsAreOffAndTheRestIsAsWritten) {
    EXPECT_FALSE(config::readOperatorConfig("{}").channel);
    EXPECT_FALSE(config::loadOperatorConfig("").channel);
    EXPECT_EQ(config::readOperatorConfig("{}").log, config::LogConfig{});
    const auto read = config::readOperatorConfig(
        R"({"log":{"format":"json","level":"warn"},"channel":{"listen":"127.0.0.1:9","beat_s":0.25,"subscribers":7}})");
    EXPECT_TRUE(read.log.json);
    EXPECT_EQ(read.log.least, 2);
    EXPECT_EQ(read.channel->heartbeatInterval, 250ms);
    EXPECT_EQ(read.channel->subscribers, 7U);
    EXPECT_EQ(read.channel->leaseDuration, config::PubsubConfig{}.leaseDuration);
}

TEST(CheckCommand, TellsFileAndPlaceOfEachFaultAndTheExitCode) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("zincstack-check-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const auto write = [&](const char* name, std::string_view text) {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    };
    const std::string good = write("good.json", "{}"), bad = write("bad.json", R"({"log":1})"),
                      start = write("start.json", R"({"name":"n","settings":{"Zones":[]}})");
    std::ostringstream out;
    EXPECT_EQ(command::check({{good}}, out), 0);
    EXPECT_EQ(out.str(), good + ": can be used\n");
    EXPECT_EQ(command::check({{good, bad, start, folder.string(), good + "x"}}, out), 2);
    for (const std::string& wanted : {bad + ": /log: ", start + ": /settings/Zones: ",
                                      start + ": /settings: ", folder.string() + ": /: ", good + "x: /: "})
        EXPECT_NE(out.str().find(wanted), std::string::npos) << wanted << "\n" << out.str();
    std::filesystem::remove_all(folder);
}

TEST(LogLines, AreWordsForPeopleAndAnObjectForPrograms) {
    const log::Fields fields{
        {"planner", "n 1"}, {"count", 3U}, {"part", 0.5}, {"on", true}, {"odd", "a=\"\xff\""}};
    EXPECT_EQ(log::lineOf(log::Format::Text, log::Level::Info, "up", fields),
              "up planner=\"n 1\" count=3 part=0.5 on=true odd=\"a=\\\"\xef\xbf\xbd\\\"\"");
    const auto all = json::read("{" + log::lineOf(log::Format::Json, log::Level::Warn, "up", fields));
    EXPECT_EQ(all["event"], "up");
    EXPECT_EQ(all["level"], "warning");
    EXPECT_EQ(all["planner"], "n 1");
    EXPECT_EQ(all["count"], 3);
    EXPECT_EQ(all["on"], true);
}

} // namespace
} // namespace zincstack
