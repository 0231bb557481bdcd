// The platform's front: keeps for each proxy's stream what was ordered and has not been written yet, and writes it, one
// message a proxy, as far as the channel's credit goes. What is held back merges with what is ordered later, so no
// message is ever queued here; withdrawals and first tables go before all else, the oldest first.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "metrics/counters.h"
#include "platform/channel_statistics.h"
#include "platform/push_encoder.h"
#include "platform/push_stream.h"
#include "routing/name_registry.h"
#include "routing/routing_state.h"

namespace zincstack::net {

class UpdateQueue final : public routing::UpdateTransport {
public:
    UpdateQueue(routing::RoutingState& book, const NameRegistry& names, Counters& counters);
    ~UpdateQueue() override;
    UpdateQueue(const UpdateQueue&) = delete;
    UpdateQueue& operator=(const UpdateQueue&) = delete;

    /// A stream of the proxy is up; whatever one it had before is not its own any more. True if it had one.
    bool sessionOpened(ProxyId proxy, ZoneId zone, PushStream& stream);
    /// True if that stream was the proxy's own: the proxy has left.
    bool sessionClosed(ProxyId proxy, const PushStream& stream);
    bool ownsSession(ProxyId proxy, const PushStream& stream) const;
    /// The proxy has answered a mark; false where none such waits for its answer.
    bool barrierAcknowledged(ProxyId proxy, BarrierId number);

    void weightChanged(TableId table, EndpointId server, double weight) override;
    void tableAssigned(ProxyId proxy, TableId table) override;
    void exclusionChanged(EndpointId server, bool out) override;
    void admissionChanged(std::optional<TableId> table, RequestClassSet products) override;
    void barrierRequested(BarrierId number, bool everyProxy) override;
    void endpointForgotten(EndpointId server) override;
    bool hasUndeliveredRemoval(EndpointId server) const override;
    void sessionReplaced(ProxyId proxy) override;
    void flush() override;
    bool clearStaleExclusions(ProxyId proxy, std::size_t most) override;
    double deferredLines() const override { return static_cast<double>(linesHeldBack_); }
    bool needsBarrier() const override { return needsMark_; }
    bool supportsReassignment() const override { return true; }

private:
    /// What was ordered for one stream and has not been written on it.
    struct Held {
        PushStream* stream;
        std::map<EndpointId, bool> shut =
            {}; // as last ordered on this stream; absent: as earlier streams left it
        std::map<TableId, TableUpdate> parts = {};
        routing::AdmissionLimits loose = {}; // levels ordered while it is bound to no table
        std::set<EndpointId> shutNow = {}, letNow = {};
        std::optional<BarrierId> mark = {};
        std::optional<Micros> since = {}; // when the oldest of it was ordered
        bool behind = false;
        bool hasTable = false; // a whole table has been written on this stream

        bool concerned() const {
            return !parts.empty() || !loose.empty() || !shutNow.empty() || !letNow.empty();
        }
        bool replacesTable() const;
        bool urgent() const;
    };
    enum class Scope : std::uint8_t { All, UrgentOnly };
    enum class Outcome : std::uint8_t { Written, Waits, QueueFull };
    struct Candidate {
        Urgency urgency;
        Micros since;
        ProxyId proxy;
        auto operator<=>(const Candidate&) const = default;
    };

    void tell(Held& held, EndpointId server, bool out);
    std::vector<Candidate> candidates();
    void prepare(ProxyId proxy, Held& held);
    std::size_t countLines(const Held& held, Scope scope) const;
    PushMessage take(Held& held, Scope scope);
    TableUpdate takePart(TableId table, TableUpdate& part, Scope scope, bool first);
    Outcome write(ProxyId proxy, Held& held, Urgency urgency);
    Outcome write(ProxyId proxy, Held& held, Urgency urgency, Scope scope);
    void resync(ProxyId proxy, Held& held);
    void report();

    routing::RoutingState& book_;
    const NameRegistry& names_;
    Counters& counters_;
    std::map<ProxyId, Held> held_;
    ChannelStatistics report_;
    std::size_t linesHeldBack_ = 0;
    bool needsMark_ = false;
};

} // namespace zincstack::net
