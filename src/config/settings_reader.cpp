#include "config/settings_reader.h"

#include <charconv>
#include <cmath>

namespace zincstack::config {

namespace {

constexpr std::string_view kDocument = "start terms"; // the name of the settings in messages
constexpr double kMaxNumber = 1e12;                   // as seconds, it still fits into Micros
constexpr double kMicrosPerSecond = 1e6;

double parseNumber(const std::string& path, const std::string& value) {
    double number = 0;
    const char* const valueEnd = value.data() + value.size();
    const auto [end, error] = std::from_chars(value.data(), valueEnd, number);
    const bool isNumber = error == std::errc{} && end == valueEnd && std::isfinite(number);
    if (!isNumber || number < 0 || number > kMaxNumber)
        throw settingsError(path + " is not a number from 0 to 1e12: '" + value + "'", path);
    return number;
}

Micros toMicros(double seconds) { return Micros(std::llround(seconds * kMicrosPerSecond)); }

std::vector<std::string> splitAtCommas(const std::string& text) {
    std::vector<std::string> items;
    if (text.empty()) return items;
    std::size_t start = 0;
    std::size_t comma = text.find(',');
    while (comma != std::string::npos) {
        items.push_back(text.substr(start, comma - start));
        start = comma + 1;
        comma = text.find(',', start);
    }
    items.push_back(text.substr(start));
    return items;
}

} // namespace

InputError settingsError(const std::string& reason, std::string_view field) {
    return InputError::inDocument(kDocument, reason, field);
}

const std::string* SettingsReader::find(const std::string& path) const {
    const auto found = settings_.find(path);
    return found == settings_.end() ? nullptr : &found->second;
}

const std::string& SettingsReader::text(const std::string& path) const {
    const auto* value = find(path);
    if (!value) throw settingsError("the required setting " + path + " is missing", path);
    return *value;
}

double SettingsReader::number(const std::string& path) const { return parseNumber(path, text(path)); }

double SettingsReader::numberOrZero(const std::string& path) const {
    const auto* value = find(path);
    return value ? parseNumber(path, *value) : 0;
}

Micros SettingsReader::duration(const std::string& path) const { return toMicros(number(path)); }

Micros SettingsReader::durationOrZero(const std::string& path) const { return toMicros(numberOrZero(path)); }

std::uint32_t SettingsReader::count(const std::string& path, double maximum) const {
    const double value = number(path);
    if (value > maximum || value != std::floor(value))
        throw settingsError(path + " is not a whole number from 0 to " +
                                std::to_string(static_cast<std::uint64_t>(maximum)) + ": '" + text(path) +
                                "'",
                            path);
    return static_cast<std::uint32_t>(value);
}

bool SettingsReader::flagOrFalse(const std::string& path) const {
    const auto* value = find(path);
    return value && parseFlag(path, *value);
}

std::vector<std::string> SettingsReader::list(const std::string& path) const {
    const auto* value = find(path);
    return value ? splitAtCommas(*value) : std::vector<std::string>{};
}

std::vector<std::string> SettingsReader::requiredList(const std::string& path) const {
    return splitAtCommas(text(path));
}

bool SettingsReader::parseFlag(const std::string& path, std::string_view value) {
    if (value != "true" && value != "false")
        throw settingsError(path + " is neither true nor false: '" + std::string(value) + "'", path);
    return value == "true";
}

void SettingsReader::noteUnknownKeyword(const std::string& path, std::string_view keyword) {
    notices_.push_back(std::string(kDocument) + ": " + path + " has the unknown value '" +
                       std::string(keyword) + "'");
}

} // namespace zincstack::config
