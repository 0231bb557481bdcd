// JSON and CBOR as trees of nlohmann-json, parsed with a bound on depth, and access to members that may be absent.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

#include "errors/input_error.h"

namespace zincstack::json {

using Value = nlohmann::json;

inline constexpr int kMaxTextDepth = 32; ///< deeper than any file or message of the planner

/// Parses JSON. Throws InputError with the offset where the text is no JSON or deeper than `maxDepth`.
Value read(std::string_view text, int maxDepth = kMaxTextDepth);
/// Parses CBOR. Null where the bytes are no CBOR, go on after it, or are deeper than `maxDepth`.
Value readCbor(std::string_view bytes, int maxDepth);
std::string writeCbor(const Value& value);

/// A member of an object; null where there is none, or where `object` is no object.
const Value& member(const Value& object, const char* name);
/// The text of a member; null pointer where it is missing or no text.
const std::string* textOf(const Value& object, const char* name);

} // namespace zincstack::json
