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

/// Channel time, beyond the mean transit time, that queued updates may fill once a batch may issue updates:
/// long enough for joins and rounds to progress, short enough that an urgent update is not delayed by more.
inline constexpr Micros kBatchBudget = std::chrono::milliseconds{500};
/// The same, as the limit below which the channel counts as idle. Only then are updates issued that can wait.
inline constexpr Micros kIdleBudget = std::chrono::milliseconds{100};

/// Paces the planner's updates, and closes its batches.
class ControlChannel {
public:
    ControlChannel(ProxyRegistry& proxies, RoutingUpdateSink& sink, const ControlChannelLimits& limits)
        : ledger(proxies, limits.messageOverheadLines), proxies_(proxies), sink_(sink), limits_(limits) {}

    /// Accounts for the updates that the planner issues; the users of the channel charge it for each update.
    MessageLedger ledger;

    const ControlChannelLimits& limits() const { return limits_; }
    /// Whether a batch may be written without exceeding the limit of messages per proxy. A minimum interval
    /// between batches is sufficient to ensure this.
    bool mayWriteBatch(Micros now) const;
    /// Whether the sink counts the encoded lines and enforces the limit of the queue. The planner then only
    /// paces itself.
    bool isMetered() const { return sink_.pendingLines().has_value(); }
    /// Lines of a message with one update, sent to every proxy.
    double broadcastLines() const;
    /// Whether urgent updates of this number of lines may be issued.
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
