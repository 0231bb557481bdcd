// zstd compression and decompression of a complete text in memory.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zincstack::load {

/// Whether the text begins with the magic number of a zstd frame (RFC 8878).
bool isCompressed(std::string_view text);
/// Compresses the text into one zstd frame.
std::string compress(std::string_view text);
/// Returns std::nullopt if the input is truncated or corrupt, or if the output would exceed `maxBytes`.
/// Decompresses in chunks, so that `maxBytes` bounds the memory.
std::optional<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace zincstack::load
