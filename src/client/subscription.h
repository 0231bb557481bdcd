// A front end's side of the channel: what to say on a stream, and what its frames do to the replica. A state
// machine fed bytes; it knows no socket, and the clock is handed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "pubsub/replica.h"
#include "pubsub/wire.h"

namespace zincstack::client {

struct Identity {
    std::optional<ProxyId> proxy; ///< none: it only watches
    std::string zone;
    double weight = 1; ///< rough txns a second
};

class Subscription {
public:
    /// A topic has changed, or all is known to be current (no topic). Called from inside `feed`.
    using Changed = std::function<void(std::optional<pubsub::TopicId>)>;

    Subscription(Identity identity, Micros foreignHold, Changed changed = {});

    /// A new stream is up: the greeting to write.
    std::string connected(Micros now);
    /// Feeds what came. What to write back; `usable()` is false once the stream is spent.
    std::string feed(std::string_view bytes, Micros now);
    /// To be called each tenth of a second or so: a sign of life if one is due. A planner that has been silent
    /// for the length of the lease is given up.
    std::string tick(Micros now);
    /// What its txns came to since the last such line.
    std::string encodeDemand(std::string_view product, std::uint32_t txns, std::uint32_t voided, Micros span);
    /// The last frame of a stream that this side ends.
    std::string farewell(std::string_view reason);
    /// The stream has ended.
    void connectionClosed();

    enum class State : std::uint8_t { Apart, Greeting, CatchingUp, Live, Behind, Any };
    State state() const { return state_; }
    bool usable() const { return state_ != State::Apart; }
    const pubsub::Replica& replica() const { return replica_; }
    /// The planner's last words on the last stream, and when to come back.
    const std::optional<pubsub::DisconnectNotice>& disconnectNotice() const { return parting_; }
    /// They were a refusal: the same greeting will be refused again.
    bool refused() const { return refused_; }
    const std::string& planner() const { return planner_; }
    /// Why the last stream could not be used further, in one line; empty where it just ended.
    const std::string& lastError() const { return fault_; }

    struct Tally {
        std::uint64_t applied = 0, known = 0, gaps = 0, foreign = 0, unusable = 0, asked = 0, skipped = 0;
    };
    const Tally& tally() const { return tally_; }

private:
    enum class Word : std::uint8_t {
        Connected,
        Welcome,
        Parted,
        Applied,
        Part,
        Known,
        Gap,
        Foreign,
        Current, ///< a beat: all is here
        Late,    ///< a beat: something is missing, and has been for a while
        Waiting, ///< a beat: something is missing that may still be on its way
        Skipped,
        Unusable,
        Silent,
        Lost,
    };
    enum class Effect : std::uint8_t { Nothing, Greet, Enter, Answer, AnswerPart, Ask, Close };
    struct Row {
        State state;
        Word word;
        State next;
        Effect effect;
    };
    static const Row kRows[];

    bool said(Word word, const pubsub::Frame& frame, std::string& reply);
    bool act(Effect effect, const pubsub::Frame& frame, std::string& reply);
    Word wordOf(const pubsub::Frame& frame);
    Word wordOfBeat(const pubsub::Frame& frame);
    void ask(pubsub::TopicId topic, std::string& reply);
    std::string header(pubsub::FrameType type, pubsub::TopicId topic, pubsub::Sequence sequence) const;

    const Identity identity_;
    const Changed changed_;
    pubsub::Replica replica_;
    pubsub::FrameReader reader_{pubsub::kPlannerFrameMost};
    State state_ = State::Apart;
    bool refused_ = false;
    bool fresh_ = true; // no table that was ordered has come yet
    std::string planner_, fault_;
    std::optional<pubsub::DisconnectNotice> parting_;
    Micros now_{}, beat_{}, lease_{}, heardAt_{}, saidAt_{};
    std::map<pubsub::TopicId, std::pair<std::optional<pubsub::Sequence>, int>>
        late_;                            // where, beats without a move
    std::vector<pubsub::TopicId> wanted_; // topics to ask for
    Tally tally_;
};

} // namespace zincstack::client
