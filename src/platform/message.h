// One line of the planner's protocol: a kind and words of the form name=value. Views into the line.
#pragma once

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack::net {

struct Message {
    std::string_view kind;
    std::vector<std::pair<std::string_view, std::string_view>> words;

    /// The value of a word; none where it is missing.
    std::optional<std::string_view> find(std::string_view name) const;
    std::optional<double> number(std::string_view name) const; ///< finite and not below 0
    std::optional<std::uint32_t> count(std::string_view name, std::uint32_t most) const;
    std::optional<Micros> millis(std::string_view name) const;
    std::optional<bool> flag(std::string_view name) const;
};

/// None where a word has no '=', or the line no kind.
std::optional<Message> parseMessage(std::string_view line);

std::optional<double> parseNumber(std::string_view text);

/// Splits at `separator`, calling `part` with each piece that is not empty.
template <class Call>
void eachPart(std::string_view text, char separator, const Call& part) {
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (const auto piece = text.substr(0, end); !piece.empty()) part(piece);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
}

} // namespace zincstack::net
