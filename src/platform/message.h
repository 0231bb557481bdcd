// Parses the lines of the platform protocol: a kind of message, and fields of the form name=value.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace zincstack::net {

/// Refers to the line that it was parsed from. The typed accessors return none if the field is missing or invalid.
struct Message {
    struct Field {
        std::string_view name;
        std::string_view value;
    };
    std::string_view kind;
    std::vector<Field> fields;

    std::optional<std::string_view> find(std::string_view name) const;
    std::optional<double> number(std::string_view name) const; ///< finite and not negative
    std::optional<std::uint32_t> count(std::string_view name, std::uint32_t max) const;
    std::optional<Micros> millis(std::string_view name) const;
    std::optional<bool> flag(std::string_view name) const; ///< 0 or 1
};

/// None if the line is empty or a field has no name or no '='.
std::optional<Message> parseMessage(std::string_view line);

/// None unless all of the text is one finite number that is not negative.
std::optional<double> parseNumber(std::string_view text);

/// Splits at `separator` and calls `handlePart` for each part that is not empty.
template <class Handler>
void eachPart(std::string_view text, char separator, const Handler& handlePart) {
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (const auto part = text.substr(0, end); !part.empty()) handlePart(part);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
}

} // namespace zincstack::net
