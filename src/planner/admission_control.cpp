// Load shedding, and the admission limits of request classes and tables that result from it.
#include "planner/admission_control.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "planner/fleet_load.h"

namespace zincstack {

using namespace std::chrono_literals;

namespace {

/// Congestion (fraction of attempts) above which load shedding starts regardless of the offered work.
constexpr double kSheddingCongestion = 0.3;

/// Ratio of offered work to the best capacity above which load shedding starts as soon as the congestion
/// exceeds kTargetOverload.
constexpr double kDemandSurgeRatio = 1.2;

/// Change of the capacity factor per second, per unit of difference between target overload and congestion.
constexpr double kCapacityFactorGain = 0.5;

/// Largest decrease of the capacity factor per second.
constexpr double kMaxFactorDecrease = 0.1;

/// Largest increase of the capacity factor per second; less than the decrease, so that overload ends quickly.
constexpr double kMaxFactorIncrease = 0.06;

/// Capacity factor at the start of load shedding: below 1, so that queues can drain.
constexpr double kInitialCapacityFactor = 0.85;

/// Bounds of the capacity factor.
constexpr double kMinCapacityFactor = 0.5;
constexpr double kMaxCapacityFactor = 1.3;

/// Factor by which the best capacity decays per report interval, so that it follows a fleet that becomes
/// slower.
constexpr double kBestCapacityDecay = 0.995;

/// Fraction of each request class that is always admitted.
constexpr double kMinAdmittedFraction = 0.1;

/// Fraction of the admitted requests that load reports must have covered before load shedding may start:
/// shortly after the start of the planner they cover few proxies, so the best capacity is far too low.
constexpr double kMinReportCoverage = 0.8;

/// Relative change of a limit up to which the limit is not issued again, to save lines of the control
/// channel.
constexpr double kMinAdmissionChange = 0.02;

/// The same for a table whose endpoints are warming up: its limit changes all the time.
constexpr double kMinWarmUpLimitChange = 0.1;

/// Rate limit of a proxy, in requests per second, that is too high to take effect.
constexpr double kUnlimitedRate = 1e6;

/// Time until a new limit shows its effect in the load reports.
constexpr Micros kSettlingTime = 3s;

/// Placeholder for a limit that has never been issued.
constexpr double kNeverIssued = -1;

} // namespace

AdmissionController::AdmissionController(RoutingUpdateSink& sink, ThrottleMode mode, Micros reportInterval,
                                         std::vector<RequestClassConfig> requestClasses)
    : sink_(sink), mode_(mode), reportInterval_(reportInterval), requestClasses_(std::move(requestClasses)),
      sheddingOrder_(requestClasses_.size()), admittedFractions_(requestClasses_.size(), 1) {
    std::iota(sheddingOrder_.begin(), sheddingOrder_.end(), std::size_t{0});
    const auto priority = [&](std::size_t requestClass) {
        return requestClasses_[requestClass].priorityWeight / latencyObjective(requestClass);
    };
    std::ranges::stable_sort(sheddingOrder_, {}, priority);
}

double AdmissionController::latencyObjective(std::size_t requestClass) const {
    return seconds(requestClasses_[requestClass].latencyObjective);
}

double AdmissionController::meanLatencyObjective(const ProxyRegistry& proxies) const {
    const std::vector<double> rates = demandByClass(proxies, requestClasses_.size());
    double work = 0;
    double total = 0;
    for (std::size_t requestClass = 0; requestClass < rates.size(); ++requestClass) {
        work += rates[requestClass] * latencyObjective(requestClass);
        total += rates[requestClass];
    }
    return total > 0 ? work / total : latencyObjective(0);
}

AdmittedDemand AdmissionController::admittedDemand(const ProxyRegistry& proxies) const {
    AdmittedDemand demand;
    const std::vector<double> rates = demandByClass(proxies, requestClasses_.size());
    for (std::size_t requestClass = 0; requestClass < rates.size(); ++requestClass) {
        if (requestClasses_[requestClass].zoneLocal) continue;
        demand.anyZone += rates[requestClass] * admittedFractions_[requestClass];
    }
    if (std::ranges::none_of(requestClasses_, &RequestClassConfig::zoneLocal)) return demand;
    for (const auto& [id, proxy] : proxies) {
        double& zoneLocal = demand.zoneLocal[proxy.zone];
        for (std::size_t requestClass = 0; requestClass < rates.size(); ++requestClass) {
            if (!requestClasses_[requestClass].zoneLocal) continue;
            zoneLocal += proxy.demand[requestClass] * admittedFractions_[requestClass];
        }
    }
    return demand;
}

void AdmissionController::updateForOverload(const FleetPerformance& fleet, const ProxyRegistry& proxies) {
    const OfferedLoad offered = offeredLoad(proxies);
    if (offered.admittedRate <= 0 || fleet.totalTargetWeight <= 0) return;
    const double capacity =
        fleet.successRate * offered.admittedWork / offered.admittedRate / fleet.totalTargetWeight;
    bestCapacity_ = std::max(bestCapacity_ * kBestCapacityDecay, capacity);
    const bool wasShedding = isShedding_;
    reportsCoverDemand_ =
        reportsCoverDemand_ || fleet.attemptRate >= kMinReportCoverage * offered.admittedRate;
    if (mustStartShedding(fleet, offered))
        startShedding(fleet, offered);
    else if (isShedding_)
        adjustCapacityFactor(fleet.congestion);
    const bool demandFits = offered.work <= capacityFactor_ * bestCapacity_ * fleet.totalTargetWeight;
    if (fleet.congestion < kTargetOverload && demandFits) isShedding_ = false;
    reportChange(wasShedding, fleet, offered);
    updateAdmittedFractions(fleet, offered);
}

AdmissionController::OfferedLoad AdmissionController::offeredLoad(const ProxyRegistry& proxies) const {
    OfferedLoad offered{.requestRates = demandByClass(proxies, requestClasses_.size())};
    for (std::size_t requestClass = 0; requestClass < requestClasses_.size(); ++requestClass) {
        const double rate = offered.requestRates[requestClass];
        const double admittedRate = rate * admittedFractions_[requestClass];
        offered.admittedRate += admittedRate;
        offered.admittedWork += admittedRate * latencyObjective(requestClass);
        offered.work += rate * latencyObjective(requestClass);
    }
    return offered;
}

bool AdmissionController::mustStartShedding(const FleetPerformance& fleet, const OfferedLoad& offered) const {
    if (isShedding_ || !reportsCoverDemand_) return false;
    const bool demandSurged = offered.work > kDemandSurgeRatio * bestCapacity_ * fleet.totalTargetWeight;
    return fleet.congestion > kSheddingCongestion || (fleet.congestion > kTargetOverload && demandSurged);
}

void AdmissionController::startShedding(const FleetPerformance& fleet, const OfferedLoad& offered) {
    const double demandRatio = offered.work / (bestCapacity_ * fleet.totalTargetWeight);
    capacityFactor_ = kInitialCapacityFactor * std::min(1.0, demandRatio);
    remainingSettlingTime_ = kSettlingTime;
    isShedding_ = true;
}

void AdmissionController::adjustCapacityFactor(double congestion) {
    remainingSettlingTime_ -= reportInterval_;
    if (remainingSettlingTime_ > 0us) return;
    const double change = std::clamp(kCapacityFactorGain * (kTargetOverload - congestion),
                                     -kMaxFactorDecrease, kMaxFactorIncrease);
    capacityFactor_ = std::clamp(capacityFactor_ + seconds(reportInterval_) * change, kMinCapacityFactor,
                                 kMaxCapacityFactor);
}

void AdmissionController::reportChange(bool wasShedding, const FleetPerformance& fleet,
                                       const OfferedLoad& offered) {
    const double bestCapacity = bestCapacity_ * fleet.totalTargetWeight;
    if (isShedding_ && !wasShedding)
        sink_.report(LoadSheddingStarted{offered.work, bestCapacity, fleet.congestion});
    if (!isShedding_ && wasShedding)
        sink_.report(LoadSheddingStopped{offered.work, bestCapacity, fleet.congestion});
}

/// While shedding, distributes the work that exceeds the capacity over the request classes in shedding order.
void AdmissionController::updateAdmittedFractions(const FleetPerformance& fleet, const OfferedLoad& offered) {
    double excess = 0;
    if (isShedding_)
        excess = std::max(0.0, offered.work - capacityFactor_ * bestCapacity_ * fleet.totalTargetWeight);
    for (const std::size_t requestClass : sheddingOrder_) {
        const double work = offered.requestRates[requestClass] * latencyObjective(requestClass);
        const double shedWork = std::min(excess, work * (1 - kMinAdmittedFraction));
        admittedFractions_[requestClass] = work > 0 ? 1 - shedWork / work : 1;
        excess -= shedWork;
    }
}

void AdmissionController::issueAdmissionLimits(std::vector<PlannedTable>& tables,
                                               const ProxyRegistry& proxies, ControlChannel& channel) {
    forEachLimit(tables, [&](PlannedTable& table, std::size_t requestClass, double lastIssued) {
        const double limit = limitOf(table, requestClass, proxies);
        const double minChange = table.warmUpFraction < 1 ? kMinWarmUpLimitChange : kMinAdmissionChange;
        if (std::abs(limit - lastIssued) <= minChange * std::max(limit, lastIssued)) return;
        issueLimit(table, requestClass, limit, channel);
    });
}

void AdmissionController::issueLowerWarmUpLimits(std::vector<PlannedTable>& tables,
                                                 const ProxyRegistry& proxies, ControlChannel& channel) {
    forEachLimit(tables, [&](PlannedTable& table, std::size_t requestClass, double lastIssued) {
        if (table.warmUpFraction >= 1) return;
        const double limit = limitOf(table, requestClass, proxies);
        const bool isTooHigh = lastIssued < 0 || limit < (1 - kMinWarmUpLimitChange) * lastIssued;
        if (!isTooHigh || !channel.hasDeadlineCapacity(channel.broadcastLines())) return;
        issueLimit(table, requestClass, limit, channel);
    });
}

void AdmissionController::forEachLimit(std::vector<PlannedTable>& tables, const auto& issueLimit) const {
    for (PlannedTable& table : tables) {
        if (table.subsetOf && table.holderCount == 0) continue;
        for (std::size_t requestClass = 0; requestClass < requestClasses_.size(); ++requestClass) {
            if (!(table.requestClasses >> requestClass & 1U)) continue;
            const auto issued = table.admission.find(requestClass);
            issueLimit(table, requestClass, issued == table.admission.end() ? kNeverIssued : issued->second);
        }
    }
}

void AdmissionController::issueLimit(PlannedTable& table, std::size_t requestClass, double limit,
                                     ControlChannel& channel) {
    sink_.setAdmission(table.id, static_cast<RequestClassSet>(1U << requestClass), limit,
                       RetryPolicy::AfterProofOfNoEffect);
    table.admission[requestClass] = limit;
    channel.ledger.chargeTable(table, 1);
}

/// The limit that admits the table's fraction of a request class: the fraction itself, or with
/// ThrottleMode::Rate the rate limit that admits it if each proxy applies it.
double AdmissionController::limitOf(const PlannedTable& table, std::size_t requestClass,
                                    const ProxyRegistry& proxies) const {
    const double admitted = admittedFractions_[requestClass] * table.rateLimitFraction * table.warmUpFraction;
    const double fraction = std::min(1.0, admitted);
    if (mode_ != ThrottleMode::Rate) return fraction;
    // The endpoints that are warming up may be those of one zone, and only its proxies hold its table.
    const bool isForOneZone = table.warmUpFraction < 1;
    std::vector<double> rates;
    for (const auto& [id, proxy] : proxies)
        if (!isForOneZone || proxy.zone == table.zone) rates.push_back(proxy.demand[requestClass]);
    return rateLimitFor(fraction, std::move(rates));
}

/// The rate limit that, applied to each of the rates, admits the fraction of their sum.
double AdmissionController::rateLimitFor(double fraction, std::vector<double> rates) const {
    if (fraction >= 1) return kUnlimitedRate;
    std::ranges::sort(rates);
    double remaining = fraction * std::accumulate(rates.begin(), rates.end(), 0.0);
    for (std::size_t count = 0; count < rates.size(); ++count) {
        const double evenRate = remaining / static_cast<double>(rates.size() - count);
        if (evenRate <= rates[count]) return evenRate;
        remaining -= rates[count];
    }
    return kUnlimitedRate;
}

} // namespace zincstack
