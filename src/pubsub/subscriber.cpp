#include "pubsub/subscriber.h"

#include <algorithm>
#include <iterator>

namespace zincstack::pubsub {

namespace {

constexpr std::size_t kMarksMost = 1024; // without an answer

struct Row {
    State state;
    Input input;
    State next;
    Effect effect;
};
constexpr Row kRows[] = {
    {State::Leaving, Input::Any, State::Leaving, Effect::Nothing},
    {State::Greeting, Input::Joined, State::CatchingUp, Effect::Welcome},
    {State::Greeting, Input::Refused, State::Leaving, Effect::Refuse},
    {State::Greeting, Input::Garbled, State::Leaving, Effect::Refuse},
    {State::Greeting, Input::Off, State::Leaving, Effect::Refuse},
    {State::CatchingUp, Input::CaughtUp, State::Live, Effect::Nothing},
    {State::Live, Input::Shut, State::Lagging, Effect::CountLag},
    {State::Live, Input::Lost, State::Resync, Effect::CountResync},
    {State::Lagging, Input::CaughtUp, State::Live, Effect::Nothing},
    {State::Lagging, Input::Lost, State::Resync, Effect::CountResync},
    {State::Resync, Input::CaughtUp, State::Live, Effect::Nothing},
    {State::Any, Input::Stalled, State::Leaving, Effect::SayBye},
    {State::Any, Input::Silent, State::Leaving, Effect::SayBye},
    {State::Any, Input::Replaced, State::Leaving, Effect::SayBye},
    {State::Any, Input::Off, State::Leaving, Effect::SayBye},
    {State::Any, Input::Garbled, State::Leaving, Effect::SayBye},
    {State::Any, Input::Parted, State::Leaving, Effect::Close},
};

} // namespace

std::string_view nameOf(State state) {
    static constexpr std::string_view kNames[] = {"greeting", "catching_up", "live",
                                                  "lagging",  "resync",      "leaving"};
    return kNames[static_cast<std::size_t>(state)];
}

Effect Subscriber::step(Input input) {
    const auto* const row = std::ranges::find_if(kRows, [&](const Row& one) {
        return (one.input == input || one.input == Input::Any) &&
               (one.state == state_ || one.state == State::Any);
    });
    if (row == std::end(kRows)) return Effect::Nothing;
    state_ = row->next;
    return row->effect;
}

void Subscriber::sent(const Message& message, std::size_t part, FlowControl& pacing, Micros now) {
    const auto& [frame, lines] = message.parts[part];
    if (owed_.empty()) movedAt = now;
    owed_.push_back({message.topic, message.to, static_cast<std::uint16_t>(part), lines, frame->size()});
    pacing.sent(window, lines, frame->size());
}

/// An answer to a message stands for all that was sent of its topic before it; of other topics it says
/// nothing, since withdrawals overtake.
bool Subscriber::acked(TopicId topic, Sequence sequence, std::optional<std::uint16_t> part,
                       FlowControl& pacing, Micros now) {
    const auto holding = holdings.find(topic);
    if (holding == holdings.end()) return false;
    const auto& sending = holding->second.sending;
    if (sequence > (sending && part ? sending->to : holding->second.sent)) return false;
    const bool whole = !part;
    const auto covered = [&](const Owed& one) {
        return one.topic == topic &&
               (one.to < sequence || (one.to == sequence && (whole || one.part <= *part)));
    };
    bool any = false;
    std::erase_if(owed_, [&](const Owed& one) {
        if (!covered(one)) return false;
        pacing.answered(window, one.lines, one.bytes);
        return any = true;
    });
    if (whole) holding->second.acked = std::max(holding->second.acked, sequence);
    if (any) movedAt = now;
    return true;
}

void Subscriber::abandon(FlowControl& pacing) {
    for (const Owed& one : owed_) pacing.answered(window, one.lines, one.bytes);
    owed_.clear();
}

void Subscriber::marked(BarrierId number, const std::map<TopicId, Sequence>& heads) {
    Mark mark{number, {}};
    for (auto& [topic, holding] : holdings) {
        holding.marked = heads.at(topic);
        mark.upTo.emplace(topic, holding.marked);
    }
    marks_.push_back(std::move(mark));
    if (marks_.size() > kMarksMost) marks_.pop_front();
}

std::optional<BarrierId> Subscriber::settled() {
    std::optional<BarrierId> out;
    const auto done = [&](const Mark& mark) {
        return std::ranges::all_of(mark.upTo, [&](const auto& one) {
            const auto holding = holdings.find(one.first);
            return holding == holdings.end() ||
                   (holding->second.greeted && holding->second.acked >= one.second);
        });
    };
    while (!marks_.empty() && done(marks_.front())) {
        out = marks_.front().number;
        marks_.pop_front();
    }
    return out;
}

} // namespace zincstack::pubsub
