// Byte-level encoding and decoding of the simulator's batches and replies. Checks bounds and that numbers are
// finite, and names the faulty field in errors. Does not interpret the fields.
//
// A batch is a header of 16 bytes followed by records. A record is a code, a length and its fields. A reply
// is a length followed by records. Numbers are little-endian. Times are floating-point seconds.
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

static_assert(std::endian::native == std::endian::little,
              "the wire format is little-endian and is copied without byte swapping");

inline constexpr std::size_t kBatchHeaderBytes = 16;
inline constexpr std::size_t kRecordHeaderBytes = 5; // code and length
inline constexpr std::size_t kEndpointBytes = 6;     // IPv4 address and port, the low bytes of an EndpointId

/// Header of a batch.
struct BatchHeader {
    std::uint32_t records = 0; ///< number of records
    std::uint32_t bytes = 0;   ///< total size of the records
    Micros clock{};            ///< simulated time of the batch
};

/// Reads the fields of one record in order. Throws InputError if a field is malformed or missing; the message
/// names the record, the field and the offset. The memory behind `record` and `fields` must outlive the
/// reader.
class FieldReader {
public:
    /// `offset`: position of the first field, counted from the start of the batch.
    FieldReader(std::string_view record, std::span<const std::byte> fields, std::size_t offset)
        : record_(record), rest_(fields), offset_(offset) {}

    template <class T>
        requires std::is_integral_v<T>
    T integer(std::string_view field) {
        T out{};
        std::memcpy(&out, take(field, sizeof out).data(), sizeof out);
        return out;
    }
    /// Throws InputError unless the number is finite; float32() does the same.
    double float64(std::string_view field);
    double float32(std::string_view field);
    /// A 64-bit number of seconds, rounded to whole microseconds.
    Micros duration(std::string_view field) { return toMicros(float64(field), field); }
    /// One byte that must be 0 or 1.
    bool boolean(std::string_view field);
    EndpointId endpoint(std::string_view field);
    std::span<const std::byte> bytes(std::string_view field, std::size_t size) { return take(field, size); }
    std::size_t remaining() const { return rest_.size(); }
    /// Throws InputError if bytes are left after the last field.
    void expectEnd() const;
    /// Throws InputError for this field at the current offset.
    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

private:
    std::span<const std::byte> take(std::string_view field, std::size_t size);
    Micros toMicros(double seconds, std::string_view field) const;

    std::string_view record_;
    std::span<const std::byte> rest_;
    std::size_t offset_;
};

/// Decodes a batch header. Throws InputError if it is malformed.
BatchHeader readBatchHeader(std::span<const std::byte> bytes);

/// Builds a reply: its length in bytes, followed by the records of actions.
class ReplyWriter {
public:
    ReplyWriter() { clear(); }
    /// Starts a new, empty reply.
    void clear() { bytes_.assign(sizeof(std::uint32_t), std::byte{0}); }

    /// Appends one record and sets its length from the given fields. Throws std::range_error if a
    /// floating-point field is negative or not finite.
    template <class... Fields>
    void record(ActionCode code, const Fields&... fields) {
        put(static_cast<std::uint8_t>(code));
        const std::size_t lengthAt = bytes_.size();
        put(std::uint32_t{0});
        (put(fields), ...);
        const auto size = static_cast<std::uint32_t>(bytes_.size() - lengthAt - sizeof(std::uint32_t));
        std::memcpy(bytes_.data() + lengthAt, &size, sizeof size);
    }
    /// Sets the length of the reply and returns its bytes, valid until the next clear() or record().
    std::span<const std::byte> finish();

private:
    template <class T>
        requires std::is_arithmetic_v<T>
    void put(const T& value) {
        if constexpr (std::is_floating_point_v<T>)
            if (!std::isfinite(value) || value < 0)
                throw std::range_error("number in a reply is negative or not finite");
        append(&value, sizeof value);
    }
    void put(const EndpointId& endpoint) { append(&endpoint.value, kEndpointBytes); }
    /// Writes a 16-bit length and the text, which is truncated to 65535 bytes.
    void put(std::string_view text);
    void append(const void* from, std::size_t size) {
        const auto* first = static_cast<const std::byte*>(from);
        bytes_.insert(bytes_.end(), first, first + size);
    }

    std::vector<std::byte> bytes_;
};

} // namespace zincstack::simwire
