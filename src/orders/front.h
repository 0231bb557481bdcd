// A front: a protocol by which proxies hear what the planner orders. The order book tells every front what
// changes; each passes on what concerns its own proxies.
#pragma once

#include <cstddef>
#include <optional>

#include "planner/planner.h"

namespace zincstack::orders {

class Front {
public:
    virtual ~Front() = default;
    virtual void lineSet(TableId table, ServerId server, double weight) = 0;
    /// The proxy is one of its own, and is to hold that table besides those that it holds.
    virtual void bound(ProxyId proxy, TableId table) = 0;
    virtual void withdrawn(ServerId server, bool out) = 0;
    /// No table: for every joined proxy.
    virtual void levelSet(std::optional<TableId> table, ProductSet products) = 0;
    virtual void marked(MarkId number, bool everyProxy) = 0;
    virtual void forgotten(ServerId server) = 0;
    /// Some proxy has still to be told that the server is taken out.
    virtual bool owesRemoval(ServerId) const { return false; }
    /// A newer stream of the proxy is up, here or on another front: the one that it has here ends.
    virtual void replaced(ProxyId proxy) = 0;
    /// The batch of orders is complete.
    virtual void flush() = 0;
    /// Lets back at its proxy what earlier streams may have shut out; false where there is nothing.
    virtual bool letBack(ProxyId, std::size_t /*most*/) { return false; }
    /// Lines on their way on a channel of its own, beside those that the book counts.
    virtual double linesOnTheirWay() const { return 0; }
    /// Lines that were ordered and are held back until the channel has room for them; not those that wait for a proxy
    /// that stands still.
    virtual double linesHeldBack() const { return 0; }
    /// Something is held back that has no mark to go with.
    virtual bool needsMark() const { return false; }
    /// A binding takes the place of an earlier one for the same products.
    virtual bool rebinds() const { return false; }
};

} // namespace zincstack::orders
