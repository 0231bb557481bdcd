// The program's log: events with fields rather than sentences, one a line, as text or as JSON. On spdlog.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zincstack::log {

enum class Format : std::uint8_t { Text, Json };
enum class Level : std::uint8_t { Debug, Info, Warn, Critical };

struct Field {
    template <class T>
    Field(std::string_view itsName, const T& its) : name(itsName), value(plain(its)) {}
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;

private:
    template <class T>
    static decltype(value) plain(const T& its) {
        if constexpr (std::is_same_v<T, bool>)
            return its;
        else if constexpr (std::is_integral_v<T>)
            return static_cast<std::int64_t>(its);
        else if constexpr (std::is_floating_point_v<T>)
            return static_cast<double>(its);
        else
            return std::string(its);
    }
};
using Fields = std::vector<Field>;

/// To standard error from now on; what is below the level is left out. May be called again.
void start(Format format, Level least);
void tell(Level level, std::string_view event, const Fields& fields);
/// Whether what has that level is written at all.
bool enabled(Level level);
inline void info(std::string_view event, const Fields& fields = {}) { tell(Level::Info, event, fields); }
/// Its fields are copied only where they are written: it stands on hot paths.
inline void debug(std::string_view event, const std::initializer_list<Field>& fields) {
    if (enabled(Level::Debug)) tell(Level::Debug, event, fields);
}
inline void warn(std::string_view event, const Fields& fields = {}) { tell(Level::Warn, event, fields); }
inline void critical(std::string_view event, const Fields& fields = {}) {
    tell(Level::Critical, event, fields);
}

/// One line without its time: what `tell` writes, for tests and for other sinks. JSON has it all but the time.
std::string lineOf(Format format, Level level, std::string_view event, const Fields& fields);

} // namespace zincstack::log
