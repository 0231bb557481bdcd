// Recorded traces of txns, in and out: as CSV or as JSON lines, plain or compressed by zstd. No I/O: text in,
// text out.
//
//   at_us,product,caller          {"at_us":0,"product":"lookup","caller":17}
//   0,lookup,17
//
// Times are whole microseconds from the start of the trace; equal ones are kept in their order, backward ones are
// faults. The caller is a number of any meaning; txns of one caller belong together.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

struct Recorded {
    Micros at;
    RequestClassId product;
    std::uint64_t caller = 0;
    friend bool operator==(const Recorded&, const Recorded&) = default;
};
struct TraceFault {
    std::size_t line; ///< from 1; 0: the whole text
    std::string what;
};
struct Trace {
    std::vector<Recorded> txns;
    std::vector<TraceFault> faults; ///< the first of them; where there is one, the trace is not to be played
};
enum class TraceForm : std::uint8_t { Csv, JsonLines };

inline constexpr Micros kTraceMost = std::chrono::hours(48);        ///< the latest time of a txn
inline constexpr std::size_t kTraceTextMost = std::size_t{1} << 30; ///< bytes of a text, unpacked

/// Reads a trace of either form, compressed or not, as its first bytes tell. Each line that can't be used is a
/// fault, up to `faultsMost`, and reading goes on after it.
Trace readTrace(std::string_view text, const std::vector<std::string>& products, std::size_t faultsMost = 20);
std::string writeTrace(const std::vector<Recorded>& txns, const std::vector<std::string>& products,
                       TraceForm form, bool compressed);

} // namespace zincstack::load
