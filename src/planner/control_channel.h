// Limits how much the planner may issue now on the control channel to its proxies.
//
// Updates are issued only while the channel's queue is short, so that urgent ones find capacity in it. An
// update that is not issued remains as a difference between a table and its target, and merges with later
// changes. Owns the message ledger, the barrier numbers and the time of the last batch.
#pragma once

#include <optional>

#include "planner/channel_credit.h"
#include "planner/message_ledger.h"

namespace zincstack {

/// Length of the queue up to which a batch may issue updates, as transmission time beyond the mean transit
/// time. It is long enough for joins and rounds to progress, and delays an urgent update by no more than
/// this.
inline constexpr Micros kBatchBudget = std::chrono::milliseconds{500};
/// Length of the queue, in the same unit, below which the channel counts as idle. Updates that can wait are
/// issued only then.
inline constexpr Micros kIdleBudget = std::chrono::milliseconds{100};

/// Paces the planner's updates, and closes its batches.
class ControlChannel {
public:
    ControlChannel(ProxyRegistry& proxies, RoutingUpdateSink& sink, const ControlChannelLimits& limits)
        : ledger(proxies, limits.messageOverheadLines), proxies_(proxies), sink_(sink), limits_(limits) {}

    /// Accounts for the updates that the planner issues. The module that issues an update charges it here.
    MessageLedger ledger;

    const ControlChannelLimits& limits() const { return limits_; }
    /// Whether a batch may be written without exceeding the limit of messages per proxy. A minimum interval
    /// between batches is sufficient to ensure this.
    bool mayWriteBatch(Micros now) const;
    /// Whether the sink counts the encoded lines and enforces the limit of the queue. The planner then only
    /// paces itself.
    bool isMetered() const { return sink_.pendingLines().has_value(); }
    /// Total number of lines if a message with one update is sent to every proxy.
    double broadcastLines() const;
    /// Whether urgent updates of this number of lines may be issued. Always true if the sink measures the
    /// channel.
    bool hasDeadlineCapacity(double lines) const;
    /// Lines that updates which can wait may use, so that the queue stays within the mean transit time plus
    /// `budget` and within kOrdinaryQueueFraction. Not positive if the queue is longer already.
    double spareLines(Micros budget) const;
    /// Closes the message of every proxy for which updates were issued. Returns the barrier, or
    /// std::nullopt if there was nothing to close.
    std::optional<BarrierId> closeBatch(Micros now);

private:
    double outstandingLines() const;

    ProxyRegistry& proxies_;
    RoutingUpdateSink& sink_;
    const ControlChannelLimits limits_;
    std::optional<Micros> batchSentAt_;
    std::uint16_t lastBarrier_ = 0;
};

} // namespace zincstack
