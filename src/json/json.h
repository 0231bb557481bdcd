// JSON and CBOR as trees, read by nlohmann-json with a bound on depth, and how to ask a tree for what it may not
// hold.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

#include "errors/input_error.h"

namespace zincstack::json {

using Value = nlohmann::json;

/// Throws InputError with the offset where the text is no JSON or deeper than `depthMost`.
Value read(std::string_view text, int depthMost = 32);
/// Null where the bytes are no CBOR, go on after it, or are deeper than `depthMost`.
Value readCbor(std::string_view bytes, int depthMost);
std::string writeCbor(const Value& value);

/// A member of an object; null where there is none, or where it is no object.
const Value& member(const Value& of, const char* name);
/// The text of a member; null pointer where it is missing or no text.
const std::string* textOf(const Value& of, const char* name);

} // namespace zincstack::json
