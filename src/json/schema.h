// Validates a JSON tree against a JSON schema (draft 7), by valijson.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "json/json.h"

namespace zincstack::json {

struct ValidationError {
    std::string pointer; ///< JSON pointer of the value; empty: the whole document
    std::string message;
};

/// All errors of the tree, sorted by place; empty if it is valid. The schema is the program's own and must be valid.
std::vector<ValidationError> validate(const Value& value, std::string_view schema);

} // namespace zincstack::json
