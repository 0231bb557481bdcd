// Holds a tree against a JSON schema (draft 7), by valijson, and tells every fault by its place.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "json/json.h"

namespace zincstack::json {

struct Fault {
    std::string pointer; ///< JSON pointer of the value; empty: the whole document
    std::string what;
};
/// The faults of the tree, by place; none: it is sound. The schema is the program's own.
std::vector<Fault> faultsOf(const Value& value, std::string_view schema);

} // namespace zincstack::json
