// The transport that delivers routing updates on push streams of the platform protocol.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "metrics/counters.h"
#include "platform/channel_statistics.h"
#include "platform/pending_update.h"
#include "platform/push_stream.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

/// Keeps one pending update per proxy and writes it, as one message, as soon as the control channel has
/// capacity: urgent updates first, then the oldest. Encoded messages are never queued here; changes that have
/// to wait merge with later ones.
class UpdateQueue final : public routing::UpdateTransport {
public:
    UpdateQueue(routing::RoutingState& state, const NameRegistry& names, Counters& counters);
    ~UpdateQueue() override;
    UpdateQueue(const UpdateQueue&) = delete;
    UpdateQueue& operator=(const UpdateQueue&) = delete;

    /// Whether the proxy's session is on a connection that was accepted later than this one.
    bool hasNewerSession(ProxyId proxy, const PushStream& stream) const;
    /// Makes the stream the proxy's session and replaces any earlier one. Returns whether there was one.
    bool sessionOpened(ProxyId proxy, ZoneId zone, PushStream& stream);
    /// Ends the proxy's session. Returns false, without effect, if the stream is not the proxy's session.
    bool sessionClosed(ProxyId proxy, const PushStream& stream);
    /// Whether the stream is the proxy's current session.
    bool ownsSession(ProxyId proxy, const PushStream& stream) const;
    /// Records that a message arrived on the stream, which shows that the proxy is alive. Has no effect if
    /// the stream is not the proxy's session.
    void inputReceived(ProxyId proxy, const PushStream& stream, Micros now);
    /// Records an acknowledgement that cannot be used: it is invalid, or no message has its barrier.
    void unusableAcknowledgementReceived(ProxyId proxy);
    /// Returns false if the proxy has no unacknowledged message with this barrier.
    bool barrierAcknowledged(ProxyId proxy, BarrierId barrier);

    void weightChanged(TableId table, EndpointId endpoint, double weight) override;
    void tableAssigned(ProxyId proxy, TableId table) override;
    void exclusionChanged(EndpointId endpoint, bool excluded) override;
    void admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) override;
    void barrierRequested(BarrierId barrier, bool everyProxy) override;
    void endpointForgotten(EndpointId endpoint) override;
    bool hasUndeliveredRemoval(EndpointId endpoint) const override;
    void sessionReplaced(ProxyId proxy) override;
    void flush() override;
    bool clearStaleExclusions(ProxyId proxy, std::size_t maxEndpoints) override;
    double deferredLines() const override { return static_cast<double>(deferredLines_); }
    bool needsBarrier() const override { return needsBarrier_; }
    bool supportsReassignment() const override { return true; }

private:
    struct Session {
        PushStream* stream = nullptr;
        PendingUpdate pending;
        std::optional<Micros> pendingSince = {};
        /// The stream had no room for a message. The proxy is resynchronized once it has read everything that
        /// was queued before.
        bool isLagging = false;
    };
    enum class WriteResult : std::uint8_t {
        Written,
        ProxyBlocked, ///< no barrier is pending, or the proxy or its stream takes no more messages now
        ChannelFull   ///< the control channel has no capacity for a message of this size and urgency
    };
    /// A session with something to write, ordered by urgency and then by age.
    struct Candidate {
        Urgency urgency;
        Micros pendingSince;
        ProxyId proxy;
        auto operator<=>(const Candidate&) const = default;
    };

    std::vector<Candidate> prepareCandidates();
    WriteResult write(ProxyId proxy, Session& session, Urgency urgency);
    WriteResult write(ProxyId proxy, Session& session, Urgency urgency, UpdateScope scope);
    void recordWritten(ProxyId proxy, BarrierId barrier, const EncodedPush& encoded, std::size_t lines);
    void updateStatistics();

    routing::RoutingState& state_;
    const NameRegistry& names_;
    Counters& counters_;
    std::map<ProxyId, Session> sessions_;
    ChannelStatistics statistics_;
    std::size_t deferredLines_ = 0;
    bool needsBarrier_ = false;
};

} // namespace zincstack::net
