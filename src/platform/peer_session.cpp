#include "platform/peer_session.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace zincstack::net {

namespace {

/// A peer that has not identified itself gets no block of the pool. Enough for `agent` and `hello`.
constexpr std::size_t kMaxUnidentifiedLineBytes = kOwnBufferBytes;
/// Collectors leave 1/kProxyBlockDivisor of the pool to proxies.
constexpr std::size_t kProxyBlockDivisor = 4;
/// Those that have not reported anything leave 1/kReporterBlockDivisor.
constexpr std::size_t kReporterBlockDivisor = 2;
/// Deadlines after which a collector that has not reported anything must be among the needed ones of its zone,
/// unless connections are scarce. A collector reports about once a second.
constexpr int kDeadlinesUntilNeeded = 2;

/// The message kinds of the protocol, in the order of PeerSession::Input. The kinds after `demand` are not
/// valid as input on this connection; all of them map to Input::OtherMessage.
constexpr std::string_view kMessageKinds[] = {"probe", "agent", "hello", "ack",  "outcomes", "demand", "push",
                                              "alive", "error", "hot",   "line", "lease",    "bye"};

bool beginsMessageKind(std::string_view text) {
    return std::ranges::any_of(kMessageKinds, [&](auto kind) { return kind.starts_with(text); });
}

} // namespace

/// The first entry that matches the state and the input applies.
const PeerSession::Transition PeerSession::kTransitions[] = {
    {State::Any, Input::Probe, State::Any, Action::AnswerProbe},
    {State::Unidentified, Input::Agent, State::SilentCollector, Action::IdentifyCollector},
    {State::Unidentified, Input::Hello, State::ProxyStream, Action::JoinProxy},
    {State::Unidentified, Input::Any, State::Rejected, Action::Reject},
    {State::Any, Input::JoinDeadline, State::Any, Action::None},
    {State::Any, Input::NotNeeded, State::Closed, Action::Reject},
    {State::Any, Input::Unreadable, State::Closed, Action::Close},
    {State::SilentCollector, Input::Outcomes, State::Any, Action::ReportLoad},
    {State::SilentCollector, Input::Demand, State::Any, Action::ReportDemand},
    {State::Collector, Input::Outcomes, State::Collector, Action::ReportLoad},
    {State::Collector, Input::Demand, State::Collector, Action::ReportDemand},
    {State::ProxyStream, Input::Demand, State::ProxyStream, Action::ReportDemand},
    {State::ProxyStream, Input::Ack, State::ProxyStream, Action::AcknowledgeBarrier},
    {State::Any, Input::Any, State::Any, Action::IgnoreMessage},
};

PeerSession::PeerSession(InputTranslator& inputs, Counters& counters, BufferPool& pool, PushStream& stream,
                         std::function<void()> answerProbe)
    : inputs_(inputs), counters_(counters), stream_(stream), answerProbe_(std::move(answerProbe)),
      pool_(pool), framer_(pool) {}

bool PeerSession::feed(std::string_view bytes) {
    counters_.add(Counter::BytesIn, bytes.size());
    const auto maxLineBytes = [this] { return isUnidentified() ? kMaxUnidentifiedLineBytes : kMaxLineBytes; };
    switch (framer_.feed(bytes, maxLineBytes, [this](std::string_view line) { return handleLine(line); })) {
    case LineFramer::Outcome::Incomplete: {
        // Rejects a line that cannot become a message without waiting for its end.
        const auto kind = framer_.unfinishedLine().substr(0, framer_.unfinishedLine().find_first_of(" \r"));
        return beginsMessageKind(kind) || handleUnreadable(kind);
    }
    case LineFramer::Outcome::Stopped: return false;
    case LineFramer::Outcome::InvalidByte:
        return handleUnreadable("control characters or invalid UTF-8 bytes");
    case LineFramer::Outcome::TooLong:
        counters_.recordIgnored(Counter::TooLong,
                                "line longer than " + std::to_string(maxLineBytes()) + " bytes");
        return handleUnreadable("line too long");
    case LineFramer::Outcome::OutOfBuffers:
        counters_.recordIgnored(Counter::NoRoom, "no buffer left for an unfinished line");
        return handleUnreadable("no buffer left");
    }
    return false;
}

bool PeerSession::joinDeadlineExpired(bool isFull) {
    if (isUnidentified()) return handle(Input::JoinDeadline, {}, "peer did not identify itself in time");
    if (state_ != State::SilentCollector) return isOpen();
    if (isStuckInMessage())
        return handle(Input::NotNeeded, {}, "collector did not complete its first report");
    if (!isNeededCollector(isFull)) return handle(Input::NotNeeded, {}, "collector without reports");
    return true;
}

/// Whether the line that is incomplete now was already incomplete at the previous deadline.
bool PeerSession::isStuckInMessage() {
    const bool isIncomplete = !framer_.unfinishedLine().empty();
    return std::exchange(wasIncompleteAtDeadline_, isIncomplete) && isIncomplete;
}

bool PeerSession::isNeededCollector(bool isFull) {
    ++deadlinesPassed_;
    if (deadlinesPassed_ < kDeadlinesUntilNeeded && !isFull) return true;
    return inputs_.collectors().isNeeded(*collectorZone_, stream_);
}

void PeerSession::connectionClosed() {
    if (proxy_) inputs_.streamClosed(*proxy_, stream_);
    proxy_.reset();
    if (collectorZone_) inputs_.collectors().left(*collectorZone_, stream_);
    collectorZone_.reset();
}

bool PeerSession::handleLine(std::string_view line) {
    counters_.add(Counter::LinesIn);
    wasIncompleteAtDeadline_ = false;
    const auto message = parseMessage(line);
    const auto* const kind =
        message ? std::ranges::find(kMessageKinds, message->kind) : std::end(kMessageKinds);
    if (kind == std::end(kMessageKinds)) {
        counters_.recordIgnored(message ? Counter::BadKind : Counter::BadLine, line);
        return handleUnreadable(line);
    }
    if (proxy_) inputs_.streamActive(*proxy_, stream_);
    const auto input = static_cast<Input>(kind - std::begin(kMessageKinds));
    return handle(std::min(input, Input::OtherMessage), *message, line);
}

bool PeerSession::handleUnreadable(std::string_view text) { return handle(Input::Unreadable, {}, text); }

/// Applies the transition for the input. Returns false if no more input is accepted.
bool PeerSession::handle(Input input, const Message& message, std::string_view text) {
    const auto* const transition = std::ranges::find_if(kTransitions, [&](const Transition& candidate) {
        return (candidate.input == input || candidate.input == Input::Any) &&
               (candidate.state == state_ || candidate.state == State::Any);
    });
    if (!perform(transition->action, message, text)) return handle(Input::InvalidMessage, message, text);
    if (transition->next != State::Any) state_ = transition->next;
    return isOpen();
}

/// Called after each valid report of a collector or a proxy.
void PeerSession::recordReport() {
    if (!collectorZone_) return;
    inputs_.collectors().reported(*collectorZone_, stream_);
    if (state_ != State::SilentCollector) return;
    state_ = State::Collector;
    framer_.leaveBlocks(pool_.capacity() / kProxyBlockDivisor);
}

/// Returns false if an `agent` or `hello` is invalid. Other invalid messages are only counted and ignored.
bool PeerSession::perform(Action action, const Message& message, std::string_view text) {
    switch (action) {
    case Action::None: return true;
    case Action::AnswerProbe: answerProbe_(); return true;
    case Action::IdentifyCollector:
        framer_.leaveBlocks(pool_.capacity() / kReporterBlockDivisor);
        collectorZone_ = inputs_.handleAgent(message, stream_);
        return collectorZone_.has_value();
    case Action::JoinProxy: proxy_ = inputs_.handleHello(message, stream_); return proxy_.has_value();
    case Action::AcknowledgeBarrier: inputs_.handleAck(message, *proxy_, stream_); return true;
    case Action::ReportLoad:
        if (inputs_.handleOutcomes(message)) recordReport();
        return true;
    case Action::ReportDemand:
        if (inputs_.handleDemand(message, proxy_)) recordReport();
        return true;
    case Action::IgnoreMessage: counters_.recordIgnored(Counter::OutOfPlace, text); return true;
    case Action::Reject: counters_.recordIgnored(Counter::RefusedStranger, text); return true;
    case Action::Close: counters_.recordIgnored(Counter::Unreadable, text); return true;
    }
    return false;
}

} // namespace zincstack::net
