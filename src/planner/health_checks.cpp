#include "planner/health_checks.h"

namespace zincstack {

using namespace std::chrono_literals;

namespace {

/// Successful probes in a row that readmit an endpoint; a single one may be shallow.
constexpr int kProbesToReadmit = 2;

/// Fraction of failed attempts from which an endpoint may hang: there a quick probe proves nothing.
constexpr double kHangFailureRatio = 0.9;

/// Latency of a probe that tells of load, as a fraction of the shortest latency objective.
constexpr double kSlowProbeFraction = 0.5;

/// Requests in flight that tell of load, as a multiple of what is usual in the fleet for the weight.
constexpr double kHeavyLoadFactor = 2;

/// Probes are spread over this many microseconds, so that those of a fault's endpoints do not come at once.
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
    int& goodProbes = endpoints_.consecutiveGoodProbes[endpoint];
    goodProbes = event == HealthEvent::ProbeSucceeded ? goodProbes + 1 : 0;
    outliers_.handleEvent(endpoint, event, now);
    if (goodProbes >= kProbesToReadmit && now >= endpoints_.holdUntil[endpoint])
        outliers_.handleEvent(endpoint, HealthEvent::RecoveryConfirmed, now);
}

/// Some probes are shallow and answered while requests hang or wait: a quick answer clears neither an endpoint that
/// answers next to nothing nor one that holds far more requests than the others for its weight.
HealthEvent HealthChecker::eventOf(EndpointIndex endpoint, const ProbeResult& result) const {
    const bool hung = isHung(endpoint);
    const bool isEjected = endpoints_.health[endpoint] == HealthState::Ejected;
    const bool answeredInTime =
        result.status == ProbeStatus::Answered && result.latency < shortestLatencyObjective_;
    if (answeredInTime && !hung && (isEjected || !isLoaded(endpoint, result)))
        return HealthEvent::ProbeSucceeded;
    return isDead(endpoint, result) || hung || isEjected ? HealthEvent::ProbeFailed : HealthEvent::ProbeSlow;
}

bool HealthChecker::hasHardlyAnswered(EndpointIndex endpoint) const {
    const double successes = endpoints_.attempts[endpoint] - endpoints_.failures[endpoint];
    return successes <= (1 - kHangFailureRatio) * endpoints_.attempts[endpoint];
}

bool HealthChecker::isHung(EndpointIndex endpoint) const {
    return endpoints_.health[endpoint] == HealthState::Suspect &&
           endpoints_.attempts[endpoint] >= kMinAttempts && hasHardlyAnswered(endpoint);
}

bool HealthChecker::isLoaded(EndpointIndex endpoint, const ProbeResult& result) const {
    const double slowLatency = kSlowProbeFraction * seconds(shortestLatencyObjective_);
    if (seconds(result.latency) > slowLatency) return true;
    const auto inFlight = [&](EndpointIndex other) {
        return endpoints_.isInService(other) ? endpoints_.inFlight[other] : 0;
    };
    const double usualPerWeight = endpoints_.sum(inFlight) / totalTargetWeight(endpoints_);
    return endpoints_.inFlight[endpoint] >
           kHeavyLoadFactor * usualPerWeight * targetWeight(endpoints_, endpoint);
}

/// A probe that only times out tells of load where some requests are still answered: such an endpoint gets less work,
/// not none.
bool HealthChecker::isDead(EndpointIndex endpoint, const ProbeResult& result) const {
    if (result.status == ProbeStatus::Answered) return false;
    if (hasHardlyAnswered(endpoint)) return true;
    return result.status != ProbeStatus::TimedOut &&
           (endpoints_.failureRatio(endpoint) >= kOutlierFailureRatio ||
            endpoints_.health[endpoint] == HealthState::Unlisted);
}

} // namespace zincstack
