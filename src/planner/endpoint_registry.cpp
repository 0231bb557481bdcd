// Allocation and reuse of the entries of endpoints.
#include "planner/endpoint_registry.h"

namespace zincstack {

EndpointIndex EndpointRegistry::add(const EndpointUpdate& entry) {
    const EndpointIndex next = freeIndexes.empty() ? size() : freeIndexes.back();
    const auto [found, isNew] = indexById.emplace(entry.id, next);
    if (!isNew) return found->second;
    if (next < size())
        freeIndexes.pop_back();
    else
        appendEntry();
    resetEntry(next, entry);
    return next;
}

void EndpointRegistry::forget(EndpointIndex endpoint) {
    indexById.erase(id[endpoint]);
    freeIndexes.push_back(endpoint);
    forgotten[endpoint] = 1;
    excluded[endpoint] = 0;
}

const EndpointIndex* EndpointRegistry::find(EndpointId endpoint) const {
    const auto found = indexById.find(endpoint);
    return found == indexById.end() ? nullptr : &found->second;
}

double EndpointRegistry::excludedFraction(ZoneId zoneId) const {
    double excludedCount = 0;
    double count = 0;
    for (EndpointIndex endpoint = 0; endpoint < size(); ++endpoint) {
        if (zone[endpoint] != zoneId || forgotten[endpoint]) continue;
        count += 1;
        excludedCount += excluded[endpoint];
    }
    return count > 0 ? excludedCount / count : 0;
}

void EndpointRegistry::appendEntry() {
    id.emplace_back();
    zone.emplace_back();
    listedWeight.emplace_back();
    startedAt.emplace_back();
    forgotten.emplace_back();
    health.emplace_back();
    healthChangedAt.emplace_back();
    holdUntil.emplace_back();
    weightReduced.emplace_back();
    slowStartStep.emplace_back();
    probeInFlight.emplace_back();
    nextProbeAt.emplace_back();
    consecutiveProbeSuccesses.emplace_back();
    excluded.emplace_back();
    excludedAt.emplace_back();
    hasSucceeded.emplace_back();
    attempts.emplace_back();
    failures.emplace_back();
    latencySum.emplace_back();
    saturation.emplace_back();
    inFlight.emplace_back();
    fleetReportsAtLastReport.emplace_back();
    fleetAttemptsAtLastReport.emplace_back();
}

void EndpointRegistry::resetEntry(EndpointIndex endpoint, const EndpointUpdate& entry) {
    id[endpoint] = entry.id;
    zone[endpoint] = entry.zone;
    listedWeight[endpoint] = 0;
    startedAt[endpoint] = Micros{};
    forgotten[endpoint] = 0;
    health[endpoint] = HealthState::Removed;
    healthChangedAt[endpoint] = Micros{};
    holdUntil[endpoint] = Micros{};
    weightReduced[endpoint] = 0;
    slowStartStep[endpoint] = 0;
    probeInFlight[endpoint] = 0;
    nextProbeAt[endpoint] = Micros{};
    consecutiveProbeSuccesses[endpoint] = 0;
    excluded[endpoint] = 0;
    excludedAt[endpoint] = Micros{};
    hasSucceeded[endpoint] = 0;
    attempts[endpoint] = 0;
    failures[endpoint] = 0;
    latencySum[endpoint] = 0;
    saturation[endpoint] = 0;
    inFlight[endpoint] = 0;
    fleetReportsAtLastReport[endpoint] = 0;
    fleetAttemptsAtLastReport[endpoint] = 0;
}

} // namespace zincstack
