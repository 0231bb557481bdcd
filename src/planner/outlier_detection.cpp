// The health state machine, and the evaluation of load reports that detects outliers.
#include "planner/outlier_detection.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "planner/transition_table.h"

namespace zincstack {

using namespace std::chrono_literals;

namespace {

/// Decay of the figures from load reports, as a factor per second: decisions rest on recent attempts.
constexpr double kReportDecayPerSecond = 0.2;

/// Decay of an endpoint's smoothed saturation, as a factor per second. It is slower than the decay of the
/// report figures, because slowness has to last before it counts.
constexpr double kSaturationDecayPerSecond = 0.5;

/// Margin by which the failure ratio of a failing endpoint must exceed the fleet's overload: if all endpoints
/// fail, none is an outlier.
constexpr double kOutlierMargin = 0.25;

/// Maximum fraction of the listed weight that may be ejected. If more endpoints look unhealthy, the
/// observations are assumed to be wrong rather than the endpoints.
constexpr double kMaxEjectedFraction = 0.34;

/// Reporting cycles without a report on an endpoint after which it can count as silent. In one cycle, each
/// zone reports once on each endpoint.
constexpr double kSilentCycles = 3;

/// Attempts that an endpoint should have got since its last report, according to its target weight, before it
/// can count as silent.
constexpr double kSilentExpectedAttempts = 10;

/// Minimum time that an endpoint stays ejected.
constexpr Micros kMinEjectionTime = 3s;

/// Smoothed saturation (fraction of attempts that fail or are late) from which an endpoint can count as slow.
constexpr double kSlowSaturation = 0.4;

/// Fraction of the fleet's weight whose saturation must be below kTargetOverload for a slow endpoint to be an
/// outlier.
constexpr double kHealthyQuantile = 0.33;

/// Minimum time from an addition to service, a readmission or a weight reduction until an endpoint can count
/// as slow.
constexpr Micros kSettleTime = 3s;

/// Mean latency above which some of an endpoint's answers count as late, as a fraction of the objective.
constexpr double kLateLatencyStart = 0.4;

/// Mean latency from which all of an endpoint's answers count as late, as a fraction of the objective.
constexpr double kLateLatencyEnd = 1.0;

/// The median endpoint by weight represents the fleet, because a few outliers hardly change the median.
constexpr double kMedian = 0.5;

constexpr auto kHealthTransitions = [] {
    using enum HealthState;
    using enum HealthEvent;
    using enum HealthAction;
    return std::to_array<Transition<HealthState, HealthEvent, HealthAction>>({
        {Any, Restarted, Healthy, AddToService},
        {Any, DrainStarted, Removed, NoAction},
        {Any, RemovedFromList, Removed, NoAction},
        {Removed, Listed, Healthy, AddToService},
        {Healthy, MissingFromList, Unlisted, StartProbing},
        {Suspect, MissingFromList, Unlisted, StartProbing},
        {Ejected, MissingFromList, Removed, NoAction},
        {Unlisted, Listed, Healthy, NoAction},
        {Unlisted, ProbeFailed, Removed, NoAction},
        {Healthy, OutlierDetected, Suspect, StartProbing},
        {Suspect, OutlierDetected, Suspect, StartProbing},
        {Suspect, NoOutlierDetected, Healthy, NoAction},
        {Suspect, ProbeFailed, Ejected, Eject},
        {Suspect, ProbeSlow, Healthy, ReduceWeight},
        {Ejected, RecoveryConfirmed, Healthy, Readmit},
        {Suspect, ProbeSucceeded, Healthy, NoAction},
    });
}();

} // namespace

void OutlierDetector::updateEndpoints(bool isComplete, std::span<const EndpointUpdate> entries, Micros now) {
    // The list can wrongly report running endpoints as removed. A health check decides, unless removals are
    // binding.
    const HealthEvent removal =
        safety_.removalIsBinding ? HealthEvent::RemovedFromList : HealthEvent::MissingFromList;
    std::vector<char> isListed(endpoints_.size(), 0);
    for (const EndpointUpdate& entry : entries) {
        const EndpointIndex endpoint = endpoints_.add(entry);
        if (endpoint < isListed.size()) isListed[endpoint] = 1;
        const bool hasWeight = fleet_.hasEndpointWeights && entry.weight > 0;
        endpoints_.listedWeight[endpoint] = hasWeight ? entry.weight : 1;
        const Micros startedBefore = std::exchange(endpoints_.startedAt[endpoint], entry.startedAt);
        const bool restarted = entry.startedAt > startedBefore;
        switch (entry.state) {
        case EndpointState::Removed: handleEvent(endpoint, removal, now); break;
        case EndpointState::Ready:
            handleEvent(endpoint, restarted ? HealthEvent::Restarted : HealthEvent::Listed, now);
            break;
        case EndpointState::Draining: handleEvent(endpoint, HealthEvent::DrainStarted, now); break;
        }
    }
    if (!isComplete) return;
    for (EndpointIndex endpoint = 0; endpoint < isListed.size(); ++endpoint)
        if (!isListed[endpoint]) handleEvent(endpoint, removal, now);
}

void OutlierDetector::reportLoad(const EndpointLoadReport& report) {
    const EndpointIndex* found = endpoints_.find(report.endpoint);
    if (!found) return;
    const EndpointIndex endpoint = *found;
    const double failures = std::min(report.failures, report.attempts);
    const double successes = report.attempts - failures;
    hasNewReports_ = true;
    if (successes > 0) endpoints_.hasSucceeded[endpoint] = 1;
    reportingZones_.insert(report.proxyZone);
    ++reportCount_;
    attemptCount_ += report.attempts;
    endpoints_.fleetReportsAtLastReport[endpoint] = reportCount_;
    endpoints_.fleetAttemptsAtLastReport[endpoint] = attemptCount_;
    endpoints_.attempts[endpoint] += report.attempts;
    endpoints_.failures[endpoint] += failures;
    endpoints_.latencySum[endpoint] += successes * seconds(report.meanLatency);
    endpoints_.inFlight[endpoint] = report.load.inFlight.value_or(report.load.queueLength.value_or(0));
    successesSinceEvaluation_ += successes;
}

std::optional<double> OutlierDetector::evaluateReports(double meanLatencyObjective, Micros now) {
    // Reports arrive about once per interval: a tenth of it is the tolerance for early reports.
    const Micros minInterval = fleet_.reportInterval * 9 / 10;
    if (!hasNewReports_ || now - evaluatedAt_ < minInterval) return {};
    const Micros sinceEvaluation = evaluatedAt_ > 0us ? now - evaluatedAt_ : 0us;
    const double elapsedSeconds = seconds(std::max(sinceEvaluation, fleet_.reportInterval));
    fleetLoad_.successRate = std::exchange(successesSinceEvaluation_, 0) / elapsedSeconds;
    fleetLoad_.attemptRate =
        (attemptCount_ - std::exchange(attemptsAtLastEvaluation_, attemptCount_)) / elapsedSeconds;
    hasNewReports_ = false;
    evaluatedAt_ = now;

    FleetSamples samples = collectSamples(meanLatencyObjective, elapsedSeconds);
    fleetLoad_.overload = weightedQuantile(samples.saturation, kMedian);
    if (fleetLoad_.overload <= kOverloadOnsetThreshold) fleetLoad_.lastBelowOnsetAt = now;
    const double congestion = weightedQuantile(samples.congestion, kMedian);
    const FleetBaseline baseline{.totalTargetWeight = totalTargetWeight(endpoints_),
                                 .reportsPerCycle =
                                     static_cast<double>(endpoints_.knownCount() * reportingZones_.size()),
                                 .healthySaturation = weightedQuantile(samples.saturation, kHealthyQuantile)};
    const double decay = std::pow(kReportDecayPerSecond, elapsedSeconds);
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        if (endpoints_.isInService(endpoint)) evaluateEndpoint(endpoint, baseline, now);
        endpoints_.attempts[endpoint] *= decay;
        endpoints_.failures[endpoint] *= decay;
        endpoints_.latencySum[endpoint] *= decay;
    }
    if (samples.attempts < kMinAttempts) return {};
    return congestion;
}

OutlierDetector::FleetSamples OutlierDetector::collectSamples(double meanLatencyObjective,
                                                              double elapsedSeconds) {
    FleetSamples samples;
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint)
        if (endpoints_.isInService(endpoint) && endpoints_.attempts[endpoint] > 0)
            addSample(endpoint, meanLatencyObjective, elapsedSeconds, samples);
    return samples;
}

void OutlierDetector::addSample(EndpointIndex endpoint, double meanLatencyObjective, double elapsedSeconds,
                                FleetSamples& samples) {
    const double attempts = endpoints_.attempts[endpoint];
    const double successes = attempts - endpoints_.failures[endpoint];
    const double relativeLatency =
        successes > 0 ? endpoints_.latencySum[endpoint] / successes / meanLatencyObjective : 1;
    const double lateFraction =
        std::clamp((relativeLatency - kLateLatencyStart) / (kLateLatencyEnd - kLateLatencyStart), 0.0, 1.0);
    const double late = successes * lateFraction;
    const double saturation = (endpoints_.failures[endpoint] + late) / attempts;
    double& smoothed = endpoints_.saturation[endpoint];
    smoothed = saturation + std::pow(kSaturationDecayPerSecond, elapsedSeconds) * (smoothed - saturation);
    const double weight = targetWeight(endpoints_, endpoint);
    samples.saturation.push_back({saturation, weight});
    // Failures indicate congestion only if answers are slow as well: load shedding does not help against lost
    // answers or errors.
    const double slowness = std::clamp(2 * relativeLatency / kLateLatencyStart - 1, 0.0, 1.0);
    const double congestion = saturation - (1 - slowness) * endpoints_.failureRatio(endpoint);
    samples.congestion.push_back({congestion, weight});
    samples.attempts += attempts;
}

void OutlierDetector::evaluateEndpoint(EndpointIndex endpoint, const FleetBaseline& baseline, Micros now) {
    const bool hasEnoughAttempts = endpoints_.attempts[endpoint] >= kMinAttempts;
    const bool isOutlier = isSilent(endpoint, baseline) ||
                           (hasEnoughAttempts && (isFailing(endpoint) || isSlow(endpoint, baseline, now)));
    if (isOutlier)
        handleEvent(endpoint, HealthEvent::OutlierDetected, now);
    else if (hasEnoughAttempts)
        handleEvent(endpoint, HealthEvent::NoOutlierDetected, now);
}

/// Proxies avoid an endpoint whose attempts fail, so missing reports are a symptom as well. Silence is
/// measured in reports and attempts, not in time, because a reporting cycle takes long if reports queue up.
bool OutlierDetector::isSilent(EndpointIndex endpoint, const FleetBaseline& baseline) const {
    if (endpoints_.excluded[endpoint]) return false;
    const double missedReports = reportCount_ - endpoints_.fleetReportsAtLastReport[endpoint];
    const double missedAttempts = attemptCount_ - endpoints_.fleetAttemptsAtLastReport[endpoint];
    return missedReports > kSilentCycles * baseline.reportsPerCycle &&
           missedAttempts * targetWeight(endpoints_, endpoint) >
               kSilentExpectedAttempts * baseline.totalTargetWeight;
}

bool OutlierDetector::isFailing(EndpointIndex endpoint) const {
    const double failureRatio = endpoints_.failureRatio(endpoint);
    return failureRatio >= kOutlierFailureRatio && failureRatio > fleetLoad_.overload + kOutlierMargin;
}

bool OutlierDetector::isSlow(EndpointIndex endpoint, const FleetBaseline& baseline, Micros now) const {
    return endpoints_.saturation[endpoint] >= kSlowSaturation &&
           baseline.healthySaturation < kTargetOverload && endpoints_.slowStartStep[endpoint] > 1 &&
           now - endpoints_.healthChangedAt[endpoint] > kSettleTime;
}

void OutlierDetector::handleEvent(EndpointIndex endpoint, HealthEvent event, Micros now) {
    HealthState& health = endpoints_.health[endpoint];
    const auto* row =
        findTransition(kHealthTransitions, health, [event](HealthEvent input) { return input == event; });
    if (!row || (row->action == HealthAction::Eject && !mayEject(endpoint))) return;
    reportTransition(endpoint, row->next);
    if (row->next == HealthState::Removed && health != HealthState::Removed)
        endpoints_.healthChangedAt[endpoint] = now;
    health = row->next;
    perform(row->action, endpoint, now);
}

void OutlierDetector::reportTransition(EndpointIndex endpoint, HealthState next) {
    const bool isEjected = next == HealthState::Ejected;
    const bool wasEjected = endpoints_.health[endpoint] == HealthState::Ejected;
    const EndpointId id = endpoints_.id[endpoint];
    const double attempts = endpoints_.attempts[endpoint];
    const double failures = endpoints_.failures[endpoint];
    if (isEjected && !wasEjected) sink_.report(EndpointEjected{id, attempts, failures});
    if (!isEjected && wasEjected) sink_.report(EndpointReadmitted{id, attempts, failures});
}

void OutlierDetector::perform(HealthAction action, EndpointIndex endpoint, Micros now) {
    int& step = endpoints_.slowStartStep[endpoint];
    switch (action) {
    case HealthAction::NoAction: return;
    case HealthAction::StartProbing: endpoints_.nextProbeAt[endpoint] = now; return;
    case HealthAction::Eject: holdWeight(endpoint, false, now); return;
    case HealthAction::ReduceWeight:
        holdWeight(endpoint, true, now);
        if (step > 1) --step;
        break;
    case HealthAction::AddToService: {
        // Full weight only if the endpoint is warm and no load report on any endpoint has arrived yet;
        // otherwise slow start.
        const bool isStartup = slowStart_.warmUpFraction(endpoint, now) >= 1 && reportCount_ <= 0;
        step = isStartup ? kSlowStartSteps : 1;
        endpoints_.hasSucceeded[endpoint] = 0;
        break;
    }
    case HealthAction::Readmit: step = 1; break; // a restart during the ejection comes as Restarted
    }
    restartObservation(endpoint, now);
}

void OutlierDetector::holdWeight(EndpointIndex endpoint, bool isReduced, Micros now) {
    endpoints_.weightReduced[endpoint] = isReduced ? 1 : 0;
    endpoints_.holdUntil[endpoint] = now + (isReduced ? kMinReducedTime : kMinEjectionTime);
    endpoints_.nextProbeAt[endpoint] = now + kProbeInterval;
    endpoints_.consecutiveProbeSuccesses[endpoint] = 0;
}

void OutlierDetector::restartObservation(EndpointIndex endpoint, Micros now) {
    endpoints_.healthChangedAt[endpoint] = now;
    endpoints_.fleetReportsAtLastReport[endpoint] = reportCount_;
    endpoints_.fleetAttemptsAtLastReport[endpoint] = attemptCount_;
    endpoints_.attempts[endpoint] = 0;
    endpoints_.failures[endpoint] = 0;
    endpoints_.latencySum[endpoint] = 0;
}

bool OutlierDetector::mayEject(EndpointIndex endpoint) const {
    const auto ejectedWeight = [&](EndpointIndex other) {
        const bool isOut = endpoints_.health[other] == HealthState::Ejected || other == endpoint;
        return isOut ? endpoints_.listedWeight[other] : 0.0;
    };
    const auto weight = [&](EndpointIndex other) {
        return endpoints_.isInService(other) ? endpoints_.listedWeight[other] : ejectedWeight(other);
    };
    return endpoints_.sum(ejectedWeight) <= kMaxEjectedFraction * endpoints_.sum(weight);
}

} // namespace zincstack
