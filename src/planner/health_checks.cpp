// When probes are sent, and which health event follows from the result of a probe.
#include "planner/health_checks.h"

namespace zincstack {

using namespace std::chrono_literals;

namespace {

/// Consecutive successful probes that readmit an endpoint; a single one may be shallow (answered while
/// requests hang).
constexpr int kProbesToReadmit = 2;

/// Fraction of failed attempts from which a suspect endpoint is assumed to hang, even if it answers probes
/// fast.
constexpr double kHangFailureRatio = 0.9;

/// Probe latency that indicates a heavily loaded endpoint, as a fraction of the shortest latency objective.
constexpr double kSlowProbeFraction = 0.5;

/// Requests in flight above which an endpoint counts as heavily loaded, as a multiple of the fleet's average
/// for its target weight.
constexpr double kHeavyLoadFactor = 2;

/// Upper bound of the random delay between probes, in microseconds: endpoints hit by the same fault are not
/// all probed at the same time.
constexpr std::uint32_t kProbeJitterMicros = 100000;

} // namespace

void HealthChecker::startDueProbes(Micros now) {
    if (!probingAllowed_) return;
    for (EndpointIndex endpoint = 0; endpoint < endpoints_.size(); ++endpoint) {
        const HealthState health = endpoints_.health[endpoint];
        if (health == HealthState::Healthy || health == HealthState::Removed) continue;
        if (endpoints_.probeInFlight[endpoint] || now < endpoints_.nextProbeAt[endpoint]) continue;
        endpoints_.probeInFlight[endpoint] = 1;
        endpoints_.nextProbeAt[endpoint] = now + kProbeInterval + Micros(random_() % kProbeJitterMicros);
        sink_.probe(endpoints_.id[endpoint]);
    }
}

void HealthChecker::probeCompleted(const ProbeResult& result, Micros now) {
    const EndpointIndex* found = endpoints_.find(result.endpoint);
    if (!found) return;
    const EndpointIndex endpoint = *found;
    endpoints_.probeInFlight[endpoint] = 0;
    if (result.status == ProbeStatus::Rejected) return;
    const HealthEvent event = eventOf(endpoint, result);
    int& successes = endpoints_.consecutiveProbeSuccesses[endpoint];
    successes = event == HealthEvent::ProbeSucceeded ? successes + 1 : 0;
    outliers_.handleEvent(endpoint, event, now);
    if (successes >= kProbesToReadmit && now >= endpoints_.holdUntil[endpoint])
        outliers_.handleEvent(endpoint, HealthEvent::RecoveryConfirmed, now);
}

/// Some probes are shallow: they are answered while requests hang or wait. So a fast answer clears neither an
/// endpoint whose attempts nearly all fail nor one in service with far more requests in flight than is usual
/// for its weight.
HealthEvent HealthChecker::eventOf(EndpointIndex endpoint, const ProbeResult& result) const {
    const bool hung = isHung(endpoint);
    const bool isEjected = endpoints_.health[endpoint] == HealthState::Ejected;
    const bool answeredInTime =
        result.status == ProbeStatus::Answered && result.latency < shortestLatencyObjective_;
    if (answeredInTime && !hung && (isEjected || !isHeavilyLoaded(endpoint, result)))
        return HealthEvent::ProbeSucceeded;
    return isDead(endpoint, result) || hung || isEjected ? HealthEvent::ProbeFailed : HealthEvent::ProbeSlow;
}

bool HealthChecker::failsNearlyAllAttempts(EndpointIndex endpoint) const {
    const double successes = endpoints_.attempts[endpoint] - endpoints_.failures[endpoint];
    return successes <= (1 - kHangFailureRatio) * endpoints_.attempts[endpoint];
}

bool HealthChecker::isHung(EndpointIndex endpoint) const {
    return endpoints_.health[endpoint] == HealthState::Suspect &&
           endpoints_.attempts[endpoint] >= kMinAttempts && failsNearlyAllAttempts(endpoint);
}

bool HealthChecker::isHeavilyLoaded(EndpointIndex endpoint, const ProbeResult& result) const {
    const double slowLatency = kSlowProbeFraction * seconds(shortestLatencyObjective_);
    if (seconds(result.latency) > slowLatency) return true;
    const auto inFlight = [&](EndpointIndex other) {
        return endpoints_.isInService(other) ? endpoints_.inFlight[other] : 0;
    };
    const double usualPerWeight = endpoints_.sum(inFlight) / totalTargetWeight(endpoints_);
    return endpoints_.inFlight[endpoint] >
           kHeavyLoadFactor * usualPerWeight * targetWeight(endpoints_, endpoint);
}

/// If some requests are still answered, a probe that only times out is a sign of load: such an endpoint gets
/// a lower weight instead of being ejected.
bool HealthChecker::isDead(EndpointIndex endpoint, const ProbeResult& result) const {
    if (result.status == ProbeStatus::Answered) return false;
    if (failsNearlyAllAttempts(endpoint)) return true;
    return result.status != ProbeStatus::TimedOut &&
           (endpoints_.failureRatio(endpoint) >= kOutlierFailureRatio ||
            endpoints_.health[endpoint] == HealthState::Unlisted);
}

} // namespace zincstack
