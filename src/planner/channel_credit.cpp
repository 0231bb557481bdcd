#include "planner/channel_credit.h"

#include <algorithm>
#include <utility>

namespace zincstack {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kUnansweredMost = 1024; // messages to one proxy
constexpr std::size_t kOverdueMost = 4;       // messages to one proxy that stands still
constexpr Micros kAnswerSlack = 1s;  // beyond the longest way of a message, before an answer is overdue
constexpr Micros kSilentAfter = 10s; // overdue for so long: the stream is taken to be dead
constexpr Micros kSweepEvery = 1s;

} // namespace

ChannelCredit::Admission ChannelCredit::check(ProxyId proxy, double lines, Urgency urgency, double elsewhere,
                                              Micros now) const {
    const auto found = streams_.find(proxy);
    if (found == streams_.end() || mustWait(found->second, urgency, now)) return Admission::ProxyBlocked;
    if (terms_.maxQueuedLines <= 0) return Admission::Granted;
    const double share = urgency == Urgency::Deadline ? kDeadlineQueueFraction : kOrdinaryQueueFraction;
    const double after = waiting_ + elsewhere + lines;
    if (after <= share * terms_.maxQueuedLines) return Admission::Granted;
    // Guards against a queue that is full of what ended streams were written: only the answer to a later message
    // proves that it has left, so one message at a time goes into the reserve. So does one that is too large otherwise.
    const bool proves = awaited_ == 0 && after <= terms_.maxQueuedLines;
    return proves ? Admission::Granted : Admission::QueueFull;
}

/// A proxy is written no more messages within the span than the settings allow, and little while it stands still:
/// what is not written merges meanwhile.
bool ChannelCredit::mustWait(const Stream& stream, Urgency urgency, Micros now) const {
    const auto recent =
        std::ranges::count_if(stream.writtenAt, [&](Micros at) { return now - at <= terms_.messageWindow; });
    if (terms_.maxMessagesPerProxy > 0 && recent >= static_cast<std::ptrdiff_t>(terms_.maxMessagesPerProxy))
        return true;
    if (overdue(stream) > 2 * terms_.worstTransitTime + kAnswerSlack)
        return urgency != Urgency::Deadline || stream.unanswered.size() >= kOverdueMost;
    return stream.unanswered.size() >= kUnansweredMost;
}

Micros ChannelCredit::overdue(const Stream& stream) const {
    if (stream.unanswered.empty()) return Micros{};
    return std::max(newestAnsweredWrite_ - stream.unanswered.front().writtenAt, Micros{});
}

void ChannelCredit::sessionOpened(ProxyId proxy) {
    sessionEnded(proxy);
    streams_.try_emplace(proxy);
}

void ChannelCredit::sessionEnded(ProxyId proxy) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    giveUp(found->second);
    streams_.erase(found);
}

/// Its messages are not awaited any more, but may still wait in the channel.
void ChannelCredit::giveUp(Stream& stream) {
    double lines = 0;
    for (Message& one : stream.unanswered) {
        if (!std::exchange(one.counted, false)) continue;
        lines += one.lines;
        --awaited_;
    }
    if (lines > 0) ended_.push_back({nextSequence_, lines});
}

void ChannelCredit::detectSilentSessions(Micros now) {
    if (now - sweptAt_ < kSweepEvery) return;
    sweptAt_ = now;
    for (auto& [proxy, stream] : streams_)
        if (overdue(stream) > kSilentAfter) giveUp(stream);
}

void ChannelCredit::messageWritten(ProxyId proxy, BarrierId mark, double lines, Micros now) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    stream.unanswered.push_back({nextSequence_++, mark, lines, now});
    ++awaited_;
    waiting_ += lines;
    if (terms_.maxMessagesPerProxy == 0) return;
    stream.writtenAt.push_back(now);
    while (now - stream.writtenAt.front() > terms_.messageWindow) stream.writtenAt.pop_front();
}

bool ChannelCredit::acknowledged(ProxyId proxy, BarrierId mark) {
    const auto found = streams_.find(proxy);
    if (found == streams_.end()) return false;
    auto& messages = found->second.unanswered;
    const auto at = std::ranges::find(messages, mark, &Message::mark);
    if (at == messages.end()) return false;
    const Message newest = *at;
    newestAnsweredWrite_ = std::max(newestAnsweredWrite_, newest.writtenAt);
    for (auto one = messages.begin(); one != at + 1; ++one) {
        if (!one->counted) continue;
        returned(one->lines);
        --awaited_;
    }
    messages.erase(messages.begin(), at + 1);
    // The channel is a queue: what entered it before this message has left it too. That is known only of streams
    // that had ended when it was written; bytes of an open one may still be on their way to the channel.
    for (; !ended_.empty() && ended_.front().sequence <= newest.sequence; ended_.pop_front())
        returned(ended_.front().lines);
    return true;
}

void ChannelCredit::returned(double lines) { waiting_ = std::max(waiting_ - lines, 0.0); }

} // namespace zincstack
