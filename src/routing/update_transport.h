// The interface between the routing state and the protocols that deliver it to proxies. RoutingState notifies every
// transport of each change; a transport passes on what concerns the proxies that are connected to it.
#pragma once

#include <cstddef>
#include <optional>

#include "planner/planner.h"

namespace zincstack::routing {

class UpdateTransport {
public:
    virtual ~UpdateTransport() = default;

    virtual void weightChanged(TableId table, EndpointId endpoint, double weight) = 0;
    /// The proxy, which is connected to this transport, uses the table in addition to those it already uses.
    virtual void tableAssigned(ProxyId proxy, TableId table) = 0;
    virtual void exclusionChanged(EndpointId endpoint, bool excluded) = 0;
    /// Without a table the change applies to every joined proxy.
    virtual void admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) = 0;
    virtual void barrierRequested(BarrierId barrier, bool everyProxy) = 0;
    virtual void endpointForgotten(EndpointId endpoint) = 0;
    /// Whether some proxy has still to be notified that the endpoint was removed or excluded.
    virtual bool hasUndeliveredRemoval(EndpointId) const { return false; }

    /// The proxy has opened a newer session, on this transport or another one: its session here ends.
    virtual void sessionReplaced(ProxyId proxy) = 0;
    /// The batch of changes is complete and is to be sent.
    virtual void flush() = 0;
    /// Readmits endpoints that earlier sessions of the proxy may have excluded, at most `maxEndpoints`. False if
    /// there are none.
    virtual bool clearStaleExclusions(ProxyId, std::size_t /*maxEndpoints*/) { return false; }

    /// Unacknowledged lines on a channel of this transport's own, besides those that RoutingState counts.
    virtual double unacknowledgedLines() const { return 0; }
    /// Lines that wait for capacity in the channel, without those that wait for a proxy that does not respond.
    virtual double deferredLines() const { return 0; }
    /// Whether some pending update lacks the barrier that it needs to be sent.
    virtual bool needsBarrier() const { return false; }
    /// Whether assigning a table replaces an earlier assignment for the same request classes.
    virtual bool supportsReassignment() const { return false; }
};

} // namespace zincstack::routing
