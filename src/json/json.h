// Parses JSON and CBOR into nlohmann-json trees of limited depth, and gives access to optional members.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

#include "errors/input_error.h"

namespace zincstack::json {

using Value = nlohmann::json;

inline constexpr int kMaxTextDepth = 32; ///< more levels than any valid file or message has

/// Parses JSON. Throws InputError if the text is nested deeper than `maxDepth` or is not valid JSON; in the
/// latter case the message has the offset.
Value read(std::string_view text, int maxDepth = kMaxTextDepth);
/// Parses CBOR. Returns null if the bytes are not valid CBOR, have trailing bytes, or are nested deeper than
/// `maxDepth`.
Value readCbor(std::string_view bytes, int maxDepth);
std::string writeCbor(const Value& value);

/// Returns a member of an object; null if the member is absent or `object` is not an object.
const Value& member(const Value& object, const char* name);
/// Returns the text of a member; a null pointer if the member is absent or not a string.
const std::string* textOf(const Value& object, const char* name);

} // namespace zincstack::json
