// The planner's side of one connection of the platform protocol: a state machine that splits the received
// bytes into messages, checks them and passes them to the InputTranslator. It performs no I/O.
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

/// The state of one connection. A peer identifies itself as a collector with `agent`, or as a proxy with
/// `hello`; before that no other message than `probe` is accepted.
class PeerSession {
public:
    /// `answerProbe` is called for each `probe` message of the peer.
    PeerSession(InputTranslator& inputs, Counters& counters, BufferPool& pool, PushStream& stream,
                std::function<void()> answerProbe);

    /// Processes received bytes. Returns false if no more input is accepted and the connection must be
    /// closed.
    bool feed(std::string_view bytes);
    /// Called when the time for the peer to identify itself has passed, and again at regular intervals while
    /// it is provisional. `isFull`: new connections are waiting for room. Returns false if the connection must
    /// be closed: the peer has not identified itself, or it is a collector that has reported nothing and is not
    /// needed or does not complete its message.
    bool joinDeadlineExpired(bool isFull);
    /// Called when the connection has ended.
    void connectionClosed();

    /// The proxy at the other end; std::nullopt for a collector and before a valid `hello`.
    std::optional<ProxyId> proxy() const { return proxy_; }
    /// Whether the peer has not yet identified itself, or is a collector that has not yet reported anything.
    bool isProvisional() const { return state_ == State::Unidentified || state_ == State::SilentCollector; }
    /// Whether the peer was rejected because it did not identify itself. It receives `error` before the
    /// connection is closed.
    bool isRejected() const { return state_ == State::Rejected; }

private:
    enum class State : std::uint8_t {
        Unidentified,
        SilentCollector, ///< has not reported anything yet
        Collector,
        ProxyStream,
        Rejected,
        Closed,
        Any
    };
    /// Inputs of the state machine. The message kinds come first, in the order of kMessageKinds.
    enum class Input : std::uint8_t {
        Probe,
        Agent,
        Hello,
        Ack,
        Outcomes,
        Demand,
        OtherMessage,
        InvalidMessage, ///< `agent` or `hello` with missing or invalid fields
        Unreadable,     ///< no message of a known kind, or a line that cannot be buffered
        JoinDeadline,
        NotNeeded, ///< the deadline of a collector whose connection is not needed
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
        State next; ///< Any: the state is unchanged
        Action action;
    };
    static const Transition kTransitions[];

    bool handleLine(std::string_view line);
    bool handleUnreadable(std::string_view text);
    bool handle(Input input, const Message& message, std::string_view text);
    bool perform(Action action, const Message& message, std::string_view text);
    void recordReport();
    bool isStuckInMessage();
    bool isNeededCollector(bool isFull);
    bool isUnidentified() const { return state_ == State::Unidentified; }
    bool isOpen() const { return state_ != State::Rejected && state_ != State::Closed; }

    InputTranslator& inputs_;
    Counters& counters_;
    PushStream& stream_;
    std::function<void()> answerProbe_;
    BufferPool& pool_;
    LineFramer framer_;
    State state_ = State::Unidentified;
    std::optional<ProxyId> proxy_;
    std::optional<ZoneId> collectorZone_;
    int deadlinesPassed_ = 0;
    bool wasIncompleteAtDeadline_ = false; // and no line has been completed since
};

} // namespace zincstack::net
