// Tracks the messages that proxies have not acknowledged yet, and estimates the lines that are still in the
// control channel.
//
// Only the simulator's adapter needs the estimate: in the network daemon, RoutingState measures the channel
// exactly (ChannelCredit), and RoutingUpdateSink::pendingLines() replaces outstandingLines(). The staged
// lines and the outstanding acknowledgements are used with both.
//
// Owns the batches that may still be in the channel, and `stagedLines` and `unacknowledged` of each Proxy.
#pragma once

#include <deque>
#include <optional>

#include "planner/planned_table.h"

namespace zincstack {

/// Lines of the barrier that closes each message.
inline constexpr double kBarrierLines = 1;
/// Lines of a message with one update and its barrier, without its overhead.
inline constexpr double kOneUpdateLines = 1 + kBarrierLines;

/// Lines are staged in the open batch, are sent with it, and leave the channel in that order: the
/// acknowledgement of a batch proves that all earlier batches have left the channel.
class MessageLedger {
public:
    MessageLedger(ProxyRegistry& proxies, double messageOverheadLines)
        : proxies_(proxies), messageOverheadLines_(messageOverheadLines) {}

    // -- the open batch --
    /// Adds lines to the proxy's message; the first ones also add the message's overhead and its barrier.
    void stage(Proxy& proxy, double lines);
    /// Stages lines for each proxy that holds the table.
    void chargeTable(const PlannedTable& table, double lines);
    /// Stages an exclusion for the proxies with an inherited table that joined after `joinedAfter`. A table
    /// from an earlier planner is assumed to contain the endpoint; a bootstrap table contains it with
    /// probability `bootstrapProbability`.
    void chargeInheritedTables(double bootstrapProbability, Micros joinedAfter);
    /// Moves the staged lines to a batch that is sent with the barrier.
    void closeBatch(BarrierId barrier, Micros now);

    // -- closed batches --
    /// Settles the proxy's messages up to the barrier. All batches before it have left the channel.
    void acknowledged(ProxyId id, BarrierId barrier);
    /// Erases the proxy from the registry. Lines that were sent to it may still be in the channel.
    void proxyLeft(ProxyId id);
    /// Drops batches that are old enough to have left the channel.
    void expire(Micros now);

    double stagedLines() const { return stagedLines_; }
    /// Estimated number of lines that are staged or may still be in the channel.
    double outstandingLines() const;
    /// Whether no proxy still has to acknowledge the batch. Also true for std::nullopt and for an expired
    /// batch.
    bool isAcknowledged(std::optional<BarrierId> barrier) const;

private:
    struct Batch {
        BarrierId barrier;
        Micros sentAt;
        double lines;              // lines that may still be in the channel
        EndpointIndex awaitedAcks; // proxies with an assigned table that have not acknowledged it
    };
    Batch* findBatch(BarrierId barrier);

    ProxyRegistry& proxies_;
    const double messageOverheadLines_;
    double stagedLines_ = 0;
    std::deque<Batch> batches_; // oldest first
};

} // namespace zincstack
