// Reads the fields of each event into the planner's own types. Every function throws InputError on a fault.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "planner/planner.h"
#include "simwire/codec.h"

namespace zincstack::simwire {

struct ProxyJoin {
    ProxyId proxy;
    ZoneId zone;
    double usualRate = 0; ///< requests a second
    bool hasOnlyBootstrapTable = false;
};
struct BarrierAcknowledgement {
    ProxyId proxy;
    BarrierId barrier;
};

/// The number of the instance that an event is for; the first field of all events but the endpoint list.
std::uint32_t readInstance(FieldReader& reader);

// These read to the end of the event.
ProxyJoin readProxyJoin(FieldReader& reader);
BarrierAcknowledgement readBarrierAcknowledgement(FieldReader& reader);
DemandReport readDemandReport(FieldReader& reader);
/// Replaces the entries of the list; their memory is reused.
void readEndpointList(FieldReader& reader, std::vector<EndpointUpdate>& entries);

// These read the part of an event before its last fields.
EndpointListUpdate readEndpointListUpdate(FieldReader& reader);
EndpointLoadReport readEndpointSums(FieldReader& reader);
ProbeResult readProbeOutcome(FieldReader& reader);

/// The figures that an endpoint tells of itself. Columns that have no name are read and ignored.
LoadReport readLoadReport(FieldReader& reader, const std::vector<std::string>& columns);

} // namespace zincstack::simwire
