// The desired state of all proxies, as the planner last ordered it: tables, admission limits, exclusions, which proxy
// is joined through which transport, and the unacknowledged messages of the control channel. This is the only copy;
// transports read it and are notified of changes.
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
    double limit =
        0; ///< a fraction, or requests per second at each proxy, as ProxyFleetConfig::throttleMode says
    RetryPolicy retryPolicy = RetryPolicy::Never;
    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};

using EndpointWeights = std::map<EndpointId, double>;
using AdmissionLimits = std::map<RequestClassId, AdmissionLimit>;

struct RoutingTable {
    RequestClassSet requestClasses = 0;
    std::optional<ZoneId> zone; ///< of the proxies that use the table; none until it is assigned
    EndpointWeights weights;
    AdmissionLimits admission;
};

class RoutingState final : public RoutingUpdateSink {
public:
    RoutingState(net::NameRegistry& names, net::Counters& counters,
                 std::function<void(EndpointId)> startProbe, std::function<void(Micros)> scheduleWakeUp,
                 const ControlChannelLimits& channel = {});

    /// Transports are notified in the order in which they were added.
    void addTransport(UpdateTransport& transport);
    /// All proxies of the transport have left before.
    void removeTransport(UpdateTransport& transport);

    // Joined proxies. The newest session of a proxy wins, whichever transport it uses.

    /// True if the proxy had a session before; its transport is notified that it was replaced.
    bool proxyJoined(ProxyId proxy, ZoneId zone, UpdateTransport& transport);
    /// False, without effect, unless the proxy's session belongs to the transport.
    bool proxyLeft(ProxyId proxy, const UpdateTransport& transport);
    bool owns(ProxyId proxy, const UpdateTransport& transport) const;

    // Flow control of the control channel. Line counts include the overhead of the message.

    /// Whether a message of so many lines may be written to the proxy now.
    ChannelCredit::Admission checkCredit(ProxyId proxy, std::size_t lines, Urgency urgency) const;
    /// A message that ends with the barrier has been written to the proxy.
    void messageWritten(ProxyId proxy, BarrierId barrier, std::size_t lines);
    std::size_t messageOverheadLines() const { return messageOverheadLines_; }
    /// False if the proxy has no unacknowledged message with this barrier.
    bool barrierAcknowledged(ProxyId proxy, BarrierId barrier);
    /// Lines that may still wait in the channel, without those on transports' own channels.
    std::size_t unacknowledgedLines() const {
        return static_cast<std::size_t>(credit_.unacknowledgedLines());
    }
    /// The time of the current batch, or of the last one.
    Micros now() const { return now_; }

    // Desired state.

    /// Tables assigned to the proxy; empty while it still uses an inherited table.
    const std::set<TableId>& tablesOf(ProxyId proxy) const;
    const std::map<TableId, RoutingTable>& tables() const { return tables_; }
    const RoutingTable& table(TableId table) const { return tables_.at(table); }
    const std::set<EndpointId>& excludedEndpoints() const { return excluded_; }
    const AdmissionLimits& fleetWideAdmission() const { return fleetWideAdmission_; }
    /// The lower of the table's and the fleet-wide limit, with the table's retry policy; none if neither is set.
    std::optional<AdmissionLimit> effectiveAdmission(TableId table, RequestClassId requestClass) const;
    /// Whether the proxy may pick the endpoint. An inherited table may name any.
    bool mayRouteTo(ProxyId proxy, EndpointId endpoint) const;
    RequestClassSet allRequestClasses() const { return firstClasses(names_.requestClassCount()); }

    /// Ends the batch: every transport sends its pending changes as far as the channel has capacity.
    void flush(Micros now);

    // RoutingUpdateSink: the planner's decisions.

    void setWeight(TableId table, EndpointId endpoint, double weight) override;
    /// No request classes means all of them.
    void assignTable(ProxyId proxy, RequestClassSet requestClasses, TableId table) override;
    void setExcluded(EndpointId endpoint, bool excluded) override;
    /// No table means fleet-wide, no request classes means all of them.
    void setAdmission(std::optional<TableId> table, RequestClassSet requestClasses, double limit,
                      RetryPolicy retryPolicy) override;
    void requestBarrier(BarrierId barrier, bool everyProxy) override;
    void probe(EndpointId endpoint) override { startProbe_(endpoint); }
    void subscribeToEndpoints() override {} // discovery is always subscribed
    void scheduleWakeUp(Micros delay) override { scheduleWakeUp_(delay); }
    void report(const PlannerEvent& event) override;
    /// False while a proxy has still to be notified of the endpoint's removal: once its name is forgotten, it could
    /// not be notified any more.
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
