// Builds records of the simulator's wire, field by field, without the code that the program reads and writes them with.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace zincstack::tests {

/// Fields one after another, each as it lies in memory.
struct Bytes {
    std::vector<std::byte> all;
    Bytes(const auto&... fields) { (put(fields), ...); }
    void put(const auto& value) { append(&value, sizeof value); }
    void put(const std::string_view& text) {
        for (const char character : text) put(character);
    }
    void put(const Bytes& fields) { append(fields.all.data(), fields.all.size()); }
    /// A whole record: code, length and fields.
    Bytes& record(std::uint8_t code, const Bytes& fields) {
        put(code);
        put(static_cast<std::uint32_t>(fields.all.size()));
        put(fields);
        return *this;
    }

private:
    void append(const void* from, std::size_t size) {
        if (size == 0) return;
        const std::size_t before = all.size();
        all.resize(before + size);
        std::memcpy(all.data() + before, from, size);
    }
};

} // namespace zincstack::tests
