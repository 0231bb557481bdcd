// Parses the entries of an endpoint list in the format of service discovery.
#pragma once

#include <string_view>
#include <variant>

#include "planner/planner.h"
#include "routing/name_registry.h"
#include "json/json.h"

namespace zincstack::net {

/// A valid entry. Its views refer to the JSON value, which must outlive it.
struct EndpointEntry {
    std::string_view name;
    std::string_view address; ///< empty if `host_port` is missing, as it may be for a removed endpoint
    EndpointUpdate update;    ///< without the id: the caller registers the name to obtain it
};

/// The first field that is missing or has an invalid value.
struct InvalidField {
    std::string_view name;
};

/// Parses one element of the list. Only the id and the phase are required of a removed endpoint. A `locality`
/// that is missing or unknown is valid for it too; the numeric fields must be valid if present.
std::variant<EndpointEntry, InvalidField> parseEndpointEntry(const json::Value& member,
                                                             const NameRegistry& names);

} // namespace zincstack::net
