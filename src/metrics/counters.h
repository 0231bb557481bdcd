// Counters of the input received and ignored and of the output sent. Logged on SIGUSR1 and at exit.
#pragma once

#include <array>
#include <cassert>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace zincstack::net {

/// The counters in the order in which they are logged. The value of Sentinel is their number.
enum class Counter : std::uint8_t {
    Accepted,
    Closed,
    RefusedFull,
    RefusedStranger,
    Unreadable,
    BytesIn,
    BytesOut,
    LinesIn,
    ProbesAnswered,
    Agents,
    Hellos,
    Takeovers,
    StreamsEnded,
    Acks,
    Outcomes,
    Demands,
    ListsWhole,
    ListsChanged,
    ListsFailed,
    Reloads,
    ReloadsFailed,
    ReloadsLate,
    ProbesSent,
    ProbesOk,
    ProbesError,
    ProbesRejected,
    ProbesTimedOut,
    ProbesUnreachable,
    ProbesBroken,
    Batches,
    LateBatches,
    Messages,
    Parts,
    OrderLines,
    Resyncs,
    BadLine,
    BadKind,
    BadField,
    BadName,
    BadMark,
    OutOfPlace,
    Stale,
    TooLong,
    NoRoom,
    BadEntry,
    Subscriptions,
    Snapshots,
    Lags,
    Stuck,
    LetGo,
    FramesIn,
    FramesOut,
    FramesEncoded,
    FramesSkipped,
    BadFrames,
    BrokenInvariant,
    Sentinel
};
/// The name under which the counter is logged.
std::string_view nameOf(Counter counter);

/// The values of all counters.
class Counters {
public:
    void add(Counter counter, std::uint64_t amount = 1) { values_[indexOf(counter)] += amount; }
    std::uint64_t of(Counter counter) const { return values_[indexOf(counter)]; }
    /// Counts an ignored input and logs it with `detail`, at most once per second and counter.
    void recordIgnored(Counter counter, std::string_view detail);
    /// Asserts the condition in debug builds. In release builds a violation is counted and logged.
    void checkInvariant(bool holds) {
        assert(holds);
        if (!holds) recordIgnored(Counter::BrokenInvariant, "");
    }
    /// The names and values of the counters that are not zero.
    std::vector<std::pair<std::string_view, std::uint64_t>> all() const;

private:
    static constexpr std::size_t kSize = static_cast<std::size_t>(Counter::Sentinel);
    static constexpr std::size_t indexOf(Counter counter) { return static_cast<std::size_t>(counter); }

    std::array<std::uint64_t, kSize> values_{};
    std::array<std::chrono::steady_clock::time_point, kSize> lastLoggedAt_{};
};

} // namespace zincstack::net
