// Which messages the proxies have not acknowledged yet, and an estimate of the lines that are still in the
// channel.
//
// Only the simulator's adapter needs the estimate: on sockets, RoutingState measures the channel exactly
// (ChannelCredit), and RoutingUpdateSink::pendingLines() takes the place of outstandingLines(). The staged
// lines and the missing acknowledgements are used with both.
//
// Owns the batches that may still be in the channel, and `stagedLines` and `unacknowledged` of each Proxy.
#pragma once

#include <deque>
#include <optional>

#include "planner/planned_table.h"

namespace zincstack {

/// Lines of the barrier that closes each message.
inline constexpr double kBarrierLines = 1;
/// Lines of a message with one update, beside its overhead.
inline constexpr double kOneUpdateLines = 1 + kBarrierLines;

/// Lines are staged in the open batch, then sent with it, and leave the channel in that order: an
/// acknowledgement of one batch proves that all earlier batches have left.
class MessageLedger {
public:
    MessageLedger(ProxyRegistry& proxies, double messageOverheadLines)
        : proxies_(proxies), messageOverheadLines_(messageOverheadLines) {}

    // -- the open batch --
    /// Adds lines to the proxy's message; the first ones bring the message's overhead.
    void stage(Proxy& proxy, double lines);
    /// Stages lines for each proxy that holds the table.
    void chargeTable(const PlannedTable& table, double lines);
    /// Stages an exclusion for the proxies with an inherited table that joined after `joinedAfter`: a table
    /// of an earlier planner surely names the endpoint, a bootstrap table with probability
    /// `bootstrapProbability`.
    void chargeInheritedTables(double bootstrapProbability, Micros joinedAfter);
    /// Sends the staged lines: they count as outstanding from now on.
    void closeBatch(BarrierId barrier, Micros now);

    // -- what happens to closed batches --
    void acknowledged(ProxyId id, BarrierId barrier);
    /// Erases the proxy from the registry. Lines that were sent to it may still be in the channel.
    void proxyLeft(ProxyId id);
    /// Drops batches that are so old that they must have left the channel.
    void expire(Micros now);

    double stagedLines() const { return stagedLines_; }
    /// Estimate of the lines that are staged or may still be in the channel.
    double outstandingLines() const;
    /// No proxy that was sent the batch owes its acknowledgement. True for no barrier and for an expired one.
    bool isAcknowledged(std::optional<BarrierId> barrier) const;

private:
    struct Batch {
        BarrierId barrier;
        Micros sentAt;
        double lines;              // that may still be in the channel
        EndpointIndex awaitedAcks; // proxies with an assigned table that have not acknowledged it
    };
    Batch* find(BarrierId barrier);

    ProxyRegistry& proxies_;
    const double messageOverheadLines_;
    double stagedLines_ = 0;
    std::deque<Batch> batches_; // oldest first
};

} // namespace zincstack
