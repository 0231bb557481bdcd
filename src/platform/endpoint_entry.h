// Reads the entries of an endpoint list as service discovery sends them.
#pragma once

#include <string_view>
#include <variant>

#include "planner/planner.h"
#include "routing/name_registry.h"
#include "json/json.h"

namespace zincstack::net {

/// One valid entry. Its views refer to the JSON value.
struct EndpointEntry {
    std::string_view name;
    std::string_view address; ///< empty if not stated, as for a removed endpoint
    EndpointUpdate update;    ///< all but the id, which the name is to be registered for
};

/// The first field that is missing or has an invalid value.
struct InvalidField {
    std::string_view name;
};

/// A removed endpoint needs no more than its name and phase.
std::variant<EndpointEntry, InvalidField> parseEndpointEntry(const json::Value& member,
                                                             const NameRegistry& names);

} // namespace zincstack::net
