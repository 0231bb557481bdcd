// One subscriber as the planner sees it: the state of its stream, how far it is in each topic, and which marks
// it still owes. State and decisions only; the hub does what follows.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pubsub/flow_control.h"
#include "pubsub/topic_log.h"
#include "pubsub/wire.h"

namespace zincstack::pubsub {

using SharedFrame = std::shared_ptr<const std::string>;

/// Where a subscriber's frames go: its stream, as far as the hub knows it.
class FrameTarget {
public:
    virtual ~FrameTarget() = default;
    /// Takes a whole frame; false if too much waits already.
    virtual bool push(const SharedFrame& frame) = 0;
    /// Nothing more is said or heard here, but for these last words if the reader takes them at once.
    virtual void leave(std::string lastWords) = 0;
};

enum class State : std::uint8_t { Greeting, CatchingUp, Live, Lagging, Resync, Leaving, Any };
enum class Input : std::uint8_t {
    Joined,   ///< its greeting was good
    Refused,  ///< it was not
    CaughtUp, ///< all that its topics hold has been sent
    Shut,     ///< something waits and its window is full
    Lost,     ///< its log has forgotten, or it asked: a snapshot is due
    Stalled,  ///< it has answered nothing for too long
    Silent,   ///< it has said nothing for too long
    Replaced, ///< its proxy has a newer stream
    Off,      ///< the channel is switched off
    Garbled,  ///< what it says can't be read
    Parted,   ///< it says goodbye, or its stream has ended
    Any,
};
enum class Effect : std::uint8_t { Nothing, Welcome, Refuse, CountLag, CountResync, SayBye, Close };
std::string_view nameOf(State state);

/// A topic's message, encoded once for all who get it.
struct Message {
    struct Part {
        SharedFrame frame;
        std::size_t lines = 0;
    };
    TopicId topic;
    Sequence to;
    Urgency urgency = Urgency::Change;
    std::vector<Part> parts;
};

class Subscriber {
public:
    Subscriber(SubscriberId itsId, FrameTarget& itsTarget, Micros now)
        : id(itsId), target(&itsTarget), heardAt(now), movedAt(now) {}

    /// What follows from an input, by the table of states. Nothing: it does not matter in this state.
    Effect step(Input input);
    State state() const { return state_; }

    /// How far it is in a topic that it holds.
    struct Holding {
        Sequence sent{}, acked{}, marked{};
        bool snapshot = false; ///< one is due
        bool greeted = false;  ///< something of the topic has been sent on this stream
        std::shared_ptr<const Message> sending = {};
        std::size_t next = 0; ///< part of `sending`
    };

    void sent(const Message& message, std::size_t part, FlowControl& pacing, Micros now);
    /// An answer: all up to the sequence is in use, or (`part`) that part of a message has come. False where
    /// nothing like it was sent.
    bool acked(TopicId topic, Sequence sequence, std::optional<std::uint16_t> part, FlowControl& pacing,
               Micros now);
    /// The planner closes what it has ordered so far with a mark.
    void marked(BarrierId number, const std::map<TopicId, Sequence>& heads);
    /// The newest mark for which all has been answered, once.
    std::optional<BarrierId> settled();
    /// What it owes an answer to is not waited for any more.
    void abandon(FlowControl& pacing);
    bool owes() const { return !owed_.empty(); }

    const SubscriberId id;
    FrameTarget* const target;
    std::optional<ProxyId> proxy;
    ZoneId zone;
    bool compresses = false;
    std::map<TopicId, Holding> holdings; ///< withdrawals first
    Window window;
    Micros heardAt{}, movedAt{}; ///< when it last said something; when it last answered, or owed nothing
    bool waits = false;          ///< for room in all
    std::vector<Have> have;      ///< what it said it has, until it is bound to it

private:
    struct Owed {
        TopicId topic;
        Sequence to;
        std::uint16_t part;
        std::size_t lines, bytes;
    };
    struct Mark {
        BarrierId number;
        std::map<TopicId, Sequence> upTo;
    };
    State state_ = State::Greeting;
    std::deque<Owed> owed_;
    std::deque<Mark> marks_;
};

} // namespace zincstack::pubsub
