// Decodes the fields of each event into the planner's types. Every function throws InputError if a field is
// malformed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "planner/planner.h"
#include "simwire/codec.h"

namespace zincstack::simwire {

/// Event ProxyJoined: a proxy has connected.
struct ProxyJoin {
    ProxyId proxy;
    ZoneId zone;
    double expectedRate = 0;            ///< requests per second, used until the first demand report
    bool hasOnlyBootstrapTable = false; ///< false: the proxy holds a table from an earlier planner
};
/// Event BarrierAcknowledged: a proxy has applied the message that the barrier closed.
struct BarrierAcknowledgement {
    ProxyId proxy;
    BarrierId barrier;
};

/// Number of the planner instance that the event is addressed to. It is the first field of every event except
/// the endpoint list.
std::uint32_t readInstance(FieldReader& reader);

// These functions read all remaining fields of the event.
ProxyJoin readProxyJoin(FieldReader& reader);
BarrierAcknowledgement readBarrierAcknowledgement(FieldReader& reader);
DemandReport readDemandReport(FieldReader& reader);
/// Replaces the contents of `entries`, whose memory is reused.
void readEndpointList(FieldReader& reader, std::vector<EndpointUpdate>& entries);

// These functions leave the last fields of the event to the caller.
EndpointListUpdate readEndpointListUpdate(FieldReader& reader);
EndpointLoadReport readLoadReportHeader(FieldReader& reader);
ProbeResult readProbeResultHeader(FieldReader& reader);

/// Load figures that the endpoint reports about itself. `columns` names them in order; values beyond the last
/// name are read and ignored.
LoadReport readLoadReport(FieldReader& reader, const std::vector<std::string>& columns);

} // namespace zincstack::simwire
