// A JSON reader of our own: text to a tree of values, with a bound on depth. Numbers keep their text.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "terms/malformed.h"

namespace zincstack::net {

struct Json {
    enum class Kind { Null, Truth, Number, Text, List, Object };
    Kind kind = Kind::Null;
    std::string text;               ///< of a number, a text, or `true` and `false`
    std::vector<Json> items;        ///< of a list, or an object's values
    std::vector<std::string> names; ///< of an object, beside `items`

    const Json* find(std::string_view name) const;
    /// The text of a member of that kind; null where there is none.
    const std::string* textOf(std::string_view name, Kind wanted) const;
};

/// Throws Malformed with the offset.
Json readJson(std::string_view text);

} // namespace zincstack::net
