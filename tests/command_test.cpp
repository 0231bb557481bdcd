// The command line, the operator's file, `zincstack check`, and the format of log lines.
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

/// Captures the printed output, so that it does not appear among the test results.
std::variant<command::Command, int> parse(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "zincstack");
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    auto parsed = command::parseCommandLine(static_cast<int>(arguments.size()), arguments.data());
    testing::internal::GetCapturedStdout();
    testing::internal::GetCapturedStderr();
    return parsed;
}

template <class Options>
Options optionsOf(std::vector<const char*> arguments) {
    const auto parsed = parse(std::move(arguments));
    return std::get<Options>(std::get<command::Command>(parsed));
}

TEST(CommandLine, RunsWithoutASubcommandAndParsesEachSubcommand) {
    EXPECT_EQ(optionsOf<command::RunOptions>({}).operatorFile, "");
    EXPECT_EQ(optionsOf<command::RunOptions>({"--operator", "x.json"}).operatorFile, "x.json");
    EXPECT_EQ(optionsOf<command::RunOptions>({"run", "--operator", "x.json"}).operatorFile, "x.json");
    EXPECT_EQ(optionsOf<command::CheckOptions>({"check", "a", "b"}).files,
              (std::vector<std::string>{"a", "b"}));
    const auto watch =
        optionsOf<command::SubscribeOptions>({"subscribe", "127.0.0.1:1", "127.0.0.1:2", "--zone", "a"});
    EXPECT_EQ(watch.planners.size(), 2U);
    EXPECT_FALSE(watch.proxy);
    const auto joins = optionsOf<command::SubscribeOptions>(
        {"subscribe", "127.0.0.1:1", "--zone", "a", "--proxy", "0", "--weight", "2.5", "--json"});
    EXPECT_EQ(joins.proxy, 0);
    EXPECT_EQ(joins.weight, 2.5);
    EXPECT_TRUE(joins.json);
}

TEST(CommandLine, UsageErrorsExitWithTwoAndHelpWithZero) {
    for (const auto& arguments :
         std::vector<std::vector<const char*>>{{"fly"},
                                               {"check"},
                                               {"subscribe", "x"},
                                               {"--nothing"},
                                               {"run", "check"},
                                               {"subscribe", "x", "--zone", "a", "--proxy", "99999"},
                                               {"subscribe", "x", "--zone", "a", "--weight", "1"}})
        EXPECT_EQ(std::get<int>(parse(arguments)), 2) << arguments[0];
    EXPECT_EQ(std::get<int>(parse({"--help"})), 0);
    EXPECT_EQ(std::get<int>(parse({"--version"})), 0);
}

/// The JSON pointers of all errors, separated by spaces.
std::string errorPointers(std::string_view text) {
    std::string pointers;
    for (const auto& error : config::findOperatorConfigErrors(text))
        pointers += (pointers.empty() ? "" : " ") + error.pointer;
    return pointers;
}

TEST(OperatorFile, EveryErrorIsReportedWithItsJsonPointer) {
    EXPECT_EQ(errorPointers(R"({"log":{"format":"xml"},"channel":{"listen":"x","subscribers":0,"other":1}})"),
              "/channel /channel/listen /channel/subscribers /log/format");
    EXPECT_EQ(errorPointers(R"({"channel":{}})"), "/channel");
    EXPECT_EQ(errorPointers(R"({"channel":{"listen":"300.0.0.1:1","lease_s":1}})"),
              "/channel/listen /channel/lease_s");
    EXPECT_EQ(errorPointers(R"({"channel":{"listen":"127.0.0.1:1","beat_s":4}})"), "/channel/lease_s");
    EXPECT_EQ(errorPointers(R"({"later":1})"), "");
    ASSERT_EQ(config::findOperatorConfigErrors(R"({"later":1})").size(), 1U);
    EXPECT_NE(config::findOperatorConfigErrors("{").at(0).message.find("offset 2"), std::string::npos);
    EXPECT_EQ(errorPointers("{}"), "");
    EXPECT_TRUE(config::findOperatorConfigErrors("{}").empty());
    try {
        config::readOperatorConfig(R"({"log":{"level":3}})");
        FAIL();
    } catch (const InputError& error) { EXPECT_EQ(std::string(error.what()).find("/log/level: "), 0U); }
}

TEST(OperatorFile, AbsentSectionsKeepTheirDefaultsAndOthersAreRead) {
    EXPECT_FALSE(config::readOperatorConfig("{}").pubsub);
    EXPECT_FALSE(config::loadOperatorConfig("").pubsub);
    EXPECT_EQ(config::readOperatorConfig("{}").log, config::LogConfig{});
    const auto read = config::readOperatorConfig(
        R"({"log":{"format":"json","level":"warn"},"channel":{"listen":"127.0.0.1:9","beat_s":0.25,"subscribers":7}})");
    EXPECT_TRUE(read.log.json);
    EXPECT_EQ(read.log.minLevel, log::Level::Warn);
    EXPECT_EQ(read.pubsub->heartbeatInterval, 250ms);
    EXPECT_EQ(read.pubsub->maxSubscribers, 7U);
    EXPECT_EQ(read.pubsub->leaseDuration, config::PubsubConfig{}.leaseDuration);
}

TEST(CheckCommand, PrintsFileAndJsonPointerOfEachErrorAndReturnsTheExitCode) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("zincstack-check-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const auto write = [&](const char* name, std::string_view text) {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    };
    const std::string good = write("good.json", "{}");
    const std::string bad = write("bad.json", R"({"log":1})");
    const std::string start = write("start.json", R"({"name":"n","settings":{"Zones":[]}})");
    std::ostringstream out;
    EXPECT_EQ(command::check({{good}}, out), 0);
    EXPECT_EQ(out.str(), good + ": valid\n");
    EXPECT_EQ(command::check({{good, bad, start, folder.string(), good + "x"}}, out), 2);
    for (const std::string& wanted : {bad + ": /log: ", start + ": /settings/Zones: ",
                                      start + ": /settings: ", folder.string() + ": /: ", good + "x: /: "})
        EXPECT_NE(out.str().find(wanted), std::string::npos) << wanted << "\n" << out.str();
    std::filesystem::remove_all(folder);
}

TEST(LogLines, AreFormattedAsTextOrAsJsonObject) {
    const log::Fields fields{
        {"planner", "n 1"}, {"count", 3U}, {"part", 0.5}, {"on", true}, {"odd", "a=\"\xff\""}};
    EXPECT_EQ(log::formatLine(log::Format::Text, log::Level::Info, "up", fields),
              "up planner=\"n 1\" count=3 part=0.5 on=true odd=\"a=\\\"\xef\xbf\xbd\\\"\"");
    const auto all = json::read("{" + log::formatLine(log::Format::Json, log::Level::Warn, "up", fields));
    EXPECT_EQ(all["event"], "up");
    EXPECT_EQ(all["level"], "warning");
    EXPECT_EQ(all["planner"], "n 1");
    EXPECT_EQ(all["count"], 3);
    EXPECT_EQ(all["on"], true);
}

} // namespace
} // namespace zincstack
