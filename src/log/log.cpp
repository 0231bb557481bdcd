#include "log/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>

#include "json/json.h"

namespace zincstack::log {

namespace {

Format& formatInUse() {
    static Format format = Format::Text;
    return format;
}
constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                 spdlog::level::warn, spdlog::level::critical};
constexpr std::string_view kNames[] = {"debug", "info", "warning", "critical"};

/// As it is, or in quotes where it would not be one word.
std::string wordOf(const std::string& text) {
    const bool plain = !text.empty() && std::ranges::all_of(text, [](char one) {
        return one > ' ' && one != '"' && one != '=' && one != '\x7f';
    });
    if (plain) return text;
    return json::Value(text).dump(-1, ' ', false, json::Value::error_handler_t::replace);
}

} // namespace

void start(Format format, Level least) {
    formatInUse() = format;
    static const auto logger = spdlog::stderr_logger_st("zincstack");
    spdlog::set_default_logger(logger);
    spdlog::set_pattern(format == Format::Json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z",%v)"
                                               : "%H:%M:%S.%e %l %v");
    spdlog::set_level(kLevels[static_cast<std::size_t>(least)]);
}

std::string lineOf(Format format, Level level, std::string_view event, const Fields& fields) {
    if (format == Format::Json) {
        nlohmann::ordered_json out;
        out["level"] = kNames[static_cast<std::size_t>(level)];
        out["event"] = event;
        for (const auto& [name, value] : fields)
            std::visit([&, at = std::string(name)](const auto& one) { out[at] = one; }, value);
        // Without the opening brace: the time goes before.
        return out.dump(-1, ' ', false, json::Value::error_handler_t::replace).substr(1);
    }
    std::string out(event);
    for (const auto& [name, value] : fields) {
        out.append(" ").append(name) += "=";
        if (const auto* text = std::get_if<std::string>(&value))
            out += wordOf(*text);
        else
            std::visit(
                [&](const auto& one) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(one)>, std::string>)
                        out += json::Value(one).dump();
                },
                value);
    }
    return out;
}

bool enabled(Level level) {
    return spdlog::default_logger_raw()->should_log(kLevels[static_cast<std::size_t>(level)]);
}

void tell(Level level, std::string_view event, const Fields& fields) {
    if (!enabled(level)) return;
    spdlog::default_logger_raw()->log(kLevels[static_cast<std::size_t>(level)],
                                      spdlog::string_view_t(lineOf(formatInUse(), level, event, fields)));
}

} // namespace zincstack::log
