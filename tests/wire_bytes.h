// Builds records of the simulator's wire protocol field by field, independently of the program's own encoder
// and decoder.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace zincstack::tests {

/// A sequence of fields, each in its representation in memory.
struct Bytes {
    std::vector<std::byte> bytes;
    Bytes(const auto&... fields) { (put(fields), ...); }
    void put(const auto& value) { append(&value, sizeof value); }
    void put(const std::string_view& text) {
        for (const char character : text) put(character);
    }
    void put(const Bytes& fields) { append(fields.bytes.data(), fields.bytes.size()); }
    /// Appends a complete record: code, length in bytes and fields.
    Bytes& record(std::uint8_t code, const Bytes& fields) {
        put(code);
        put(static_cast<std::uint32_t>(fields.bytes.size()));
        put(fields);
        return *this;
    }

private:
    void append(const void* from, std::size_t size) {
        if (size == 0) return;
        const std::size_t before = bytes.size();
        bytes.resize(before + size);
        std::memcpy(bytes.data() + before, from, size);
    }
};

} // namespace zincstack::tests
