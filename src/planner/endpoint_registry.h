// State of each endpoint: identity, health and load figures. State only; decisions are made in other modules.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "planner/planner.h"

namespace zincstack {

/// Dense index of an endpoint in the registry; it is reused after the endpoint has been forgotten.
using EndpointIndex = std::size_t;

/// A duration as a floating-point number of seconds.
inline double seconds(Micros duration) { return static_cast<double>(duration.count()) / 1e6; }

/// Health of an endpoint as the planner judges it.
enum class HealthState : std::uint8_t {
    Removed,  ///< draining, or removed from the endpoint list; out of service, and no table may name it
    Healthy,  ///< in service
    Suspect,  ///< in service; load reports show an outlier, and a health check has to confirm it
    Unlisted, ///< in service; the endpoint list removed it, and a health check has to confirm that
    Ejected,  ///< an outlier, out of service until health checks succeed again
    Any       ///< only in transition tables: applies in every state
};

/// State of all endpoints as parallel arrays with a dense index, each with `size()` elements. The index of a
/// forgotten endpoint goes to the next new one. Late input for the forgotten endpoint is not applied to the
/// new one, because the id of the forgotten one no longer maps to an index.
struct EndpointRegistry {
    std::map<EndpointId, EndpointIndex> indexById;
    std::vector<EndpointIndex> freeIndexes; ///< of forgotten endpoints, which are removed and in no table

    std::vector<EndpointId> id;
    std::vector<ZoneId> zone;
    std::vector<double> listedWeight; ///< from the endpoint list; 1 if the list has no weight for it
    std::vector<Micros> startedAt;    ///< from the endpoint list; zero: long ago, so it is warm
    std::vector<char> forgotten;      ///< the entry is free

    std::vector<HealthState> health;
    /// When it was last added to service, readmitted, reduced in weight or removed. Ejection does not set it.
    std::vector<Micros> healthChangedAt;
    std::vector<Micros> holdUntil;   ///< no readmission and no slow-start step up before then
    std::vector<char> weightReduced; ///< it was slow: its weight recovers one step per kMinReducedTime
    std::vector<int> slowStartStep;  ///< 0 to kSlowStartSteps, which is the full listed weight
    std::vector<char> probeInFlight;
    std::vector<Micros> nextProbeAt;
    std::vector<int> consecutiveProbeSuccesses;

    std::vector<char> excluded;     ///< excluded from all tables, inherited ones included
    std::vector<Micros> excludedAt; ///< when an exclusion or readmission was last issued

    std::vector<char> hasSucceeded; ///< an attempt has succeeded since it was added to service
    std::vector<double> attempts;   ///< decayed count from load reports
    std::vector<double> failures;   ///< decayed count of failed attempts, from load reports
    std::vector<double> latencySum; ///< decayed sum of the latencies of successful attempts, in seconds
    std::vector<double> saturation; ///< smoothed fraction of attempts that fail or are late
    /// Requests in flight in its last report, or else its queue length, or 0 if the report has neither.
    std::vector<double> inFlight;
    /// Fleet-wide counts of reports and attempts at the time of its last report, or of its last addition to
    /// service, readmission or weight reduction if that was later.
    std::vector<double> fleetReportsAtLastReport;
    std::vector<double> fleetAttemptsAtLastReport;

    /// Number of entries, including free ones.
    EndpointIndex size() const { return id.size(); }

    /// Number of known endpoints, without free entries.
    EndpointIndex knownCount() const { return indexById.size(); }

    /// Returns the index of a listed endpoint. A new one gets an entry with all figures at zero, in state
    /// Removed.
    EndpointIndex add(const EndpointUpdate& entry);

    /// Frees the entry of a removed endpoint for reuse.
    void forget(EndpointIndex endpoint);

    /// Returns the index of an endpoint, or null if it is not known.
    const EndpointIndex* find(EndpointId endpoint) const;

    /// Sum of `figure(index)` over all entries, free ones included, in the order of their indexes.
    double sum(const auto& figure) const {
        double total = 0;
        for (EndpointIndex endpoint = 0; endpoint < size(); ++endpoint) total += figure(endpoint);
        return total;
    }

    /// Fraction of attempts that failed; 0 if there were none.
    double failureRatio(EndpointIndex endpoint) const {
        return attempts[endpoint] > 0 ? failures[endpoint] / attempts[endpoint] : 0;
    }

    /// Fraction of a zone's known endpoints that are excluded; 0 if there are none.
    double excludedFraction(ZoneId zoneId) const;

    /// Whether the endpoint may get requests: healthy, suspect or unlisted.
    bool isInService(EndpointIndex endpoint) const {
        const HealthState state = health[endpoint];
        return state == HealthState::Healthy || state == HealthState::Suspect ||
               state == HealthState::Unlisted;
    }

private:
    void appendEntry();
    void resetEntry(EndpointIndex endpoint, const EndpointUpdate& entry);
};

} // namespace zincstack
