#include "pubsub/subscriber.h"

#include <algorithm>
#include <iterator>

namespace zincstack::pubsub {

namespace {

constexpr std::size_t kMaxPendingBarriers = 1024; // per subscriber; the oldest ones are dropped

struct Transition {
    SessionState state;
    SessionInput input;
    SessionState next;
    SessionEffect effect;
};

using enum SessionState;
using Input = SessionInput;
using Effect = SessionEffect;

// The first matching row applies. An input that matches no row is ignored.
constexpr Transition kTransitions[] = {
    {Leaving, Input::Any, Leaving, Effect::Nothing},
    {Greeting, Input::GreetingAccepted, CatchingUp, Effect::SendWelcome},
    {Greeting, Input::GreetingRejected, Leaving, Effect::SendRefusal},
    {Greeting, Input::ProtocolError, Leaving, Effect::SendRefusal},
    {Greeting, Input::ServiceSuspended, Leaving, Effect::SendRefusal},
    {CatchingUp, Input::CaughtUp, Live, Effect::Nothing},
    {Live, Input::WindowFull, Lagging, Effect::CountLag},
    {Live, Input::LogTruncated, Resync, Effect::CountResync},
    {Lagging, Input::CaughtUp, Live, Effect::Nothing},
    {Lagging, Input::LogTruncated, Resync, Effect::CountResync},
    {Resync, Input::CaughtUp, Live, Effect::Nothing},
    {Any, Input::AckTimeout, Leaving, Effect::SendGoodbye},
    {Any, Input::LeaseExpired, Leaving, Effect::SendGoodbye},
    {Any, Input::SessionReplaced, Leaving, Effect::SendGoodbye},
    {Any, Input::ServiceSuspended, Leaving, Effect::SendGoodbye},
    {Any, Input::ProtocolError, Leaving, Effect::SendGoodbye},
    {Any, Input::Disconnected, Leaving, Effect::Close},
};

} // namespace

std::string_view nameOf(SessionState state) {
    static constexpr std::string_view kNames[] = {"greeting", "catching_up", "live",
                                                  "lagging",  "resync",      "leaving"};
    return kNames[static_cast<std::size_t>(state)];
}

void TopicProgress::discardMessageInProgress() {
    messageInProgress.reset();
    nextPart = 0;
}

SessionEffect Subscriber::transition(SessionInput input) {
    const auto* const row = std::ranges::find_if(kTransitions, [&](const Transition& candidate) {
        const bool inputMatches = candidate.input == input || candidate.input == Input::Any;
        return inputMatches && (candidate.state == state_ || candidate.state == Any);
    });
    if (row == std::end(kTransitions)) return Effect::Nothing;
    state_ = row->next;
    return row->effect;
}

void Subscriber::onPartSent(const EncodedMessage& message, std::size_t part, FlowControl& flowControl,
                            Micros now) {
    const MessageSize size = message.parts[part].size();
    if (unacknowledged_.empty()) lastProgressAt = now;
    unacknowledged_.push_back({message.topic, message.head, static_cast<std::uint16_t>(part), size});
    flowControl.onSent(window, size);
}

template <class Covered>
void Subscriber::removeUnacknowledged(const Covered& isCovered, FlowControl& flowControl, Micros now) {
    const std::size_t removed = std::erase_if(unacknowledged_, [&](const UnacknowledgedPart& sent) {
        if (!isCovered(sent)) return false;
        flowControl.onAcknowledged(window, sent.size);
        return true;
    });
    if (removed > 0) lastProgressAt = now;
}

bool Subscriber::acknowledge(TopicId topic, Sequence sequence, FlowControl& flowControl, Micros now) {
    const auto found = topics.find(topic);
    if (found == topics.end()) return false;
    TopicProgress& progress = found->second;
    if (sequence > progress.sent) return false;
    const auto isCovered = [&](const UnacknowledgedPart& sent) {
        return sent.topic == topic && sent.head <= sequence;
    };
    removeUnacknowledged(isCovered, flowControl, now);
    progress.acknowledged = std::max(progress.acknowledged, sequence);
    return true;
}

bool Subscriber::acknowledgePart(TopicId topic, Sequence sequence, std::uint16_t part,
                                 FlowControl& flowControl, Micros now) {
    const auto found = topics.find(topic);
    if (found == topics.end()) return false;
    const TopicProgress& progress = found->second;
    const Sequence newest = progress.messageInProgress ? progress.messageInProgress->head : progress.sent;
    if (sequence > newest) return false;
    const auto isCovered = [&](const UnacknowledgedPart& sent) {
        if (sent.topic != topic) return false;
        return sent.head < sequence || (sent.head == sequence && sent.part <= part);
    };
    removeUnacknowledged(isCovered, flowControl, now);
    return true;
}

void Subscriber::releaseCredit(FlowControl& flowControl) {
    for (const UnacknowledgedPart& sent : unacknowledged_) flowControl.onAcknowledged(window, sent.size);
    unacknowledged_.clear();
}

void Subscriber::addBarrier(BarrierId barrier, const std::map<TopicId, Sequence>& heads) {
    PendingBarrier pending{barrier, {}};
    for (auto& [topic, progress] : topics) {
        progress.barrier = heads.at(topic);
        pending.heads.emplace(topic, progress.barrier);
    }
    barriers_.push_back(std::move(pending));
    if (barriers_.size() > kMaxPendingBarriers) barriers_.pop_front();
}

bool Subscriber::isAcknowledged(const PendingBarrier& pending) const {
    return std::ranges::all_of(pending.heads, [&](const auto& required) {
        const auto found = topics.find(required.first);
        if (found == topics.end()) return true;
        return found->second.wasSent && found->second.acknowledged >= required.second;
    });
}

std::optional<BarrierId> Subscriber::takeAcknowledgedBarrier() {
    std::optional<BarrierId> newest;
    while (!barriers_.empty() && isAcknowledged(barriers_.front())) {
        newest = barriers_.front().barrier;
        barriers_.pop_front();
    }
    return newest;
}

} // namespace zincstack::pubsub
