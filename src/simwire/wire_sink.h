// Encodes the updates of one planner as actions in the reply to a batch.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "planner/planner.h"
#include "simwire/codec.h"

namespace zincstack::simwire {

/// Appends each update to the reply without buffering, with the number of the planner instance. `reply` must
/// outlive the sink.
class WireSink final : public RoutingUpdateSink {
public:
    WireSink(ReplyWriter& reply, std::uint32_t instance) : reply_(reply), instance_(instance) {}
    void setWeight(TableId table, EndpointId endpoint, double weight) override;
    void assignTable(ProxyId proxy, RequestClassSet classes, TableId table) override;
    void setExcluded(EndpointId endpoint, bool excluded) override;
    void setAdmission(std::optional<TableId> table, RequestClassSet classes, double level,
                      RetryPolicy retryPolicy) override;
    void requestBarrier(BarrierId barrier, bool everyProxy) override;
    void probe(EndpointId endpoint) override;
    void subscribeToEndpoints() override;
    void scheduleWakeUp(Micros delay) override;
    void report(const PlannerEvent& event) override;

private:
    ReplyWriter& reply_;
    const std::uint32_t instance_;
};

} // namespace zincstack::simwire
