// Parses the lines of the platform protocol: a message kind followed by fields of the form name=value.
//
// A message refers to its line and allocates nothing, so a line of very many fields costs no more memory than
// its text.
#pragma once

#include <algorithm>
#include <optional>
#include <string_view>

#include "planner/planner.h"

namespace zincstack::net {

/// A parsed line. Its views refer to the line, which must outlive it. The typed accessors return std::nullopt
/// if the field is missing or invalid.
struct Message {
    std::string_view kind;
    std::string_view fields; ///< the text of the fields, separated by spaces

    /// The value of the first field with this name.
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

/// Removes the first non-empty token from the text, with the separators around it, and returns it. Returns an
/// empty view if there is none.
inline std::string_view takeToken(std::string_view& text, char separator) {
    text.remove_prefix(std::min(text.find_first_not_of(separator), text.size()));
    const auto token = text.substr(0, text.find(separator));
    text.remove_prefix(std::min(token.size() + 1, text.size()));
    return token;
}

/// Splits the text at each `separator` and calls `handleToken` for each non-empty token.
template <class Handler>
void forEachToken(std::string_view text, char separator, const Handler& handleToken) {
    for (auto token = takeToken(text, separator); !token.empty(); token = takeToken(text, separator))
        handleToken(token);
}

} // namespace zincstack::net
