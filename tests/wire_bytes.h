// Builds records of the simulator's wire, field by field.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace zincstack::tests {

struct Bytes {
    std::vector<std::byte> all;
    Bytes(const auto&... fields) { (put(fields), ...); }
    void put(const auto& value) {
        const auto* from = reinterpret_cast<const std::byte*>(&value);
        all.insert(all.end(), from, from + sizeof value);
    }
    void put(const std::string_view& text) {
        for (const char one : text) put(one);
    }
    Bytes& record(std::uint8_t code, const Bytes& fields) {
        put(code), put(static_cast<std::uint32_t>(fields.all.size()));
        all.insert(all.end(), fields.all.begin(), fields.all.end());
        return *this;
    }
};

} // namespace zincstack::tests
