// The interface between the routing state and the protocols that deliver it to proxies. RoutingState notifies
// every transport of each change, and a transport sends its proxies the changes that concern them.
#pragma once

#include <cstddef>
#include <optional>

#include "planner/planner.h"

namespace zincstack::routing {

/// A protocol that delivers the routing state to the proxies connected through it.
class UpdateTransport {
public:
    virtual ~UpdateTransport() = default;

    /// A weight of 0 or less means that the endpoint was removed from the table.
    virtual void weightChanged(TableId table, EndpointId endpoint, double weight) = 0;
    /// The table was assigned to the proxy, which is connected through this transport. The proxy's other
    /// tables that cover any of the same request classes are no longer assigned to it.
    virtual void tableAssigned(ProxyId proxy, TableId table) = 0;
    virtual void exclusionChanged(EndpointId endpoint, bool excluded) = 0;
    /// Without a table the change applies to every joined proxy.
    virtual void admissionChanged(std::optional<TableId> table, RequestClassSet requestClasses) = 0;
    /// Sets the barrier that ends the next message of each proxy with pending changes or, if `everyProxy` is
    /// set, of every proxy.
    virtual void barrierRequested(BarrierId barrier, bool everyProxy) = 0;
    /// The endpoint's name and id are invalid after this call.
    virtual void endpointForgotten(EndpointId endpoint) = 0;
    /// Whether the removal or exclusion of the endpoint still has to be sent to some proxy.
    virtual bool hasUndeliveredRemoval(EndpointId) const { return false; }

    /// The proxy's session on this transport ends: the proxy has opened a newer one, on this or another
    /// transport.
    virtual void sessionReplaced(ProxyId proxy) = 0;
    /// Called when the batch is complete. Sends the pending changes as far as the channel has capacity.
    virtual void flush() = 0;
    /// Readmits at most `maxEndpoints` endpoints that the proxy may still exclude because of an earlier
    /// session. False if there are none.
    virtual bool clearStaleExclusions(ProxyId, std::size_t /*maxEndpoints*/) { return false; }

    /// Unacknowledged lines that this transport counts itself, in addition to those that RoutingState counts.
    virtual double unacknowledgedLines() const { return 0; }
    /// Lines that wait for capacity in the channel, excluding those that wait only for their own proxy.
    virtual double deferredLines() const { return 0; }
    /// Whether some pending update cannot be sent because it has no barrier yet.
    virtual bool needsBarrier() const { return false; }
    /// Whether assigning a table replaces an earlier assignment for the same request classes.
    virtual bool supportsReassignment() const { return false; }
};

} // namespace zincstack::routing
