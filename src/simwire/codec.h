// Byte-level reading and writing of the simulator's frames: bounds, finiteness and field names, no meaning.
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "errors/input_error.h"
#include "planner/planner.h"

namespace zincstack::simwire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian, and so is this code");

inline constexpr std::size_t kBatchHeaderBytes = 16;
inline constexpr std::size_t kRecordHeaderBytes = 5;

struct BatchHeader {
    std::uint32_t records = 0;
    std::uint32_t bytes = 0;
    Micros clock{};
};

/// Reads the fields of one record in order; every fault names the record, the field and the offset.
class FieldReader {
public:
    FieldReader(std::string_view record, std::span<const std::byte> fields, std::size_t offset)
        : record_(record), rest_(fields), offset_(offset) {}

    template <class T>
    requires std::is_integral_v<T> T whole(std::string_view field) {
        T out{};
        std::memcpy(&out, take(field, sizeof out).data(), sizeof out);
        return out;
    }
    double number(std::string_view field);
    double shortNumber(std::string_view field);
    Micros time(std::string_view field) { return toMicros(number(field), field); }
    bool flag(std::string_view field);
    EndpointId server(std::string_view field);
    std::span<const std::byte> bytes(std::string_view field, std::size_t size) { return take(field, size); }
    std::size_t left() const { return rest_.size(); }
    std::size_t offset() const { return offset_; }
    void done() const;
    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

private:
    std::span<const std::byte> take(std::string_view field, std::size_t size);
    Micros toMicros(double seconds, std::string_view field) const;

    std::string_view record_;
    std::span<const std::byte> rest_;
    std::size_t offset_;
};

BatchHeader readBatchHeader(std::span<const std::byte> bytes);

/// Builds a reply: records of actions behind a length.
class ReplyWriter {
public:
    ReplyWriter() { clear(); }
    void clear() { bytes_.assign(sizeof(std::uint32_t), std::byte{0}); }

    /// Writes one record; its length is filled in from the fields given.
    template <class... Fields>
    void record(std::uint8_t code, const Fields&... fields) {
        put(code);
        const std::size_t at = bytes_.size();
        put(std::uint32_t{0});
        (put(fields), ...);
        const auto size = static_cast<std::uint32_t>(bytes_.size() - at - sizeof(std::uint32_t));
        std::memcpy(bytes_.data() + at, &size, sizeof size);
    }
    std::span<const std::byte> finish();

private:
    template <class T>
    requires std::is_arithmetic_v<T>
    void put(const T& value) {
        if constexpr (std::is_floating_point_v<T>)
            if (!std::isfinite(value) || value < 0) throw std::range_error("a number below 0 or not finite");
        raw(&value, sizeof value);
    }
    void put(const EndpointId& server) { raw(&server.value, 6); }
    void put(std::string_view text);
    void raw(const void* from, std::size_t size) {
        const auto* first = static_cast<const std::byte*>(from);
        bytes_.insert(bytes_.end(), first, first + size);
    }

    std::vector<std::byte> bytes_;
};

} // namespace zincstack::simwire
