// What is known of each endpoint: identity, health, load figures. State only; no decision is made here.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack {

using EndpointIndex = std::size_t;

inline double seconds(Micros span) { return static_cast<double>(span.count()) / 1e6; }

enum class HealthState { Removed, Healthy, Suspect, Unlisted, Ejected, Any };

/// Figures on servers in parallel arrays under a dense index. That of a server that is forgotten goes to the
/// next new one; what comes late for the old one finds no index by its id.
struct EndpointRegistry {
    std::map<EndpointId, EndpointIndex> indexById;
    std::vector<EndpointIndex> freeIndexes; // of servers that are forgotten: ended, and in no table
    std::vector<EndpointId> id;
    std::vector<ZoneId> zone;
    std::vector<HealthState> health;
    std::vector<Micros> startedAt, nextProbeAt, holdUntil, healthChangedAt, excludedAt;
    std::vector<int> slowStartStep, consecutiveGoodProbes;
    std::vector<char> excluded, probeInFlight, hasReported, weightReduced,
        forgotten; // withdrawn: ordered out of all tables
    std::vector<double> listedWeight, attempts, failures, latencySum, saturation, inFlight,
        reportsWhenLastSeen, attemptsWhenLastSeen;

    EndpointIndex size() const { return id.size(); }
    EndpointIndex add(const EndpointUpdate& entry) {
        const EndpointIndex next = freeIndexes.empty() ? size() : freeIndexes.back();
        const auto [at, fresh] = indexById.emplace(entry.id, next);
        if (!fresh) return at->second;
        const auto put = [next](auto& figures, auto value) {
            if (next == figures.size()) figures.emplace_back();
            figures[next] = value;
        };
        if (next < size()) freeIndexes.pop_back();
        put(zone, entry.zone);
        put(health, HealthState::Removed);
        for (auto* one : {&startedAt, &nextProbeAt, &holdUntil, &healthChangedAt, &excludedAt})
            put(*one, Micros{});
        for (auto* one : {&slowStartStep, &consecutiveGoodProbes}) put(*one, 0);
        for (auto* one : {&excluded, &probeInFlight, &hasReported, &weightReduced, &forgotten})
            put(*one, char{0});
        for (auto* one : {&listedWeight, &attempts, &failures, &latencySum, &saturation, &inFlight,
                          &reportsWhenLastSeen, &attemptsWhenLastSeen})
            put(*one, 0.0);
        put(id, entry.id);
        return next;
    }
    void forget(EndpointIndex s) {
        indexById.erase(id[s]);
        freeIndexes.push_back(s);
        forgotten[s] = 1;
        excluded[s] = 0;
    }
    EndpointIndex knownCount() const { return indexById.size(); }
    const EndpointIndex* find(EndpointId server) const {
        const auto found = indexById.find(server);
        return found == indexById.end() ? nullptr : &found->second;
    }
    double sum(const auto& figure) const { ///< of a figure, over all servers
        double all = 0;
        for (EndpointIndex s = 0; s < size(); ++s) all += figure(s);
        return all;
    }
    double failureRatio(EndpointIndex s) const { return attempts[s] > 0 ? failures[s] / attempts[s] : 0; }
    double excludedFraction(ZoneId of) const { ///< the part of a zone's servers that is withdrawn
        double out = 0, all = 0;
        for (EndpointIndex s = 0; s < size(); ++s)
            if (zone[s] == of && !forgotten[s]) all += 1, out += excluded[s];
        return all > 0 ? out / all : 0;
    }
    bool isInService(EndpointIndex s) const {
        return health[s] == HealthState::Healthy || health[s] == HealthState::Suspect ||
               health[s] == HealthState::Unlisted;
    }
};

} // namespace zincstack
