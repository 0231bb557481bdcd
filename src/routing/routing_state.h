// The planner's orders as they stand, for all fronts: tables, levels, withdrawals, which proxy has joined
// where, and which messages have no answer yet. Every front reads it; none keeps a copy.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "metrics/counters.h"
#include "planner/channel_credit.h"
#include "planner/planner.h"
#include "routing/name_registry.h"
#include "routing/update_transport.h"

namespace zincstack::routing {

struct AdmissionLimit {
    double limit = 0; ///< a share, or txns a second at each proxy, as ProxyFleetConfig::throttle says
    RetryPolicy retryPolicy = RetryPolicy::Never;
    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};
using EndpointWeights = std::map<EndpointId, double>; ///< the weights of a table's servers
using AdmissionLimits = std::map<RequestClassId, AdmissionLimit>;

struct RoutingTable {
    RequestClassSet requestClasses = 0;
    std::optional<ZoneId> zone; ///< of the proxies that are bound to it; none before one was
    EndpointWeights weights;
    AdmissionLimits admission;
};

class RoutingState final : public RoutingUpdateSink {
public:
    RoutingState(net::NameRegistry& names, net::Counters& counters, std::function<void(EndpointId)> probe,
                 std::function<void(Micros)> wake, const ControlChannelLimits& channel = {});

    /// Fronts are told in the order in which they were added. A front that is taken away has no proxies left.
    void addTransport(UpdateTransport& front);
    void removeTransport(UpdateTransport& front);

    // -- who is joined; the newest stream of a proxy wins, whichever front it is on --
    /// True if the proxy had a stream before, which is told that it is replaced.
    bool proxyJoined(ProxyId proxy, ZoneId zone, UpdateTransport& front);
    /// False where the proxy is not this front's (any more).
    bool proxyLeft(ProxyId proxy, const UpdateTransport& front);
    bool owns(ProxyId proxy, const UpdateTransport& front) const;

    // -- what is on its way --
    /// Whether a message of so many lines, its head among them, may be written to the proxy now.
    ChannelCredit::Admission checkCredit(ProxyId proxy, std::size_t lines, Urgency urgency) const;
    /// A message of so many lines, its head among them and closed by a mark, has been written to the proxy.
    void messageWritten(ProxyId proxy, BarrierId number, std::size_t lines);
    std::size_t messageOverheadLines() const { return headLines_; }
    /// The proxy has answered a mark; false where no such mark was written to it, or it was answered.
    bool barrierAcknowledged(ProxyId proxy, BarrierId number);
    /// Lines that were written on fronts of this account and may still wait in the channel.
    std::size_t unacknowledgedLines() const {
        return static_cast<std::size_t>(credit_.unacknowledgedLines());
    }
    /// When the batch that is being written, or was last, is flushed.
    Micros now() const { return now_; }

    // -- what was ordered --
    /// Tables that the proxy is bound to; none where it holds only what it came with.
    const std::set<TableId>& tablesOf(ProxyId proxy) const;
    const std::map<TableId, RoutingTable>& tables() const { return tables_; }
    const RoutingTable& table(TableId table) const { return tables_.at(table); }
    const std::set<EndpointId>& excludedEndpoints() const { return withdrawn_; }
    const AdmissionLimits& fleetWideAdmission() const { return everywhere_; }
    /// Where a level is set for a table and for all, the lower one holds, with the table's way of trying
    /// again; none where neither is set.
    std::optional<AdmissionLimit> effectiveAdmission(TableId table, RequestClassId product) const;
    /// Whether the proxy may pick the server, as far as is known here: an old table may name any.
    bool mayRouteTo(ProxyId proxy, EndpointId server) const;
    RequestClassSet allRequestClasses() const {
        return static_cast<RequestClassSet>((1U << names_.requestClassCount()) - 1);
    }

    /// Every front writes what was ordered, as far as the channel has room for it.
    void flush(Micros now);

    // -- orders --
    void setWeight(TableId table, EndpointId server, double weight) override;
    void assignTable(ProxyId proxy, RequestClassSet products, TableId table) override;
    void setExcluded(EndpointId server, bool out) override;
    void setAdmission(std::optional<TableId> table, RequestClassSet products, double level,
                      RetryPolicy tries) override;
    void requestBarrier(BarrierId number, bool everyProxy) override;
    void probe(EndpointId server) override { probe_(server); }
    void subscribeToEndpoints() override {} // the list is always followed
    void scheduleWakeUp(Micros span) override { wake_(span); }
    void log(std::string_view line) override;
    /// A binding lets back what its stream was not told of, so nothing need be known of who has ended.
    bool forgetEndpoint(EndpointId server) override;
    bool clearStaleExclusions(ProxyId proxy, std::size_t most) override;
    std::optional<double> pendingLines() const override;
    bool needsBarrier() const override;
    bool supportsReassignment(ProxyId proxy) const override;

private:
    struct Member {
        UpdateTransport* front;
        ZoneId zone;
        std::set<TableId> tables = {};
    };
    double elsewhere() const;

    net::NameRegistry& names_;
    net::Counters& counters_;
    std::function<void(EndpointId)> probe_;
    std::function<void(Micros)> wake_;
    std::vector<UpdateTransport*> fronts_;
    std::map<TableId, RoutingTable> tables_;
    AdmissionLimits everywhere_; // levels for all joined proxies
    std::set<EndpointId> withdrawn_;
    std::map<ProxyId, Member> members_;
    const std::size_t headLines_;
    ChannelCredit credit_;
    Micros now_{};
};

} // namespace zincstack::routing
