// Accounting of staged lines, of batches and of their acknowledgements.
#include "planner/message_ledger.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// Age at which a batch is assumed to have left the channel, acknowledged or not.
constexpr Micros kBatchExpiry = 10s;
/// The same for a batch that no proxy still has to acknowledge.
constexpr Micros kUnawaitedBatchExpiry = 2s;

} // namespace

void MessageLedger::stage(Proxy& proxy, double lines) {
    const bool opensMessage = proxy.stagedLines <= 0;
    stagedLines_ += lines + (opensMessage ? messageOverheadLines_ + kBarrierLines : 0);
    proxy.stagedLines += lines;
}

void MessageLedger::chargeTable(const PlannedTable& table, double lines) {
    for (auto& [id, proxy] : proxies_)
        if (table.isHeldBy(proxy)) stage(proxy, lines);
}

void MessageLedger::chargeInheritedTables(double bootstrapProbability, Micros joinedAfter) {
    for (auto& [id, proxy] : proxies_) {
        if (!proxy.usesInheritedTable() || proxy.joinedAt <= joinedAfter) continue;
        if (proxy.hasOnlyBootstrapTable)
            stagedLines_ += bootstrapProbability * (messageOverheadLines_ + kOneUpdateLines);
        else
            stage(proxy, 1);
    }
}

void MessageLedger::closeBatch(BarrierId barrier, Micros now) {
    Batch batch{barrier, now, std::exchange(stagedLines_, 0), 0};
    for (auto& [id, proxy] : proxies_) {
        const double lines = std::exchange(proxy.stagedLines, 0);
        // A proxy with an inherited table may get no message: only the sink knows what that table contains.
        if (lines <= 0 || proxy.usesInheritedTable()) continue;
        proxy.unacknowledged.push_back({barrier, lines + messageOverheadLines_ + kBarrierLines});
        ++batch.awaitedAcks;
    }
    batches_.push_back(batch);
}

void MessageLedger::acknowledged(ProxyId id, BarrierId barrier) {
    const auto found = proxies_.find(id);
    const auto newest = std::ranges::find(batches_, barrier, &Batch::barrier);
    if (found == proxies_.end() || newest == batches_.end()) return;
    for (auto batch = batches_.begin(); batch != newest; ++batch) batch->lines = 0;

    auto& messages = found->second.unacknowledged;
    const auto last = std::ranges::find(messages, barrier, &UnacknowledgedMessage::barrier);
    if (last == messages.end()) return;
    for (auto message = messages.begin(); message != last + 1; ++message) {
        Batch* batch = findBatch(message->barrier);
        if (!batch) continue;
        --batch->awaitedAcks;
        batch->lines = batch->awaitedAcks > 0 ? std::max(batch->lines - message->lines, 0.0) : 0;
    }
    messages.erase(messages.begin(), last + 1);
}

void MessageLedger::proxyLeft(ProxyId id) {
    const auto found = proxies_.find(id);
    if (found == proxies_.end()) return;
    for (const UnacknowledgedMessage& message : found->second.unacknowledged)
        if (Batch* batch = findBatch(message.barrier)) --batch->awaitedAcks;
    proxies_.erase(found);
}

void MessageLedger::expire(Micros now) {
    std::erase_if(batches_, [now](const Batch& batch) {
        const bool unawaited = batch.awaitedAcks == 0 && batch.sentAt < now - kUnawaitedBatchExpiry;
        return unawaited || batch.sentAt < now - kBatchExpiry;
    });
}

double MessageLedger::outstandingLines() const {
    return std::accumulate(batches_.begin(), batches_.end(), stagedLines_,
                           [](double sum, const Batch& batch) { return sum + batch.lines; });
}

bool MessageLedger::isAcknowledged(std::optional<BarrierId> barrier) const {
    if (!barrier) return true;
    return std::ranges::none_of(
        batches_, [&](const Batch& batch) { return batch.barrier == *barrier && batch.awaitedAcks > 0; });
}

MessageLedger::Batch* MessageLedger::findBatch(BarrierId barrier) {
    const auto found = std::ranges::find(batches_, barrier, &Batch::barrier);
    return found == batches_.end() ? nullptr : &*found;
}

} // namespace zincstack
