// zstd compression of a whole text in memory.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zincstack::load {

/// Whether the text begins as zstd's frames do (RFC 8878).
bool isCompressed(std::string_view text);
std::string compress(std::string_view text);
/// None: it is cut off or damaged, or larger than `maxBytes` once decompressed. It is decompressed in pieces, so that
/// memory stays bounded by `maxBytes`.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace zincstack::load
