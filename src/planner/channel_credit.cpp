#include "planner/channel_credit.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// Unacknowledged messages to one proxy, at most.
constexpr std::size_t kMaxUnacknowledged = 1024;
/// The same while the proxy stalls: what is not written merges with later updates.
constexpr std::size_t kMaxUnacknowledgedWhileStalled = 4;
/// Beyond the worst transit there and back, before a proxy that owes an acknowledgement counts as stalled.
constexpr Micros kAckSlack = 1s;
/// Overdue for so long: the stream counts as dead.
constexpr Micros kSilenceTimeout = 10s;
constexpr Micros kSilenceCheckInterval = 1s;

} // namespace

ChannelCredit::Admission ChannelCredit::check(ProxyId proxy, double lines, Urgency urgency,
                                              double otherTransportLines, Micros now) const {
    const auto found = streams_.find(proxy);
    if (found == streams_.end() || mustWait(found->second, urgency, now)) return Admission::ProxyBlocked;
    if (limits_.maxQueuedLines <= 0) return Admission::Granted;
    const double fraction = urgency == Urgency::Deadline ? kDeadlineQueueFraction : kOrdinaryQueueFraction;
    const double linesAfter = unacknowledgedLines_ + otherTransportLines + lines;
    if (linesAfter <= fraction * limits_.maxQueuedLines) return Admission::Granted;
    // The queue may be full of what ended streams were written, and only the acknowledgement of a later
    // message proves that this has left. So one message at a time may use the reserve; also one that is too
    // large otherwise.
    const bool mayUseReserve = awaitedMessages_ == 0 && linesAfter <= limits_.maxQueuedLines;
    return mayUseReserve ? Admission::Granted : Admission::QueueFull;
}

/// A proxy is written no more messages within the window than the limits allow, and few while it stalls.
bool ChannelCredit::mustWait(const Stream& stream, Urgency urgency, Micros now) const {
    const auto recentMessages = std::ranges::count_if(
        stream.writeTimes, [&](Micros writtenAt) { return now - writtenAt <= limits_.messageWindow; });
    const auto maxMessages = static_cast<std::ptrdiff_t>(limits_.maxMessagesPerProxy);
    if (maxMessages > 0 && recentMessages >= maxMessages) return true;
    const bool isStalled = overdue(stream) > 2 * limits_.worstTransitTime + kAckSlack;
    if (!isStalled) return stream.unacknowledged.size() >= kMaxUnacknowledged;
    return urgency != Urgency::Deadline || stream.unacknowledged.size() >= kMaxUnacknowledgedWhileStalled;
}

Micros ChannelCredit::overdue(const Stream& stream) const {
    if (stream.unacknowledged.empty()) return Micros{};
    return std::max(newestAcknowledgedWrite_ - stream.unacknowledged.front().writtenAt, Micros{});
}

void ChannelCredit::sessionOpened(ProxyId proxy) {
    sessionEnded(proxy);
    streams_.try_emplace(proxy);
}

void ChannelCredit::sessionEnded(ProxyId proxy) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    moveToEnded(found->second);
    streams_.erase(found);
}

/// Its acknowledgements are not awaited any more, but its messages may still be in the channel.
void ChannelCredit::moveToEnded(Stream& stream) {
    double lines = 0;
    for (Message& message : stream.unacknowledged) {
        if (!std::exchange(message.isAwaited, false)) continue;
        lines += message.lines;
        --awaitedMessages_;
    }
    if (lines > 0) ended_.push_back({nextSequence_, lines});
}

void ChannelCredit::detectSilentSessions(Micros now) {
    if (now - silenceCheckedAt_ < kSilenceCheckInterval) return;
    silenceCheckedAt_ = now;
    for (auto& [proxy, stream] : streams_)
        if (overdue(stream) > kSilenceTimeout) moveToEnded(stream);
}

void ChannelCredit::messageWritten(ProxyId proxy, BarrierId barrier, double lines, Micros now) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    stream.unacknowledged.push_back({nextSequence_++, barrier, lines, now});
    ++awaitedMessages_;
    unacknowledgedLines_ += lines;
    if (limits_.maxMessagesPerProxy == 0) return;
    stream.writeTimes.push_back(now);
    while (now - stream.writeTimes.front() > limits_.messageWindow) stream.writeTimes.pop_front();
}

bool ChannelCredit::acknowledged(ProxyId proxy, BarrierId barrier) {
    const auto stream = streams_.find(proxy);
    if (stream == streams_.end()) return false;
    auto& messages = stream->second.unacknowledged;
    const auto found = std::ranges::find(messages, barrier, &Message::barrier);
    if (found == messages.end()) return false;
    const Message newest = *found;
    newestAcknowledgedWrite_ = std::max(newestAcknowledgedWrite_, newest.writtenAt);
    for (auto message = messages.begin(); message != found + 1; ++message) {
        if (!message->isAwaited) continue;
        returnCredit(message->lines);
        --awaitedMessages_;
    }
    messages.erase(messages.begin(), found + 1);
    // The channel is a queue: what entered it before this message has left it too. That is known only of
    // streams that had ended when it was written; bytes of an open one may still be on their way to the
    // channel.
    while (!ended_.empty() && ended_.front().firstLaterSequence <= newest.sequence) {
        returnCredit(ended_.front().lines);
        ended_.pop_front();
    }
    return true;
}

void ChannelCredit::returnCredit(double lines) {
    unacknowledgedLines_ = std::max(unacknowledgedLines_ - lines, 0.0);
}

} // namespace zincstack
