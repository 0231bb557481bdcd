// Byte-level reading and writing of the simulator's frames: bounds, finiteness and field names, no meaning.
//
// A batch is a header of 16 bytes and its records; a record is a code, a length and its fields; a reply is a length
// and its records. Numbers are little-endian, times are seconds as floating-point numbers.
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
#include "simwire/event_codes.h"

namespace zincstack::simwire {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian, and so is this code");

inline constexpr std::size_t kBatchHeaderBytes = 16;
inline constexpr std::size_t kRecordHeaderBytes = 5; // code and length
inline constexpr std::size_t kEndpointBytes = 6;     // IPv4 address and port, the low bytes of an EndpointId

struct BatchHeader {
    std::uint32_t records = 0;
    std::uint32_t bytes = 0; ///< of all records
    Micros clock{};
};

/// Reads the fields of one record in order. Throws InputError on a fault, naming the record, the field and the offset.
/// `record` and `fields` must outlive the reader's use of the fields.
class FieldReader {
public:
    /// `offset`: where the fields begin, from the start of the batch.
    FieldReader(std::string_view record, std::span<const std::byte> fields, std::size_t offset)
        : record_(record), rest_(fields), offset_(offset) {}

    template <class T>
        requires std::is_integral_v<T>
    T integer(std::string_view field) {
        T out{};
        std::memcpy(&out, take(field, sizeof out).data(), sizeof out);
        return out;
    }
    double float64(std::string_view field);
    double float32(std::string_view field);
    Micros duration(std::string_view field) { return toMicros(float64(field), field); }
    bool boolean(std::string_view field);
    EndpointId endpoint(std::string_view field);
    std::span<const std::byte> bytes(std::string_view field, std::size_t size) { return take(field, size); }
    std::size_t remaining() const { return rest_.size(); }
    /// Throws if fields are left over.
    void expectEnd() const;
    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

private:
    std::span<const std::byte> take(std::string_view field, std::size_t size);
    Micros toMicros(double seconds, std::string_view field) const;

    std::string_view record_;
    std::span<const std::byte> rest_;
    std::size_t offset_;
};

/// Throws InputError where the bytes are no header.
BatchHeader readBatchHeader(std::span<const std::byte> bytes);

/// Builds a reply: records of actions after their length.
class ReplyWriter {
public:
    ReplyWriter() { clear(); }
    void clear() { bytes_.assign(sizeof(std::uint32_t), std::byte{0}); }

    /// Writes one record; its length is filled in from the fields given. Throws std::range_error on a number that is
    /// negative or not finite.
    template <class... Fields>
    void record(ActionCode code, const Fields&... fields) {
        put(static_cast<std::uint8_t>(code));
        const std::size_t lengthAt = bytes_.size();
        put(std::uint32_t{0});
        (put(fields), ...);
        const auto size = static_cast<std::uint32_t>(bytes_.size() - lengthAt - sizeof(std::uint32_t));
        std::memcpy(bytes_.data() + lengthAt, &size, sizeof size);
    }
    /// The reply, valid until the next change.
    std::span<const std::byte> finish();

private:
    template <class T>
        requires std::is_arithmetic_v<T>
    void put(const T& value) {
        if constexpr (std::is_floating_point_v<T>)
            if (!std::isfinite(value) || value < 0) throw std::range_error("a number below 0 or not finite");
        append(&value, sizeof value);
    }
    void put(const EndpointId& endpoint) { append(&endpoint.value, kEndpointBytes); }
    void put(std::string_view text);
    void append(const void* from, std::size_t size) {
        const auto* first = static_cast<const std::byte*>(from);
        bytes_.insert(bytes_.end(), first, first + size);
    }

    std::vector<std::byte> bytes_;
};

} // namespace zincstack::simwire
