// Structured logging on top of spdlog: one event with its fields per line, as text or as JSON.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace zincstack::log {

enum class Format : std::uint8_t { Text, Json };
enum class Level : std::uint8_t { Debug, Info, Warn, Critical };

/// A named value. The name must outlive the field; the value is copied.
struct Field {
    template <class T>
    Field(std::string_view fieldName, const T& fieldValue) : name(fieldName), value(toValue(fieldValue)) {}

    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;

private:
    template <class T>
    static decltype(value) toValue(const T& fieldValue) {
        if constexpr (std::is_same_v<T, bool>)
            return fieldValue;
        else if constexpr (std::is_integral_v<T>)
            return static_cast<std::int64_t>(fieldValue);
        else if constexpr (std::is_floating_point_v<T>)
            return static_cast<double>(fieldValue);
        else
            return std::string(fieldValue);
    }
};
using Fields = std::vector<Field>;

/// Starts logging to standard error; events below `minLevel` are discarded. May be called again with other
/// settings.
void start(Format format, Level minLevel);
/// Whether events of this level are written.
bool enabled(Level level);
/// Logs one event.
void write(Level level, std::string_view event, const Fields& fields);

/// Takes a list instead of Fields, so that hot paths copy the fields into a vector only if the event is
/// written.
inline void debug(std::string_view event, const std::initializer_list<Field>& fields) {
    if (enabled(Level::Debug)) write(Level::Debug, event, fields);
}
inline void info(std::string_view event, const Fields& fields = {}) { write(Level::Info, event, fields); }
inline void warn(std::string_view event, const Fields& fields = {}) { write(Level::Warn, event, fields); }
inline void critical(std::string_view event, const Fields& fields = {}) {
    write(Level::Critical, event, fields);
}

/// Formats an event without its time, as `write` passes it to the sink. A JSON object has no opening brace,
/// because the sink writes the brace together with the time.
std::string formatLine(Format format, Level level, std::string_view event, const Fields& fields);

} // namespace zincstack::log
