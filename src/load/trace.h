// Reads and writes recorded traces of requests, as CSV or JSON lines, plain or compressed with zstd. No I/O:
// input and output are texts in memory.
//
//   at_us,product,caller          {"at_us":0,"product":"lookup","caller":17}
//   0,lookup,17
//
// Times are whole microseconds from the start of the trace. Requests with equal times keep their order; a
// time earlier than the previous one is an error. `product` names the request class. `caller` is an arbitrary
// number; requests with the same number come from the same caller.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

/// One request of a trace.
struct RecordedRequest {
    Micros at; ///< from the start of the trace
    RequestClassId requestClass;
    std::uint64_t caller = 0;
    friend bool operator==(const RecordedRequest&, const RecordedRequest&) = default;
};
/// What is wrong with a trace or one of its lines.
enum class TraceErrorKind : std::uint8_t {
    NotDecompressible,
    Empty,
    LineTooLong,
    InvalidSyntax,
    BadTime,
    TimeBackwards,
    UnknownClass,
    BadCaller,
};
/// An error in a trace and its line number.
struct TraceError {
    TraceErrorKind kind;
    std::size_t line; ///< from 1; 0: the text as a whole
    std::string what;
};
/// The result of reading a trace.
struct Trace {
    std::vector<RecordedRequest> requests;
    /// The first `maxErrors` errors. If there is any, the trace must not be replayed.
    std::vector<TraceError> errors;
};
enum class TraceFormat : std::uint8_t { Csv, JsonLines };

/// The maximum time of a request.
inline constexpr Micros kMaxTraceTime = std::chrono::hours(48);
/// The maximum size of a text after decompression.
inline constexpr std::size_t kMaxTraceTextBytes = std::size_t{1} << 30;

/// Reads a trace; its first bytes determine the format and whether it is compressed. An invalid line is
/// recorded as an error, up to `maxErrors`, and reading continues with the next line. `classNames` are in the
/// order of RequestClassId.
Trace readTrace(std::string_view text, const std::vector<std::string>& classNames,
                std::size_t maxErrors = 20);
/// Writes a trace that `readTrace` can read.
std::string writeTrace(const std::vector<RecordedRequest>& requests,
                       const std::vector<std::string>& classNames, TraceFormat format, bool compressed);

} // namespace zincstack::load
