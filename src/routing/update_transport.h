// A front: a protocol by which proxies hear what the planner orders. The order book tells every front what
// changes; each passes on what concerns its own proxies.
#pragma once

#include <cstddef>
#include <optional>

#include "planner/planner.h"

namespace zincstack::routing {

class UpdateTransport {
public:
    virtual ~UpdateTransport() = default;
    virtual void weightChanged(TableId table, EndpointId server, double weight) = 0;
    /// The proxy is one of its own, and is to hold that table besides those that it holds.
    virtual void tableAssigned(ProxyId proxy, TableId table) = 0;
    virtual void exclusionChanged(EndpointId server, bool out) = 0;
    /// No table: for every joined proxy.
    virtual void admissionChanged(std::optional<TableId> table, RequestClassSet products) = 0;
    virtual void barrierRequested(BarrierId number, bool everyProxy) = 0;
    virtual void endpointForgotten(EndpointId server) = 0;
    /// Some proxy has still to be told that the server is taken out.
    virtual bool hasUndeliveredRemoval(EndpointId) const { return false; }
    /// A newer stream of the proxy is up, here or on another front: the one that it has here ends.
    virtual void sessionReplaced(ProxyId proxy) = 0;
    /// The batch of orders is complete.
    virtual void flush() = 0;
    /// Lets back at its proxy what earlier streams may have shut out; false where there is nothing.
    virtual bool clearStaleExclusions(ProxyId, std::size_t /*most*/) { return false; }
    /// Lines on their way on a channel of its own, beside those that the book counts.
    virtual double unacknowledgedLines() const { return 0; }
    /// Lines that were ordered and are held back until the channel has room for them; not those that wait for a proxy
    /// that stands still.
    virtual double deferredLines() const { return 0; }
    /// Something is held back that has no mark to go with.
    virtual bool needsBarrier() const { return false; }
    /// A binding takes the place of an earlier one for the same products.
    virtual bool supportsReassignment() const { return false; }
};

} // namespace zincstack::routing
