// Parses push messages as the protocol's documentation specifies them. Shares no code with the planner, so
// that tests check its encoder independently.
#pragma once

#include <algorithm>
#include <string_view>

namespace zincstack::tests {

/// Splits the text at each `separator` and calls `handlePart` for each part, also for empty ones.
void forEachPart(std::string_view text, char separator, const auto& handlePart) {
    while (!text.empty()) {
        const auto end = text.find(separator);
        handlePart(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
}

/// Calls `handleField` with the name and the value of each word of a message. A message consists of one or
/// more `push` lines, of which all but the last have `part=1`. The word `push` itself is passed with an empty
/// value.
void forEachField(std::string_view message, const auto& handleField) {
    forEachPart(message, '\n', [&](std::string_view line) {
        if (line.ends_with('\r')) line.remove_suffix(1);
        forEachPart(line, ' ', [&](std::string_view word) {
            const auto equals = word.find('=');
            const bool hasValue = equals != std::string_view::npos;
            handleField(word.substr(0, equals), hasValue ? word.substr(equals + 1) : std::string_view{});
        });
    });
}

/// Number of elements of a comma-separated list.
inline double countElements(std::string_view list) {
    return list.empty() ? 0 : 1 + static_cast<double>(std::ranges::count(list, ','));
}

/// Number of lines of a message as the protocol counts them, without the per-message overhead.
inline double countLines(std::string_view message) {
    double lines = 0;
    forEachField(message, [&](std::string_view name, std::string_view value) {
        if (name == "rows" || name == "drop" || name == "undrop") lines += countElements(value);
        if (name == "gate" || name == "stamp" || name == "replace") lines += 1;
    });
    return lines;
}

} // namespace zincstack::tests
