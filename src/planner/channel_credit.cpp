// Credit accounting for streams, messages and their acknowledgements.
#include "planner/channel_credit.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// Maximum number of unanswered messages per proxy, and of messages for which an acknowledgement is accepted.
constexpr std::size_t kMaxUnansweredMessages = 1024;
/// Maximum number of unanswered messages, when another one with a deadline is written to a stalled proxy.
/// Updates that are not written yet merge with later ones.
constexpr std::size_t kMaxUnansweredDeadlineMessagesWhileStalled = 4;
/// The same for other messages. The first one after a silence shows whether the proxy is back.
constexpr std::size_t kMaxUnansweredOrdinaryMessagesWhileStalled = 1;
/// Input lag beyond the worst-case round trip after which a proxy counts as stalled.
constexpr Micros kAckSlack = 1s;
/// Age, compared with the newest acknowledged message, at which a message is given up, and input lag after
/// which a stream counts as silent.
constexpr Micros kSilenceTimeout = 10s;
/// Minimum time between two checks for overdue messages.
constexpr Micros kOverdueCheckInterval = 1s;

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
    // message that exceeds the fraction by itself. The same holds for lines whose acknowledgements are lost,
    // but a slow channel looks alike, so that only a small message may be written.
    const double reserve = (1 - kDeadlineQueueFraction) * limits_.maxQueuedLines;
    const bool mayUseReserve =
        awaitedMessages_ == 0 || (lines <= reserve && areAllAcknowledgementsOverdue(now));
    return mayUseReserve && linesAfter <= limits_.maxQueuedLines ? Admission::Granted : Admission::QueueFull;
}

/// Whether even a full queue should have been delivered and acknowledged since the last message was written.
bool ChannelCredit::areAllAcknowledgementsOverdue(Micros now) const {
    Micros deliveryTime = 2 * limits_.worstTransitTime + kAckSlack;
    if (limits_.linesPerSecond > 0)
        deliveryTime += std::chrono::duration_cast<Micros>(
            std::chrono::duration<double>(limits_.maxQueuedLines / limits_.linesPerSecond));
    return now - lastWriteAt_ > deliveryTime;
}

/// Whether the proxy has reached its limit of messages within the window or of unanswered messages.
bool ChannelCredit::mustWait(const Stream& stream, Urgency urgency, Micros now) const {
    const auto recentMessages = std::ranges::count_if(
        stream.writeTimes, [&](Micros writtenAt) { return now - writtenAt <= limits_.messageWindow; });
    const auto maxMessages = static_cast<std::ptrdiff_t>(limits_.maxMessagesPerProxy);
    if (maxMessages > 0 && recentMessages >= maxMessages) return true;
    const auto unanswered = std::ranges::count_if(stream.unacknowledged, &Message::isUnanswered);
    return static_cast<std::size_t>(unanswered) >= maxUnansweredMessages(stream, urgency);
}

std::size_t ChannelCredit::maxUnansweredMessages(const Stream& stream, Urgency urgency) const {
    if (!isStalled(stream)) return kMaxUnansweredMessages;
    return urgency == Urgency::Deadline ? kMaxUnansweredDeadlineMessagesWhileStalled
                                        : kMaxUnansweredOrdinaryMessagesWhileStalled;
}

bool ChannelCredit::isStalled(ProxyId proxy) const {
    const auto found = streams_.find(proxy);
    return found != streams_.end() && isStalled(found->second);
}

bool ChannelCredit::isStalled(const Stream& stream) const {
    return stream.isSilent || inputLag(stream) > 2 * limits_.worstTransitTime + kAckSlack;
}

Micros ChannelCredit::inputLag(const Stream& stream) const {
    const auto oldest = std::ranges::find_if(stream.unacknowledged, &Message::isUnanswered);
    if (oldest == stream.unacknowledged.end()) return Micros{};
    return std::max(newestAcknowledgedWrite_ - std::max(oldest->writtenAt, stream.lastInputAt), Micros{});
}

void ChannelCredit::sessionOpened(ProxyId proxy) {
    sessionEnded(proxy);
    streams_.try_emplace(proxy);
}

void ChannelCredit::sessionEnded(ProxyId proxy) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    giveUpMessages(found->second, Micros::max());
    streams_.erase(found);
}

/// The given up messages may still be in the channel, so their lines count until a later message is
/// acknowledged.
void ChannelCredit::giveUpMessages(Stream& stream, Micros writtenBefore) {
    double lines = 0;
    for (Message& message : stream.unacknowledged) {
        if (message.writtenAt >= writtenBefore) break;
        if (!std::exchange(message.isAwaited, false)) continue;
        lines += message.lines;
        --awaitedMessages_;
    }
    if (lines > 0) ended_.push_back({nextSequence_, lines});
}

void ChannelCredit::giveUpOverdueMessages(Micros now) {
    if (now - overdueCheckedAt_ < kOverdueCheckInterval) return;
    overdueCheckedAt_ = now;
    for (auto& [proxy, stream] : streams_) {
        if (inputLag(stream) > kSilenceTimeout) stream.isSilent = true;
        giveUpMessages(stream, newestAcknowledgedWrite_ - kSilenceTimeout);
        dropOldestGivenUp(stream);
    }
}

/// Bounds the memory for messages that are kept only in case they are acknowledged very late.
void ChannelCredit::dropOldestGivenUp(Stream& stream) {
    auto& messages = stream.unacknowledged;
    while (messages.size() > kMaxUnansweredMessages && !messages.front().isAwaited) messages.pop_front();
}

void ChannelCredit::inputReceived(ProxyId proxy, Micros now) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    found->second.lastInputAt = now;
    found->second.isSilent = false;
}

void ChannelCredit::unusableAcknowledgementReceived(ProxyId proxy) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    auto& messages = found->second.unacknowledged;
    const auto oldest = std::ranges::find(messages, false, &Message::hasUnusableAnswer);
    if (oldest != messages.end()) oldest->hasUnusableAnswer = true;
}

void ChannelCredit::messageWritten(ProxyId proxy, BarrierId barrier, double lines, Micros now) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    stream.unacknowledged.push_back({nextSequence_++, barrier, lines, now});
    lastWriteAt_ = now;
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
    stream->second.isSilent = false;
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
