// Typed events that the planner reports to the operator: ejections, load shedding, update deadlocks
// and limits during a warm-up.
//
// Events are informational: no routing update depends on them. The sink decides how to log an event.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "planner/ids.h"

namespace zincstack {

/// An endpoint was ejected, because its load reports showed an outlier and a health check confirmed the
/// failure. The planner then removes it from all tables.
struct EndpointEjected {
    EndpointId endpoint;
    double attempts = 0; ///< decayed number of attempts that the decision is based on
    double failures = 0; ///< decayed number of failures among these attempts
    friend bool operator==(const EndpointEjected&, const EndpointEjected&) = default;
};

/// An endpoint is no longer ejected: it recovered, restarted, started to drain or was removed from the
/// endpoint list.
struct EndpointReadmitted {
    EndpointId endpoint;
    double attempts = 0; ///< decayed number of attempts, including those before the ejection
    double failures = 0; ///< decayed number of failures among these attempts
    friend bool operator==(const EndpointReadmitted&, const EndpointReadmitted&) = default;
};

/// Admission control started to shed load.
struct LoadSheddingStarted {
    /// Offered work: requests per second times their latency objective, summed over the request classes.
    double demand = 0;
    /// Most work that the fleet has completed, decaying slowly, in the unit of `demand`.
    double bestCapacity = 0;
    /// Fraction of the median endpoint's attempts that are late, or that fail while its responses are slow.
    double overload = 0;
    friend bool operator==(const LoadSheddingStarted&, const LoadSheddingStarted&) = default;
};

/// Admission control admits all requests again. For the fields see LoadSheddingStarted.
struct LoadSheddingStopped {
    double demand = 0;
    double bestCapacity = 0;
    double overload = 0;
    friend bool operator==(const LoadSheddingStopped&, const LoadSheddingStopped&) = default;
};

/// No pending change fits the residual capacity of the endpoints. One table is updated nevertheless, and
/// admits fewer requests until the step ends: until all proxies have acknowledged it or it has timed out.
struct UpdateDeadlock {
    TableId table;
    double rateLimitFraction = 1; ///< fraction of the table's admitted requests that remains admitted
    friend bool operator==(const UpdateDeadlock&, const UpdateDeadlock&) = default;
};

/// Nearly all endpoints of a table are warming up, and its demand exceeds what they can serve.
struct WarmUpLimitStarted {
    TableId table;
    double admittedFraction = 1; ///< of the table's demand, at the start
    friend bool operator==(const WarmUpLimitStarted&, const WarmUpLimitStarted&) = default;
};

/// The endpoints of a table can serve its demand again.
struct WarmUpLimitStopped {
    TableId table;
    friend bool operator==(const WarmUpLimitStopped&, const WarmUpLimitStopped&) = default;
};

using PlannerEvent =
    std::variant<EndpointEjected, EndpointReadmitted, LoadSheddingStarted, LoadSheddingStopped,
                 UpdateDeadlock, WarmUpLimitStarted, WarmUpLimitStopped>;

/// Name of the event in logs, for example `endpoint_ejected`.
std::string_view eventName(const PlannerEvent& event);

/// The event as one line of text: its name and all its fields, with numeric identifiers.
std::string eventText(const PlannerEvent& event);

} // namespace zincstack
