#include "simwire/codec.h"

#include <algorithm>
#include <limits>

namespace zincstack::simwire {

namespace {

constexpr double kMaxSeconds = 4e9; // over a century; as microseconds it is far below the range of Micros
constexpr double kMicrosPerSecond = 1e6;

} // namespace

void FieldReader::fail(std::string_view field, std::string_view what) const {
    throw InputError(std::string(record_) + "." + std::string(field) + " at offset " +
                     std::to_string(offset_) + ": " + std::string(what));
}

std::span<const std::byte> FieldReader::take(std::string_view field, std::size_t size) {
    if (size > rest_.size())
        fail(field, "needs " + std::to_string(size) + " bytes, " + std::to_string(rest_.size()) + " left");
    const auto out = rest_.first(size);
    rest_ = rest_.subspan(size);
    offset_ += size;
    return out;
}

double FieldReader::float64(std::string_view field) {
    double out{};
    std::memcpy(&out, take(field, sizeof out).data(), sizeof out);
    if (!std::isfinite(out)) fail(field, "expected a finite number, got " + std::to_string(out));
    return out;
}

double FieldReader::float32(std::string_view field) {
    float out{};
    std::memcpy(&out, take(field, sizeof out).data(), sizeof out);
    if (!std::isfinite(out)) fail(field, "expected a finite number, got " + std::to_string(out));
    return static_cast<double>(out);
}

bool FieldReader::boolean(std::string_view field) {
    const auto value = integer<std::uint8_t>(field);
    if (value > 1) fail(field, "expected 0 or 1, got " + std::to_string(value));
    return value == 1;
}

EndpointId FieldReader::endpoint(std::string_view field) {
    EndpointId out;
    std::memcpy(&out.value, take(field, kEndpointBytes).data(), kEndpointBytes);
    return out;
}

Micros FieldReader::toMicros(double seconds, std::string_view field) const {
    if (std::abs(seconds) > kMaxSeconds) fail(field, "time out of range: " + std::to_string(seconds) + " s");
    return Micros(std::llround(seconds * kMicrosPerSecond));
}

void FieldReader::expectEnd() const {
    if (!rest_.empty()) fail("end", std::to_string(rest_.size()) + " unexpected bytes after the last field");
}

BatchHeader readBatchHeader(std::span<const std::byte> bytes) {
    FieldReader reader("batch", bytes, 0);
    BatchHeader header;
    header.records = reader.integer<std::uint32_t>("records");
    header.bytes = reader.integer<std::uint32_t>("length");
    header.clock = reader.duration("clock");
    return header;
}

void ReplyWriter::put(std::string_view text) {
    const auto size = static_cast<std::uint16_t>(
        std::min<std::size_t>(text.size(), std::numeric_limits<std::uint16_t>::max()));
    put(size);
    append(text.data(), size);
}

std::span<const std::byte> ReplyWriter::finish() {
    const auto size = static_cast<std::uint32_t>(bytes_.size() - sizeof(std::uint32_t));
    std::memcpy(bytes_.data(), &size, sizeof size);
    return bytes_;
}

} // namespace zincstack::simwire
