// Planner events: the mode changes that the planner reports to the operator's log, as typed values.
//
// Events only inform; no routing update depends on them. The sink decides how an event is written.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "planner/ids.h"

namespace zincstack {

/// An endpoint is withdrawn from all tables: its load reports were bad and a health check confirmed it.
struct EndpointEjected {
    EndpointId endpoint;
    double attempts = 0; ///< decayed count of attempts that the decision is based on
    double failures = 0; ///< those of them that failed
    friend bool operator==(const EndpointEjected&, const EndpointEjected&) = default;
};

/// An ejected endpoint is no longer ejected: it recovered, restarted or was removed from the endpoint list.
struct EndpointReadmitted {
    EndpointId endpoint;
    double attempts = 0; ///< decayed count of attempts since the ejection
    double failures = 0; ///< those of them that failed
    friend bool operator==(const EndpointReadmitted&, const EndpointReadmitted&) = default;
};

/// Admission control begins to shed load.
struct LoadSheddingStarted {
    double demand = 0;       ///< work that is asked for: requests/s times their latency objective
    double bestCapacity = 0; ///< the most work that the fleet has completed, in the same unit
    double overload =
        0; ///< fraction of the median endpoint's attempts that are late or fail beside late ones
    friend bool operator==(const LoadSheddingStarted&, const LoadSheddingStarted&) = default;
};

/// Admission control admits everything again. The fields are those of LoadSheddingStarted.
struct LoadSheddingStopped {
    double demand = 0;
    double bestCapacity = 0;
    double overload = 0;
    friend bool operator==(const LoadSheddingStopped&, const LoadSheddingStopped&) = default;
};

/// No pending change fitted the capacity of the endpoints: one table moves at a reduced rate until the round ends.
struct UpdateDeadlock {
    TableId table;
    double rateLimitFraction = 1; ///< fraction of the table's requests that is admitted meanwhile
    friend bool operator==(const UpdateDeadlock&, const UpdateDeadlock&) = default;
};

using PlannerEvent = std::variant<EndpointEjected, EndpointReadmitted, LoadSheddingStarted,
                                  LoadSheddingStopped, UpdateDeadlock>;

/// The name of an event in logs, such as `endpoint_ejected`.
std::string_view eventName(const PlannerEvent& event);

/// One line of text: the name and all fields, identifiers as numbers.
std::string eventText(const PlannerEvent& event);

} // namespace zincstack
