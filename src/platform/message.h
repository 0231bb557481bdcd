// Parses the lines of the platform protocol: a message kind followed by fields of the form name=value.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace zincstack::net {

/// A parsed line. Its views refer to the line, which must outlive it. The typed accessors return std::nullopt
/// if the field is missing or invalid.
struct Message {
    struct Field {
        std::string_view name;
        std::string_view value;
    };
    std::string_view kind;
    std::vector<Field> fields;

    std::optional<std::string_view> find(std::string_view name) const;
    /// A finite, non-negative number.
    std::optional<double> number(std::string_view name) const;
    /// An integer from 0 to `max`.
    std::optional<std::uint32_t> count(std::string_view name, std::uint32_t max) const;
    /// A duration that the field states in milliseconds, with or without a fraction.
    std::optional<Micros> millis(std::string_view name) const;
    /// 0 or 1.
    std::optional<bool> flag(std::string_view name) const;
};

/// Returns std::nullopt if the line contains no word, or if a field has no name or no '='.
std::optional<Message> parseMessage(std::string_view line);

/// Returns std::nullopt unless the complete text is one finite, non-negative number.
std::optional<double> parseNumber(std::string_view text);

/// Splits the text at each `separator` and calls `handleToken` for each non-empty token.
template <class Handler>
void forEachToken(std::string_view text, char separator, const Handler& handleToken) {
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (const auto token = text.substr(0, end); !token.empty()) handleToken(token);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
}

} // namespace zincstack::net
