// The desired state of all proxies according to the planner's decisions: tables, admission limits and
// exclusions. Also records which proxy is joined through which transport, and the unacknowledged messages of
// the control channel. This is the only copy: transports read it and are notified of changes.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "metrics/counters.h"
#include "planner/channel_credit.h"
#include "planner/planner.h"
#include "routing/name_registry.h"
#include "routing/request_class_set.h"
#include "routing/update_transport.h"

namespace zincstack::routing {

struct AdmissionLimit {
    /// A fraction, or requests per second at each proxy, depending on ProxyFleetConfig::throttleMode.
    double limit = 0;
    RetryPolicy retryPolicy = RetryPolicy::Never;
    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};

using EndpointWeights = std::map<EndpointId, double>;
using AdmissionLimits = std::map<RequestClassId, AdmissionLimit>;

struct RoutingTable {
    RequestClassSet requestClasses = 0;
    std::optional<ZoneId> zone; ///< of the proxies that use the table; unset until the table is assigned
    EndpointWeights weights;
    AdmissionLimits admission;
};

/// Receives the planner's decisions, applies them to the desired state and notifies the transports.
class RoutingState final : public RoutingUpdateSink {
public:
    /// `startProbe` and `scheduleWakeUp` carry out the planner's calls of `probe` and `scheduleWakeUp`.
    RoutingState(net::NameRegistry& names, net::Counters& counters,
                 std::function<void(EndpointId)> startProbe, std::function<void(Micros)> scheduleWakeUp,
                 const ControlChannelLimits& channel = {});

    /// Transports are notified in the order in which they were added.
    void addTransport(UpdateTransport& transport);
    /// All proxies of the transport must have left.
    void removeTransport(UpdateTransport& transport);

    // Joined proxies. The newest session of a proxy replaces an earlier one, also one on another transport.

    /// True if the session replaces an earlier one; the transport of the earlier session is notified.
    bool proxyJoined(ProxyId proxy, ZoneId zone, UpdateTransport& transport);
    /// Has no effect and returns false unless the proxy's session is on the transport.
    bool proxyLeft(ProxyId proxy, const UpdateTransport& transport);
    /// Whether the proxy's session is on the transport.
    bool isJoinedThrough(ProxyId proxy, const UpdateTransport& transport) const;

    // Flow control of the control channel. Line counts include the overhead of messages.

    /// Whether a message of `lines` lines may be written to the proxy in the current batch.
    ChannelCredit::Admission checkCredit(ProxyId proxy, std::size_t lines, Urgency urgency) const;
    /// Records that something arrived from the proxy, and that an acknowledgement could not be used. Neither
    /// returns credit.
    void inputReceived(ProxyId proxy, Micros now) { credit_.inputReceived(proxy, now); }
    void unusableAcknowledgementReceived(ProxyId proxy) { credit_.unusableAcknowledgementReceived(proxy); }
    /// Whether the proxy's acknowledgements are overdue and nothing else arrives from it, see ChannelCredit.
    bool isStalled(ProxyId proxy) const { return credit_.isStalled(proxy); }
    /// Records that a message that ends with the barrier was written to the proxy.
    void messageWritten(ProxyId proxy, BarrierId barrier, std::size_t lines);
    std::size_t messageOverheadLines() const { return messageOverheadLines_; }
    /// Records an acknowledgement. False if the proxy has no unacknowledged message with this barrier.
    bool barrierAcknowledged(ProxyId proxy, BarrierId barrier);
    /// Lines that may still be in the channel, excluding those that a transport counts itself (see
    /// UpdateTransport::unacknowledgedLines).
    std::size_t unacknowledgedLines() const {
        return static_cast<std::size_t>(credit_.unacknowledgedLines());
    }
    /// The time passed to the last call of `flush`.
    Micros now() const { return now_; }

    // Desired state.

    /// Tables assigned to the proxy. Empty if none is assigned yet, as while it uses an inherited table.
    const std::set<TableId>& tablesOf(ProxyId proxy) const;
    const std::map<TableId, RoutingTable>& tables() const { return tables_; }
    const RoutingTable& table(TableId table) const { return tables_.at(table); }
    const std::set<EndpointId>& excludedEndpoints() const { return excluded_; }
    const AdmissionLimits& fleetWideAdmission() const { return fleetWideAdmission_; }
    /// The lower of the table's limit and the fleet-wide limit, with the table's retry policy if the table
    /// has a limit. std::nullopt if neither is set. The table must exist.
    std::optional<AdmissionLimit> effectiveAdmission(TableId table, RequestClassId requestClass) const;
    /// Whether the proxy may send requests to the endpoint. Always true for a proxy without an assigned
    /// table, since an inherited table can contain any endpoint.
    bool mayRouteTo(ProxyId proxy, EndpointId endpoint) const;
    RequestClassSet allRequestClasses() const { return firstClasses(names_.requestClassCount()); }

    /// Ends the batch: each transport sends its pending changes as far as the channel has capacity.
    void flush(Micros now);

    // RoutingUpdateSink: the planner's decisions. An empty set of request classes means all of them.

    void setWeight(TableId table, EndpointId endpoint, double weight) override;
    /// Replaces those of the proxy's tables that cover any of the same request classes.
    void assignTable(ProxyId proxy, RequestClassSet requestClasses, TableId table) override;
    void setExcluded(EndpointId endpoint, bool excluded) override;
    /// Without a table the limit is fleet-wide.
    void setAdmission(std::optional<TableId> table, RequestClassSet requestClasses, double limit,
                      RetryPolicy retryPolicy) override;
    void requestBarrier(BarrierId barrier, bool everyProxy) override;
    void probe(EndpointId endpoint) override { startProbe_(endpoint); }
    void subscribeToEndpoints() override {} // discovery is always subscribed
    void scheduleWakeUp(Micros delay) override { scheduleWakeUp_(delay); }
    void report(const PlannerEvent& event) override;
    /// Has no effect and returns false while the endpoint's removal still has to be sent to some proxy, which
    /// requires the endpoint's name.
    bool forgetEndpoint(EndpointId endpoint) override;
    bool clearStaleExclusions(ProxyId proxy, std::size_t maxEndpoints) override;
    std::optional<double> pendingLines() const override;
    bool needsBarrier() const override;
    bool supportsReassignment(ProxyId proxy) const override;

private:
    struct JoinedProxy {
        UpdateTransport* transport;
        ZoneId zone;
        std::set<TableId> tables = {};
    };

    double transportUnacknowledgedLines() const;

    net::NameRegistry& names_;
    net::Counters& counters_;
    std::function<void(EndpointId)> startProbe_;
    std::function<void(Micros)> scheduleWakeUp_;
    std::vector<UpdateTransport*> transports_;
    std::map<TableId, RoutingTable> tables_;
    AdmissionLimits fleetWideAdmission_;
    std::set<EndpointId> excluded_;
    std::map<ProxyId, JoinedProxy> proxies_;
    const std::size_t messageOverheadLines_;
    ChannelCredit credit_;
    Micros now_{};
};

} // namespace zincstack::routing
