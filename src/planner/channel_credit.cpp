// Credit accounting for streams, messages and their acknowledgements.
#include "planner/channel_credit.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// Maximum number of unacknowledged messages per proxy.
constexpr std::size_t kMaxUnacknowledgedMessages = 1024;
/// The same while the proxy is stalled. Updates that are not written yet merge with later ones.
constexpr std::size_t kMaxUnacknowledgedMessagesWhileStalled = 4;
/// Acknowledgement lag beyond the worst-case round trip after which a proxy counts as stalled.
constexpr Micros kAckSlack = 1s;
/// Acknowledgement lag after which a stream counts as silent.
constexpr Micros kSilenceTimeout = 10s;
/// Minimum time between two checks for silent streams.
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
    // The queue may be full of lines written to ended streams, and only the acknowledgement of a later
    // message proves that they have left it. Therefore one message at a time may use the reserve, even a
    // message that exceeds the fraction by itself.
    const bool mayUseReserve = awaitedMessages_ == 0 && linesAfter <= limits_.maxQueuedLines;
    return mayUseReserve ? Admission::Granted : Admission::QueueFull;
}

/// Whether the proxy has reached its limit of messages within the window or of unacknowledged messages. A
/// stalled proxy gets only messages with a deadline, and few of them.
bool ChannelCredit::mustWait(const Stream& stream, Urgency urgency, Micros now) const {
    const auto recentMessages = std::ranges::count_if(
        stream.writeTimes, [&](Micros writtenAt) { return now - writtenAt <= limits_.messageWindow; });
    const auto maxMessages = static_cast<std::ptrdiff_t>(limits_.maxMessagesPerProxy);
    if (maxMessages > 0 && recentMessages >= maxMessages) return true;
    if (!isStalled(stream)) return stream.unacknowledged.size() >= kMaxUnacknowledgedMessages;
    return urgency != Urgency::Deadline ||
           stream.unacknowledged.size() >= kMaxUnacknowledgedMessagesWhileStalled;
}

bool ChannelCredit::isStalled(ProxyId proxy) const {
    const auto found = streams_.find(proxy);
    return found != streams_.end() && isStalled(found->second);
}

bool ChannelCredit::isStalled(const Stream& stream) const {
    return acknowledgementLag(stream) > 2 * limits_.worstTransitTime + kAckSlack;
}

Micros ChannelCredit::acknowledgementLag(const Stream& stream) const {
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

/// Stops awaiting the stream's acknowledgements. Its messages may still be in the channel, so their lines
/// count until a later message is acknowledged.
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
        if (acknowledgementLag(stream) > kSilenceTimeout) moveToEnded(stream);
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
    // The channel is a FIFO queue: whatever entered it before this message has left it too. This is certain
    // only for streams that had ended when the message was written; bytes of an open stream may not have
    // entered the channel yet.
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
