// How much the planner may order now on the control channel to its proxies.
//
// Updates are ordered only while the channel's queue is short, so that urgent ones find capacity in it; what
// is not ordered stays a difference between a table and its target, and merges with later changes. Owns the
// message ledger, the barrier numbers and the time of the last batch.
#pragma once

#include <optional>

#include "planner/channel_credit.h"
#include "planner/message_ledger.h"

namespace zincstack {

/// Time of the channel, beyond the mean transit time, that queued updates may fill once some may be ordered:
/// long enough that joins and rounds progress, short enough that an urgent update is not delayed by more.
inline constexpr Micros kBatchBudget = std::chrono::milliseconds{500};
/// The same while the channel counts as idle: only then may updates that can wait be ordered at all.
inline constexpr Micros kIdleBudget = std::chrono::milliseconds{100};

class ControlChannel {
public:
    ControlChannel(ProxyRegistry& proxies, RoutingUpdateSink& sink, const ControlChannelLimits& limits)
        : ledger(proxies, limits.messageOverheadLines), proxies_(proxies), sink_(sink), limits_(limits) {}

    /// Accounts for what the planner orders; the users of the channel charge it for each update.
    MessageLedger ledger;

    const ControlChannelLimits& limits() const { return limits_; }
    /// Whether a batch may be written without passing the limit of messages to one proxy. The gap between
    /// batches alone ensures that.
    bool mayWriteBatch(Micros now) const;
    /// The sink counts the lines as encoded and keeps the limit of the queue; the planner only paces itself.
    bool isMetered() const { return sink_.pendingLines().has_value(); }
    /// Lines of a message with one update to every proxy.
    double broadcastLines() const;
    /// Whether urgent updates of so many lines may be ordered.
    bool hasDeadlineCapacity(double lines) const;
    /// Lines that updates which can wait may take, if the queue is to be no longer than `budget` of channel
    /// time.
    double spareLines(Micros budget) const;
    /// Closes the message of every proxy for which something was ordered; none where nothing was.
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
