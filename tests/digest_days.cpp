// Implements the list of kinds of recorded days and the texts of events.
#include "digest_days.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace zincstack::tests {

namespace {

constexpr std::array kDayKinds = {
    DayKind{"decisions", 1000, 60, playDecisionsDay}, DayKind{"push", 40, 10, playPushDay},
    DayKind{"pubsub", 40, 10, playPubsubDay}, DayKind{"simwire", 60, 10, playSimwireDay}};

constexpr std::string_view kHexDigits = "0123456789abcdef";

void appendHex(std::string& text, char byte) {
    const auto value = static_cast<unsigned char>(byte);
    text += kHexDigits[value >> 4];
    text += kHexDigits[value & 15];
}

bool isPlain(char byte) { return byte >= ' ' && byte <= '~' && byte != '\\'; }

} // namespace

std::span<const DayKind> dayKinds() { return kDayKinds; }

const DayKind* findDayKind(std::string_view name) {
    const auto found = std::ranges::find(kDayKinds, name, &DayKind::name);
    return found == kDayKinds.end() ? nullptr : &*found;
}

std::string exactText(double value) {
    std::array<char, 64> buffer{};
    const auto written =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::hex);
    return {buffer.data(), written.ptr};
}

std::string hexText(std::string_view bytes) {
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) appendHex(text, byte);
    return text;
}

std::string escapedText(std::string_view bytes) {
    std::string text;
    for (const char byte : bytes) {
        if (isPlain(byte)) {
            text += byte;
            continue;
        }
        text += "\\x";
        appendHex(text, byte);
    }
    return text;
}

std::string eventText(Micros now, std::string_view name,
                      std::initializer_list<std::pair<std::string_view, std::string>> values) {
    std::string text = std::to_string(now.count());
    text += ' ';
    text += name;
    for (const auto& [valueName, value] : values) {
        text += ' ';
        text += valueName;
        text += '=';
        text += value;
    }
    return text;
}

} // namespace zincstack::tests
