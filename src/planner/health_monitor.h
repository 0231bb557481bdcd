// Health of endpoints: outlier detection, health checks, slow start.
#pragma once

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "planner/endpoint_registry.h"
#include "planner/slow_start.h"
#include "planner/transition_table.h"

namespace zincstack {

using namespace std::chrono_literals;

inline constexpr double kWarmUpLead = 1.25;
inline constexpr int kProbesToReadmit = 2;
inline constexpr double kOverloadMargin = 0.75;
inline constexpr double kReportDecay = 0.2;
inline constexpr double kSaturationDecay = 0.5;
inline constexpr double kOutlierFailureRatio = 0.5;
inline constexpr double kOutlierMargin = 0.25;
inline constexpr double kMinAttempts = 3;
inline constexpr double kHangFailureRatio = 0.9;
inline constexpr double kMaxEjectedFraction = 0.34;
inline constexpr double kSilentReports = 3;
inline constexpr double kSilentAttempts = 10;
inline constexpr Micros kProbeInterval = 1s;
inline constexpr Micros kMinEjectionTime = 3s;
inline constexpr Micros kMinReducedTime = 60s;
inline constexpr double kSlowFraction = 0.4;
inline constexpr double kHealthyQuantile = 0.33;
inline constexpr double kSlowProbeFraction = 0.5;
inline constexpr double kHeavyLoadFactor = 2;
inline constexpr Micros kSettleTime = 3s;
inline constexpr Micros kOnsetTime = 3s;
inline constexpr double kLateLatencyStart = 0.4;
inline constexpr double kLateLatencyEnd = 1.0;
inline constexpr double kOnsetOverload = 0.2;
inline constexpr double kNearlyWarm = 0.75;
inline constexpr double kTargetOverload = 0.12;

/// The figure that so much of the weight does not pass; each comes with its weight.
inline double weightedQuantile(std::vector<std::pair<double, double>>& figures, double part) {
    double rest = 0;
    for (const auto& [figure, weight] : figures) rest += weight * part;
    std::ranges::sort(figures);
    for (const auto& [figure, weight] : figures)
        if ((rest -= weight) <= 0) return figure;
    return 0;
}

enum class HealthEvent {
    Listed,
    Restarted,
    DrainStarted,
    RemovedFromList,
    MissingFromList,
    ReportsBad,
    ReportsGood,
    ProbeFailed,
    ProbeSlow,
    ProbeSucceeded,
    RecoveryConfirmed
};
enum class HealthAction { NoAction, AddToService, StartProbing, Eject, ReduceWeight, Readmit };
using enum HealthState;
using enum HealthEvent;
using enum HealthAction;
inline constexpr Transition<HealthState, HealthEvent, HealthAction> kHealthTransitions[] = {
    {Any, Restarted, Healthy, AddToService},
    {Any, DrainStarted, Removed, NoAction},
    {Any, RemovedFromList, Removed, NoAction},
    {Removed, Listed, Healthy, AddToService},
    {Healthy, MissingFromList, Unlisted, StartProbing},
    {Suspect, MissingFromList, Unlisted, StartProbing},
    {Ejected, MissingFromList, Removed, NoAction},
    {Unlisted, Listed, Healthy, NoAction},
    {Unlisted, ProbeFailed, Removed, NoAction},
    {Healthy, ReportsBad, Suspect, StartProbing},
    {Suspect, ReportsBad, Suspect, StartProbing},
    {Suspect, ReportsGood, Healthy, NoAction},
    {Suspect, ProbeFailed, Ejected, Eject},
    {Suspect, ProbeSlow, Healthy, ReduceWeight},
    {Ejected, RecoveryConfirmed, Healthy, Readmit},
    {Suspect, ProbeSucceeded, Healthy, NoAction}};

struct HealthMonitor {
    EndpointRegistry& endpoints;
    RoutingUpdateSink& sink;
    const FleetConfig fleet;
    const SafetyLimits safety;
    const Micros shortestLatencyObjective;
    std::mt19937 random;
    Micros evaluatedAt{}, lastCalmAt{};
    bool hasNewReports = false;
    double succeeded = 0, successRate = 0, attemptRate = 0, attemptsAtLastEvaluation = 0, overload = 0;
    std::set<ZoneId> reportingZones = {};
    double reportCount = 0, attemptCount = 0; // heard of all servers

    void updateEndpoints(bool whole, std::span<const EndpointUpdate> entries, Micros now) {
        // Guards against a list that names running servers gone: where that need not bind, a probe decides.
        const HealthEvent ends = safety.removalIsBinding ? RemovedFromList : MissingFromList;
        std::vector<char> named(endpoints.size(), 0);
        for (const auto& entry : entries) {
            const EndpointIndex s = endpoints.add(entry);
            if (s < named.size()) named[s] = 1;
            endpoints.listedWeight[s] = fleet.hasEndpointWeights && entry.weight > 0 ? entry.weight : 1;
            const bool fresh = entry.startedAt > std::exchange(endpoints.startedAt[s], entry.startedAt);
            const HealthEvent news[] = {ends, fresh ? Restarted : Listed, DrainStarted};
            handleEvent(s, news[static_cast<int>(entry.state)], now);
        }
        for (EndpointIndex s = 0; whole && s < named.size(); ++s)
            if (!named[s]) handleEvent(s, ends, now);
    }

    void reportLoad(const EndpointLoadReport& line) {
        const EndpointIndex* s = endpoints.find(line.endpoint);
        if (!s) return;
        const double failed = std::min(line.failures, line.attempts), good = line.attempts - failed;
        hasNewReports = true;
        if (good > 0) endpoints.hasReported[*s] = 1;
        reportingZones.insert(line.proxyZone);
        endpoints.reportsWhenLastSeen[*s] = ++reportCount;
        endpoints.attemptsWhenLastSeen[*s] = attemptCount += line.attempts;
        endpoints.attempts[*s] += line.attempts;
        endpoints.failures[*s] += failed;
        endpoints.latencySum[*s] += good * seconds(line.meanLatency);
        endpoints.inFlight[*s] = line.load.inFlight.value_or(line.load.queueLength.value_or(0));
        succeeded += good;
    }

    /// Once a period: what do the sums say of each server? Returns the stress of the whole fleet, if heard.
    std::optional<double> evaluateReports(double usualSla, Micros now) {
        if (!hasNewReports || now - evaluatedAt < fleet.reportInterval * 9 / 10) return {};
        const double span =
            seconds(std::max(evaluatedAt > 0us ? now - evaluatedAt : 0us, fleet.reportInterval));
        successRate = std::exchange(succeeded, 0) / span;
        attemptRate = (attemptCount - std::exchange(attemptsAtLastEvaluation, attemptCount)) / span;
        hasNewReports = false, evaluatedAt = now;
        double tries = 0;
        std::vector<std::pair<double, double>> pressed, jammed; // part that fails or is late, and the weight
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            if (!endpoints.isInService(s) || endpoints.attempts[s] <= 0) continue;
            const double good = endpoints.attempts[s] - endpoints.failures[s];
            const double mean = good > 0 ? endpoints.latencySum[s] / good / usualSla : 1;
            const double late =
                good *
                std::clamp((mean - kLateLatencyStart) / (kLateLatencyEnd - kLateLatencyStart), 0.0, 1.0);
            const double part = (endpoints.failures[s] + late) / endpoints.attempts[s];
            endpoints.saturation[s] =
                part + std::pow(kSaturationDecay, span) * (endpoints.saturation[s] - part);
            pressed.emplace_back(part, targetWeight(endpoints, s));
            // Failures tell of a jam only beside slow answers: limits don't cure lost answers or errors.
            const double slow = std::clamp(2 * mean / kLateLatencyStart - 1, 0.0, 1.0);
            jammed.emplace_back(part - (1 - slow) * endpoints.failureRatio(s), targetWeight(endpoints, s));
            tries += endpoints.attempts[s];
        }
        overload = weightedQuantile(pressed, 0.5); // few sick ones don't make it
        const double jam = weightedQuantile(jammed, 0.5), least = weightedQuantile(pressed, kHealthyQuantile);
        if (overload <= kOnsetOverload) lastCalmAt = now;
        const double all = totalTargetWeight(endpoints);
        const auto view = static_cast<double>(endpoints.knownCount() * reportingZones.size());
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            if (endpoints.isInService(s)) {
                const double share = endpoints.failureRatio(s);
                const bool enough = endpoints.attempts[s] >= kMinAttempts;
                // Proxies keep away from what fails them: no line is a symptom too. A view takes long where
                // reports pile up, so it is counted in lines and tries, not in time.
                const bool silent =
                    !endpoints.excluded[s] &&
                    reportCount - endpoints.reportsWhenLastSeen[s] > kSilentReports * view &&
                    (attemptCount - endpoints.attemptsWhenLastSeen[s]) * targetWeight(endpoints, s) >
                        kSilentAttempts * all;
                const bool sick =
                    enough && share >= kOutlierFailureRatio && share > overload + kOutlierMargin;
                const bool slow = enough && endpoints.saturation[s] >= kSlowFraction &&
                                  least < kTargetOverload && endpoints.slowStartStep[s] > 1 &&
                                  now - endpoints.healthChangedAt[s] > kSettleTime;
                const bool bad = silent || sick || slow;
                if (bad || enough) handleEvent(s, bad ? ReportsBad : ReportsGood, now);
            }
            for (auto* sum : {&endpoints.attempts, &endpoints.failures, &endpoints.latencySum})
                (*sum)[s] *= std::pow(kReportDecay, span);
        }
        return tries >= kMinAttempts ? std::optional(jam) : std::nullopt;
    }
    void startDueProbes(Micros now) {
        for (EndpointIndex s = 0; fleet.probingAllowed && s < endpoints.size(); ++s) {
            const bool wanted = endpoints.health[s] != Healthy && endpoints.health[s] != Removed;
            if (!wanted || endpoints.probeInFlight[s] || now < endpoints.nextProbeAt[s]) continue;
            endpoints.probeInFlight[s] = 1;
            endpoints.nextProbeAt[s] = now + kProbeInterval + Micros(random() % 100000);
            sink.probe(endpoints.id[s]);
        }
    }

    void probeCompleted(const ProbeResult& result, Micros now) {
        const EndpointIndex* found = endpoints.find(result.endpoint);
        if (!found) return;
        const EndpointIndex s = *found;
        endpoints.probeInFlight[s] = 0;
        if (result.status == ProbeStatus::Rejected) return;
        // Some probes are shallow and answered while work hangs or waits: a quick answer clears neither a
        // server that answers next to nothing nor one that holds far more than the others for its weight.
        const auto held = [&](EndpointIndex k) {
            return endpoints.isInService(k) ? endpoints.inFlight[k] : 0;
        };
        const double usual = endpoints.sum(held) / totalTargetWeight(endpoints);
        const double answered = endpoints.attempts[s] - endpoints.failures[s];
        const bool mute = answered <= (1 - kHangFailureRatio) * endpoints.attempts[s];
        const bool hung = endpoints.health[s] == Suspect && endpoints.attempts[s] >= kMinAttempts && mute;
        const bool answers =
            result.status == ProbeStatus::Answered && result.latency < shortestLatencyObjective && !hung;
        const bool heavy = seconds(result.latency) > kSlowProbeFraction * seconds(shortestLatencyObjective) ||
                           endpoints.inFlight[s] > kHeavyLoadFactor * usual * targetWeight(endpoints, s);
        const bool good = answers && (endpoints.health[s] == Ejected || !heavy);
        endpoints.consecutiveGoodProbes[s] = good ? endpoints.consecutiveGoodProbes[s] + 1 : 0;
        // A probe that only waits tells of load where some txns are still answered: less is sent, not none.
        const bool dead =
            result.status != ProbeStatus::Answered &&
            (mute ||
             (result.status != ProbeStatus::TimedOut &&
              (endpoints.failureRatio(s) >= kOutlierFailureRatio || endpoints.health[s] == Unlisted)));
        const HealthEvent bad = dead || hung || endpoints.health[s] == Ejected ? ProbeFailed : ProbeSlow;
        handleEvent(s, good ? ProbeSucceeded : bad, now);
        if (endpoints.consecutiveGoodProbes[s] >= kProbesToReadmit && now >= endpoints.holdUntil[s])
            handleEvent(s, RecoveryConfirmed, now);
    }

    /// A server climbs a fifth a round, no faster than the slowest warming allows. Guards a cold one against
    /// falling over: under a jam's repeats even a fifth can be too much, so it may wait at none.
    void advanceSlowStart(double asked, bool mayClimb, Micros now) {
        const double targets = totalTargetWeight(endpoints);
        // Proxies that avoid what fails heap txns on what answers: before limits can show, it waits at none.
        const bool onset = overload > kOnsetOverload && now - lastCalmAt < kOnsetTime;
        double listed = 0;
        bool spare = false; // some server is warm: nobody is left without one if a cold one waits
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            listed += endpoints.isInService(s) ? endpoints.listedWeight[s] : 0;
            spare |= targetWeight(endpoints, s) > 0 && warmUpFraction(s, now) >= 1 && !endpoints.excluded[s];
        }
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            if (!endpoints.isInService(s) || endpoints.slowStartStep[s] == kSlowStartSteps) continue;
            if (!spare) endpoints.slowStartStep[s] = std::max(endpoints.slowStartStep[s], 1);
            const double warm = warmUpFraction(s, now);
            const double able = kOverloadMargin * safety.overloadFactor * warm * (1 - overload) *
                                successRate * endpoints.listedWeight[s] / listed;
            const auto brings = [&](int rung) {
                const double weight = endpoints.listedWeight[s] * rung / kSlowStartSteps;
                return asked * weight / std::max(targets - targetWeight(endpoints, s) + weight, weight);
            };
            const int next = endpoints.slowStartStep[s] + 1;
            const bool judged = successRate > 0 && warm < 1;
            if (mayClimb && !onset && (endpoints.hasReported[s] || warm < 1) &&
                now >= endpoints.holdUntil[s] && next <= kSlowStartSteps * kWarmUpLead * warm &&
                (!judged || brings(next) <= able)) {
                endpoints.slowStartStep[s] = next;
                if (endpoints.weightReduced[s]) endpoints.holdUntil[s] = now + kMinReducedTime;
            }
            while (judged && endpoints.slowStartStep[s] > (spare ? 0 : 1) &&
                   ((onset && warm < kNearlyWarm) || brings(endpoints.slowStartStep[s]) > 1.5 * able))
                --endpoints.slowStartStep[s];
        }
    }

    double warmUpFraction(EndpointIndex s, Micros now) const {
        if (endpoints.startedAt[s] <= 0us || safety.warmUpDuration <= 0us) return 1;
        const double age = seconds(now - endpoints.startedAt[s]) / seconds(safety.warmUpDuration);
        return safety.coldCapacityFraction + (1 - safety.coldCapacityFraction) * std::clamp(age, 0.0, 1.0);
    }

    void handleEvent(EndpointIndex s, HealthEvent news, Micros now) {
        const auto* row = findTransition(kHealthTransitions, endpoints.health[s],
                                         [&](HealthEvent input) { return input == news; });
        if (!row || (row->effect == Eject && !mayEject(s))) return;
        if (row->next == Ejected && endpoints.health[s] != Ejected)
            sink.report(EndpointEjected{endpoints.id[s], endpoints.attempts[s], endpoints.failures[s]});
        if (row->next != Ejected && endpoints.health[s] == Ejected)
            sink.report(EndpointReadmitted{endpoints.id[s], endpoints.attempts[s], endpoints.failures[s]});
        if (row->next == Removed && endpoints.health[s] != Removed) endpoints.healthChangedAt[s] = now;
        endpoints.health[s] = row->next;
        switch (row->effect) {
        case NoAction: return;
        case StartProbing: endpoints.nextProbeAt[s] = now; return;
        case Eject:
        case ReduceWeight: {
            endpoints.weightReduced[s] = row->effect == ReduceWeight;
            endpoints.holdUntil[s] = now + (endpoints.weightReduced[s] ? kMinReducedTime : kMinEjectionTime);
            endpoints.nextProbeAt[s] = now + kProbeInterval;
            endpoints.consecutiveGoodProbes[s] = 0;
            if (row->effect == Eject) return;
            endpoints.slowStartStep[s] -= endpoints.slowStartStep[s] > 1;
            break;
        }
        case AddToService: // at a fifth, unless nothing is known yet of any; if warm it climbs once it has answered
            endpoints.slowStartStep[s] =
                warmUpFraction(s, now) >= 1 && reportCount <= 0 ? kSlowStartSteps : 1;
            endpoints.hasReported[s] = 0;
            break;
        case Readmit: endpoints.slowStartStep[s] = 1; // if it started anew, the list will say so
        }
        endpoints.healthChangedAt[s] = now;
        endpoints.reportsWhenLastSeen[s] = reportCount;
        endpoints.attemptsWhenLastSeen[s] = attemptCount;
        endpoints.attempts[s] = endpoints.failures[s] = endpoints.latencySum[s] = 0;
    }

    /// If nearly all looks sick, the view is doubted, not the fleet: health shuts out only so much of it.
    bool mayEject(EndpointIndex s) const {
        const auto out = [&](EndpointIndex k) {
            return (endpoints.health[k] == Ejected || k == s) * endpoints.listedWeight[k];
        };
        const auto all = [&](EndpointIndex k) {
            return endpoints.isInService(k) ? endpoints.listedWeight[k] : out(k);
        };
        return endpoints.sum(out) <= kMaxEjectedFraction * endpoints.sum(all);
    }
};

} // namespace zincstack
