#include "log/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "json/json.h"

namespace zincstack::log {

namespace {

constexpr const char* kTextPattern = "%H:%M:%S.%e %l %v";
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z",%v)";
constexpr spdlog::level::level_enum kSpdlogLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                       spdlog::level::warn, spdlog::level::critical};
constexpr std::string_view kLevelNames[] = {"debug", "info", "warning", "critical"};

Format& currentFormat() {
    static Format format = Format::Text;
    return format;
}

spdlog::level::level_enum spdlogLevel(Level level) { return kSpdlogLevels[static_cast<std::size_t>(level)]; }

/// Replaces invalid UTF-8 instead of throwing.
template <class Json>
std::string dump(const Json& value) {
    return value.dump(-1, ' ', false, json::Value::error_handler_t::replace);
}

/// Returns the text unchanged if it is a single word without special characters, otherwise as a JSON string.
std::string quotedIfNeeded(const std::string& text) {
    const bool isPlain = !text.empty() && std::ranges::all_of(text, [](char character) {
        return character > ' ' && character != '"' && character != '=' && character != '\x7f';
    });
    return isPlain ? text : dump(json::Value(text));
}

std::string formatJson(Level level, std::string_view event, const Fields& fields) {
    nlohmann::ordered_json object;
    object["level"] = kLevelNames[static_cast<std::size_t>(level)];
    object["event"] = event;
    for (const auto& [name, value] : fields) {
        auto& member = object[std::string(name)];
        std::visit([&](const auto& plain) { member = plain; }, value);
    }
    return dump(object).substr(1);
}

std::string formatValue(const decltype(Field::value)& value) {
    if (const auto* text = std::get_if<std::string>(&value)) return quotedIfNeeded(*text);
    return std::visit([](const auto& plain) { return json::Value(plain).dump(); }, value);
}

std::string formatText(std::string_view event, const Fields& fields) {
    std::string line(event);
    for (const auto& [name, value] : fields)
        line.append(" ").append(name).append("=").append(formatValue(value));
    return line;
}

} // namespace

void start(Format format, Level minLevel) {
    currentFormat() = format;
    static const auto kLogger = spdlog::stderr_logger_st("zincstack");
    spdlog::set_default_logger(kLogger);
    spdlog::set_pattern(format == Format::Json ? kJsonPattern : kTextPattern);
    spdlog::set_level(spdlogLevel(minLevel));
}

std::string formatLine(Format format, Level level, std::string_view event, const Fields& fields) {
    return format == Format::Json ? formatJson(level, event, fields) : formatText(event, fields);
}

bool enabled(Level level) { return spdlog::default_logger_raw()->should_log(spdlogLevel(level)); }

void write(Level level, std::string_view event, const Fields& fields) {
    if (!enabled(level)) return;
    const std::string line = formatLine(currentFormat(), level, event, fields);
    spdlog::default_logger_raw()->log(spdlogLevel(level), spdlog::string_view_t(line));
}

} // namespace zincstack::log
