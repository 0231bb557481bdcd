// What the planner has taken in, sent and answered, and what it passed over; printed on request and at exit.
#pragma once

#include <array>
#include <cassert>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace zincstack::net {

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
    End_
};
std::string_view nameOf(Counter what);

class Counters {
public:
    void add(Counter what, std::uint64_t many = 1) { all_[static_cast<std::size_t>(what)] += many; }
    std::uint64_t of(Counter what) const { return all_[static_cast<std::size_t>(what)]; }
    /// Counts what was passed over; at most one log line a second tells of each kind.
    void recordIgnored(Counter what, std::string_view detail);
    /// Asserted in debug builds, counted in release builds.
    void checkInvariant(bool truth) {
        assert(truth);
        if (!truth) recordIgnored(Counter::BrokenInvariant, "");
    }
    /// All that are not zero, by name.
    std::vector<std::pair<std::string_view, std::uint64_t>> all() const;

private:
    static constexpr std::size_t kSize = static_cast<std::size_t>(Counter::End_);
    std::array<std::uint64_t, kSize> all_{};
    std::array<std::chrono::steady_clock::time_point, kSize> toldAt_{};
};

} // namespace zincstack::net
