// Recorded traces of requests, read and written: as CSV or as JSON lines, plain or compressed with zstd. No I/O: text
// in, text out.
//
//   at_us,product,caller          {"at_us":0,"product":"lookup","caller":17}
//   0,lookup,17
//
// Times are whole microseconds from the start of the trace; equal ones are kept in their order, backward ones are
// errors. `product` names the request class. The caller is a number of any meaning; requests of one caller belong
// together.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

struct RecordedRequest {
    Micros at;
    RequestClassId requestClass;
    std::uint64_t caller = 0;
    friend bool operator==(const RecordedRequest&, const RecordedRequest&) = default;
};
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
struct TraceError {
    TraceErrorKind kind;
    std::size_t line; ///< from 1; 0: the whole text
    std::string what;
};
struct Trace {
    std::vector<RecordedRequest> requests;
    std::vector<TraceError> errors; ///< the first of them; where there is one, the trace is not to be played
};
enum class TraceFormat : std::uint8_t { Csv, JsonLines };

inline constexpr Micros kMaxTraceTime = std::chrono::hours(48);         ///< the latest time of a request
inline constexpr std::size_t kMaxTraceTextBytes = std::size_t{1} << 30; ///< of a text, decompressed

/// Reads a trace of either format, compressed or not, as its first bytes tell. Each line that can't be used is an
/// error, up to `maxErrors`, and reading goes on after it. `classNames` are in the order of RequestClassId.
Trace readTrace(std::string_view text, const std::vector<std::string>& classNames,
                std::size_t maxErrors = 20);
std::string writeTrace(const std::vector<RecordedRequest>& requests,
                       const std::vector<std::string>& classNames, TraceFormat format, bool compressed);

} // namespace zincstack::load
