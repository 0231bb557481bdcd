// Settings read from a start text, and the error messages for missing and invalid ones.
#include <gtest/gtest.h>

#include "config/start_settings.h"
#include "start_text.h"

namespace zincstack::config {
namespace {

using tests::kStartText;

std::string errorOf(const auto& call) {
    try {
        call();
    } catch (const InputError& error) { return error.what(); }
    return "";
}

StartSettings readStartText(std::string_view text) { return readStartSettings(splitText(text)); }

TEST(StartSettings, SettingsAreReadAndErrorsNameTheSetting) {
    const auto start = readStartText(kStartText);
    EXPECT_EQ(start.requestClasses.at(0).latencyObjective, Micros(1'000'000));
    EXPECT_EQ(start.fleet.zoneCount, 2);
    const auto errorAfter = [](std::string_view from, std::string_view to) -> std::string {
        std::string text(kStartText);
        text.replace(text.find(from), from.size(), to);
        return errorOf([&] { readStartText(text); });
    };
    EXPECT_NE(errorAfter("Extra.QueueCap=14000.0\n", "").find("Extra.QueueCap is missing"),
              std::string::npos);
    EXPECT_NE(errorAfter("14000.0", "many").find("Extra.QueueCap is not a number from 0 to 1e12"),
              std::string::npos);
    EXPECT_NE(errorAfter("Classes.count=1", "Classes.count=0").find("Classes.count"), std::string::npos);
    std::string unusual(kStartText);
    unusual.replace(unusual.find("retryable"), 9, "sometimes");
    EXPECT_EQ(readStartText(unusual).requestClasses.at(0).idempotency, Idempotency::NonIdempotent);
    EXPECT_EQ(readStartText(unusual).notices.size(), 1U);
    unusual.erase(unusual.find("Classes.0.Effect="), std::string_view("Classes.0.Effect=sometimes\n").size());
    EXPECT_EQ(readStartText(unusual).requestClasses.at(0).idempotency,
              Idempotency::NonIdempotent); // absent: as if unknown
    EXPECT_EQ(readStartText(unusual).notices.size(), 1U);
}

} // namespace
} // namespace zincstack::config
