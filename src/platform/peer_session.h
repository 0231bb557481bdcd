// The planner's side of one connection of the platform protocol: a state machine that frames and checks what the peer
// sends and passes it to the InputTranslator. It is fed bytes and knows no socket.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "metrics/counters.h"
#include "net/line_framer.h"
#include "platform/input_translator.h"
#include "platform/push_stream.h"

namespace zincstack::net {

class PeerSession {
public:
    /// `answerProbe` is called for each `probe` of the peer.
    PeerSession(InputTranslator& inputs, Counters& counters, BufferPool& pool, PushStream& stream,
                std::function<void()> answerProbe);

    /// False: no more input is accepted, and the connection is to be closed.
    bool feed(std::string_view bytes);
    /// The time to identify itself is over. False if the peer has not done so.
    bool joinDeadlineExpired();
    void connectionClosed();

    /// The proxy whose stream this is; none for a collector, and before `hello`.
    std::optional<ProxyId> proxy() const { return proxy_; }
    /// Whether the peer has not yet identified itself as a collector or a proxy.
    bool isUnidentified() const { return state_ == State::Unidentified; }
    /// Whether the peer was rejected instead of identified; it is sent `error` before the close.
    bool isRejected() const { return state_ == State::Rejected; }

private:
    enum class State : std::uint8_t { Unidentified, Collector, ProxyStream, Rejected, Closed, Any };
    /// What happens on the connection. The kinds of messages come first, in the order of kMessageKinds.
    enum class Input : std::uint8_t {
        Probe,
        Agent,
        Hello,
        Ack,
        Outcomes,
        Demand,
        OtherMessage,
        InvalidMessage, ///< of a known kind, but not usable
        Unreadable,
        JoinDeadline,
        Any
    };
    enum class Action : std::uint8_t {
        None,
        AnswerProbe,
        IdentifyCollector,
        JoinProxy,
        AcknowledgeBarrier,
        ReportLoad,
        ReportDemand,
        IgnoreMessage,
        Reject,
        Close
    };
    struct Transition {
        State state;
        Input input;
        State next; ///< Any: the state stays
        Action action;
    };
    static const Transition kTransitions[];

    bool handleLine(std::string_view line);
    bool handleUnreadable(std::string_view text);
    bool handle(Input input, const Message& message, std::string_view text);
    bool perform(Action action, const Message& message, std::string_view text);
    bool isOpen() const { return state_ != State::Rejected && state_ != State::Closed; }

    InputTranslator& inputs_;
    Counters& counters_;
    PushStream& stream_;
    std::function<void()> answerProbe_;
    LineFramer framer_;
    State state_ = State::Unidentified;
    std::optional<ProxyId> proxy_;
};

} // namespace zincstack::net
