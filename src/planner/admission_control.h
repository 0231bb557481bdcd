// Admission control: how much of each request class is admitted, and when proxies retry.
#pragma once

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

#include "planner/control_channel.h"
#include "planner/health_monitor.h"

namespace zincstack {

using namespace std::chrono_literals;

inline constexpr double kSheddingOverload = 0.3;
inline constexpr double kDemandJump = 1.2;
inline constexpr double kCapacityFactorGain = 0.5;
inline constexpr double kMaxFactorDecrease = 0.1;
inline constexpr double kMaxFactorIncrease = 0.06;
inline constexpr double kInitialCapacityFactor = 0.85;
inline constexpr double kMinCapacityFactor = 0.5;
inline constexpr double kMaxCapacityFactor = 1.3;
inline constexpr double kBestCapacityDecay = 0.995;
inline constexpr double kMinAdmittedFraction = 0.1;
inline constexpr double kReportCoverage = 0.8;
inline constexpr double kMinAdmissionChange = 0.02;
inline constexpr double kUnlimitedRate = 1e6;

/// How much of each product is let in, and when proxies try again.
struct AdmissionController {
    RoutingUpdateSink& sink;
    const ThrottleMode mode;
    const Micros reportInterval; // of the sums

    const std::vector<RequestClassConfig> requestClasses;
    std::vector<double> admittedFraction =
        std::vector<double>(requestClasses.size(), 1); // by product: the share let in
    bool shedding = false,
         reportsCoverDemand = false; // covered: the sums have told of nearly all that is let in
    Micros settlingTime{};           // no moves until this has passed
    double capacityFactor = 1,
           bestCapacity = 0; // the part of the best settled work for its weight that is let in

    /// The mean SLA time of what comes.
    double meanLatencyObjective(const ProxyRegistry& proxies) const {
        const auto came = demandByClass(proxies, requestClasses.size());
        double work = 0, all = 0;
        for (EndpointIndex p = 0; p < came.size(); ++p)
            work += came[p] * seconds(requestClasses[p].latencyObjective), all += came[p];
        return all > 0 ? work / all : seconds(requestClasses[0].latencyObjective);
    }
    /// Txns a second that are let in.
    double admittedDemand(const ProxyRegistry& proxies) const {
        const auto came = demandByClass(proxies, requestClasses.size());
        return std::inner_product(came.begin(), came.end(), admittedFraction.begin(), 0.0);
    }

    /// The whole fleet fails or is late: no more is let in than the best that it has settled for its weight,
    /// more or less by what is seen since; first the product with least revenue for its SLA time gives way.
    /// Guards against any jam: too many txns, dearer txns, lost servers. Harms if half the fleet is slow.
    void updateForOverload(double stress, double tried, double settled, double weight,
                           const ProxyRegistry& proxies) {
        const std::vector<double> came = demandByClass(proxies, requestClasses.size());
        double passed = 0, work = 0, wanted = 0, spare = 0;
        for (EndpointIndex p = 0; p < requestClasses.size(); ++p) {
            passed += came[p] * admittedFraction[p];
            work += came[p] * admittedFraction[p] * seconds(requestClasses[p].latencyObjective);
            wanted += came[p] * seconds(requestClasses[p].latencyObjective);
        }
        if (passed <= 0 || weight <= 0) return;
        bestCapacity = std::max(bestCapacity * kBestCapacityDecay, settled * work / passed / weight);
        const bool before = shedding;
        // Guards against a best of next to nothing just after a start, when sums tell of few proxies.
        reportsCoverDemand = reportsCoverDemand || tried >= kReportCoverage * passed;
        if (!shedding && reportsCoverDemand &&
            (stress > kSheddingOverload ||
             (stress > kTargetOverload && wanted > kDemandJump * bestCapacity * weight))) {
            capacityFactor = kInitialCapacityFactor * std::min(1.0, wanted / (bestCapacity * weight));
            settlingTime = kOnsetTime;
            shedding = true;
        } else if (shedding &&
                   (settlingTime -= reportInterval) <= 0us) { // sums tell of limits only after a while
            const double move = std::clamp(kCapacityFactorGain * (kTargetOverload - stress),
                                           -kMaxFactorDecrease, kMaxFactorIncrease);
            capacityFactor = std::clamp(capacityFactor + seconds(reportInterval) * move, kMinCapacityFactor,
                                        kMaxCapacityFactor);
        }
        if (stress < kTargetOverload && wanted <= capacityFactor * bestCapacity * weight) shedding = false;
        if (shedding && !before) sink.report(LoadSheddingStarted{wanted, bestCapacity * weight, stress});
        if (!shedding && before) sink.report(LoadSheddingStopped{wanted, bestCapacity * weight, stress});
        std::vector<EndpointIndex> order(requestClasses.size());
        std::iota(order.begin(), order.end(), EndpointIndex{0});
        const auto worth = [&](EndpointIndex p) {
            return requestClasses[p].priorityWeight / seconds(requestClasses[p].latencyObjective);
        };
        std::ranges::stable_sort(order, {}, worth);
        if (shedding) spare = std::max(0.0, wanted - capacityFactor * bestCapacity * weight);
        for (const EndpointIndex p : order) {
            const double part = came[p] * seconds(requestClasses[p].latencyObjective);
            const double cut = std::min(spare, part * (1 - kMinAdmittedFraction));
            admittedFraction[p] = part > 0 ? 1 - cut / part : 1;
            spare -= cut;
        }
    }

    void orderAdmission(std::vector<PlannedTable>& tables, const ProxyRegistry& proxies,
                        ControlChannel& channel) {
        for (auto& table : tables)
            for (EndpointIndex p = 0; p < requestClasses.size(); ++p) {
                if (!(table.requestClasses >> p & 1U) || (table.subsetOf && table.holderCount == 0)) continue;
                const double level =
                    limitFor(std::min(1.0, admittedFraction[p] * table.rateLimitFraction), p, proxies);
                double& before = table.admission.try_emplace(p, -1.0).first->second;
                if (std::abs(level - before) <= kMinAdmissionChange * std::max(level, before)) continue;
                sink.setAdmission(table.id, static_cast<RequestClassSet>(1U << p), level,
                                  RetryPolicy::AfterProofOfNoEffect);
                before = level;
                channel.ledger.chargeTable(table, 1);
            }
    }

    /// A share as it is; or the rate at each proxy at which that share of the product passes in all.
    double limitFor(double share, EndpointIndex p, const ProxyRegistry& proxies) const {
        if (mode != ThrottleMode::Rate) return share;
        std::vector<double> rates;
        for (const auto& [id, proxy] : proxies) rates.push_back(proxy.demand[p]);
        std::ranges::sort(rates);
        double goal = share * std::accumulate(rates.begin(), rates.end(), 0.0);
        for (EndpointIndex k = 0; share < 1 && k < rates.size(); goal -= rates[k++]) {
            const double even = goal / static_cast<double>(rates.size() - k);
            if (even <= rates[k]) return even;
        }
        return kUnlimitedRate;
    }
};

} // namespace zincstack
