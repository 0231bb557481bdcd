// Validates a JSON tree against a JSON schema (draft 7), using valijson.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "json/json.h"

namespace zincstack::json {

/// One violation of a schema.
struct ValidationError {
    std::string pointer; ///< JSON pointer of the value; empty for the whole document
    std::string message;
};

/// Returns all errors of the tree, sorted by JSON pointer; empty if it is valid. The schema itself must be
/// valid: it is part of the program.
std::vector<ValidationError> validate(const Value& value, std::string_view schema);

} // namespace zincstack::json
