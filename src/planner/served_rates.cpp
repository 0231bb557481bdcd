// Collects the reports of an interval, and smooths and remembers the rates that follow from them.
#include "planner/served_rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zincstack {

using namespace std::chrono_literals;

namespace {

/// Decay per second of older values in the smoothed rate: reports come late and in bunches.
constexpr double kSmoothingDecay = 0.5;

/// Decay per second of the best rate.
constexpr double kBestRateDecay = 0.995;

} // namespace

void ServedRates::reportLoad(const EndpointLoadReport& report, Micros now) {
    const EndpointIndex* found = endpoints_.find(report.endpoint);
    if (!found || !servesAtFullWeight(*found, now)) return;
    isCounted_.resize(endpoints_.size(), 0);
    ZoneEstimate& zone = zones_[endpoints_.zone[*found]];
    zone.successes += report.attempts - std::min(report.failures, report.attempts);
    if (!std::exchange(isCounted_[*found], 1)) zone.listedWeight += endpoints_.listedWeight[*found];
}

bool ServedRates::servesAtFullWeight(EndpointIndex endpoint, Micros now) const {
    return endpoints_.isInService(endpoint) && endpoints_.slowStartStep[endpoint] == kSlowStartSteps &&
           health_.warmUpFraction(endpoint, now) >= 1;
}

void ServedRates::evaluate(Micros now) {
    // Reports arrive about once per interval: a tenth of it is the tolerance for early reports.
    if (now - evaluatedAt_ < reportInterval_ * 9 / 10) return;
    const Micros sinceEvaluation = evaluatedAt_ > 0us ? now - evaluatedAt_ : 0us;
    const double elapsed = seconds(std::max(sinceEvaluation, reportInterval_));
    evaluatedAt_ = now;
    for (auto& [id, zone] : zones_) {
        const double successes = std::exchange(zone.successes, 0);
        const double listedWeight = std::exchange(zone.listedWeight, 0);
        zone.best *= std::pow(kBestRateDecay, elapsed);
        if (listedWeight <= 0) continue;
        const double rate = successes / elapsed / listedWeight;
        zone.smoothed = rate + std::pow(kSmoothingDecay, elapsed) * (zone.smoothed - rate);
        zone.best = std::max(zone.best, zone.smoothed);
    }
    std::ranges::fill(isCounted_, 0);
}

std::optional<double> ServedRates::rateOf(ZoneId zone) const {
    const auto found = zones_.find(zone);
    if (found != zones_.end() && found->second.best > 0) return found->second.best;
    double sum = 0;
    double count = 0;
    for (const auto& [id, other] : zones_) {
        if (other.best <= 0) continue;
        sum += other.best;
        ++count;
    }
    return count > 0 ? std::optional(sum / count) : std::nullopt;
}

} // namespace zincstack
