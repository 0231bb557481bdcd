// The decision module: which servers each forwarder's tables name, and when orders go out.
//
// Callers: makePlanner(), then begin(now), inputs, decide() a batch; orders go to an RoutingUpdateSink (planner.h).
// The ordinary path is the design (docs/design.md): listed weights minus withdrawn servers, gathered over a
// window, merged into differences, checked against a ledger, sent in rounds, add before shrink.
// Beside the design stand six mechanisms:
//   1 health          bad or silent sums lead to a probe; if it agrees, a server is shut out or eased
//   2 return          a shut-out server comes back after good probes, a new one enters, by fifths
//   3 levels          under stress of the whole fleet the least revenue for its time is let in less
//   4 further tries   proxies try again only after proof that nothing ran: safe for every product
//   5 channel pacing  lines on their way bound the queue: urgent first, then joiners, then rounds
//   6 starting over   nothing is trusted after a start: all proxies are bound anew, busiest first
#include "planner/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <utility>

#include "planner/admission_control.h"
#include "planner/control_channel.h"
#include "planner/health_monitor.h"
#include "planner/update_scheduler.h"

namespace zincstack {
namespace {

using namespace std::chrono_literals;

constexpr Micros kIdleInterval = 100ms;
constexpr double kDemandDecay = 0.3;

class CoeusPlanner final : public Planner {
public:
    CoeusPlanner(std::uint64_t seed, const FleetConfig& fleet, const ProxyFleetConfig& forwarders,
                 const ControlChannelLimits& channel, const SafetyLimits& guards,
                 std::span<const RequestClassConfig> products, RoutingUpdateSink& sink)
        : sink_(sink), sharded_(fleet.sharded), mustSubscribe_(fleet.mustSubscribeToEndpoints),
          health_(endpoints_, sink, fleet, guards,
                  std::ranges::min(products, {}, &RequestClassConfig::latencyObjective).latencyObjective,
                  std::mt19937(static_cast<std::uint32_t>(seed))),
          channel_(proxies_, sink, channel, forwarders.bootstrapTableSize),
          admission_(sink, forwarders.throttleMode, fleet.reportInterval,
                     std::vector(products.begin(), products.end())),
          scheduler_{.endpoints = endpoints_,
                     .health = health_,
                     .proxies = proxies_,
                     .channel = channel_,
                     .sink = sink,
                     .tables = {},
                     .subsets =
                         SubsetTables(scheduler_.tables, proxies_, endpoints_, forwarders.bootstrapTableSize,
                                      static_cast<std::uint32_t>(seed))} {
        for (const bool zoneOnly : {false, true}) {
            RequestClassSet part = 0;
            for (EndpointIndex p = 0; p < products.size(); ++p)
                if (products[p].zoneLocal == zoneOnly) part = static_cast<RequestClassSet>(part | 1U << p);
            for (std::uint8_t z = 0; part && z < fleet.zoneCount; ++z)
                scheduler_.tables.push_back(
                    {{static_cast<std::uint16_t>(scheduler_.tables.size())}, {z}, zoneOnly, part});
        }
    }

    void beginBatch(Micros now) override { now_ = now; }
    void updateEndpoints(EndpointListUpdate news, std::span<const EndpointUpdate> entries) override {
        mustSubscribe_ |= news == EndpointListUpdate::PollFailed;
        if (news != EndpointListUpdate::PollFailed)
            health_.updateEndpoints(news != EndpointListUpdate::Delta, entries, now_);
    }
    void proxyJoined(ProxyId id, ZoneId zone, double usualRate, bool onlyStanding) override {
        const EndpointIndex products = admission_.requestClasses.size();
        proxyLeft(id);
        const std::vector<double> usage(products, usualRate / static_cast<double>(products));
        proxies_[id] = {.zone = zone,
                        .hasOnlyBootstrapTable = onlyStanding,
                        .demand = usage,
                        .unacknowledged = {},
                        .joinedAt = now_};
    }
    void proxyLeft(ProxyId id) override { channel_.ledger.proxyLeft(id); }
    void reportLoad(const EndpointLoadReport& line) override { health_.reportLoad(line); }
    void reportDemand(const DemandReport& line) override {
        const auto found = proxies_.find(line.proxy);
        if (found == proxies_.end() || line.requestClass.value >= admission_.requestClasses.size() ||
            line.interval <= 0us)
            return;
        double& rate = found->second.demand[line.requestClass.value];
        const double heard = line.requests / seconds(line.interval);
        rate = heard + std::pow(kDemandDecay, seconds(line.interval)) * (rate - heard);
    }
    void barrierAcknowledged(ProxyId id, BarrierId number) override {
        channel_.ledger.acknowledged(id, number);
    }
    void probeCompleted(const ProbeResult& result) override { health_.probeCompleted(result, now_); }
    void timerExpired() override { wakeUpScheduled_ = false; }

    void decide() override {
        if (sharded_) return;
        if (!wakeUpScheduled_) sink_.scheduleWakeUp(kIdleInterval);
        wakeUpScheduled_ = true;
        if (std::exchange(mustSubscribe_, false)) sink_.subscribeToEndpoints();
        if (const auto stress = health_.evaluateReports(admission_.meanLatencyObjective(proxies_), now_))
            admission_.updateForOverload(*stress, health_.attemptRate, health_.successRate,
                                         totalTargetWeight(endpoints_), proxies_);
        health_.startDueProbes(now_);
        if (!channel_.mayWriteBatch(now_)) return;
        health_.advanceSlowStart(admission_.admittedDemand(proxies_),
                                 scheduler_.state == RoundState::Idle || scheduler_.isStepAcknowledged(now_),
                                 now_);
        channel_.ledger.expire(now_ - kLedgerExpiry, now_ - kUnawaitedExpiry);
        const bool idle = channel_.spareLines(kIdleBudget) > 0;
        for (auto& table : scheduler_.tables) {
            table.installed.resize(endpoints_.size(), 0);
            table.inUse = !table.subsetOf && std::ranges::any_of(proxies_, [&](auto& one) {
                return one.second.zone == table.zone;
            });
        }
        scheduler_.batchStartedAt = now_;
        const double half = channel_.spareLines(kBatchBudget) / 2;
        if (half > 0 || channel_.isMetered()) scheduler_.orderUrgentUpdates(idle, now_);
        // Guards against old tables that run out of servers while urgent orders take the whole channel.
        const auto worn = [&](const PlannedTable& table) {
            return endpoints_.excludedFraction(table.zone) >= kDepletedFraction;
        };
        if (half > 0 && (idle || std::ranges::any_of(scheduler_.tables, worn)))
            channel_.assignFullTables(scheduler_.tables, endpoints_, half);
        if (channel_.isMetered()) scheduler_.assignSubsetTables(now_);
        if (half > 0 || channel_.isMetered()) scheduler_.repeatExclusions(idle, now_);
        if (idle) {
            scheduler_.advance(now_);
            admission_.orderAdmission(scheduler_.tables, proxies_, channel_);
            if (mayAssignFullTables())
                channel_.assignFullTables(scheduler_.tables, endpoints_, channel_.spareLines(kBatchBudget));
            if (channel_.spareLines(kIdleBudget) > 0) channel_.clearStaleExclusions(endpoints_);
        }
        if (const auto mark = channel_.closeBatch(now_); scheduler_.stepSentAt == now_)
            scheduler_.stepBarrier = mark;
    }

private:
    /// Whole tables cost more to take back than starter tables: no more proxies hold them than can be told of the
    /// servers that ended within a grace by half of the queue.
    bool mayAssignFullTables() const {
        if (!channel_.isMetered()) return true;
        double ended = 1;
        for (EndpointIndex s = 0; s < endpoints_.size(); ++s)
            ended += endpoints_.health[s] == Removed && !endpoints_.forgotten[s] &&
                     endpoints_.healthChangedAt[s] > now_ - health_.safety.drainGracePeriod;
        const auto bound = static_cast<double>(
            std::ranges::count_if(proxies_, [](const auto& one) { return one.second.hasFullTable; }));
        return bound * (channel_.limits.messageOverheadLines + 1 + ended) <=
               kOrdinaryQueueFraction * channel_.limits.maxQueuedLines;
    }

    RoutingUpdateSink& sink_;
    const bool sharded_;
    bool mustSubscribe_, wakeUpScheduled_ = false;
    Micros now_{};
    EndpointRegistry endpoints_;
    ProxyRegistry proxies_;
    HealthMonitor health_;
    ControlChannel channel_;
    AdmissionController admission_;
    UpdateScheduler scheduler_;
};

} // namespace

std::unique_ptr<Planner> makePlanner(std::uint64_t seed, const FleetConfig& fleet,
                                     const ProxyFleetConfig& forwarders, const ControlChannelLimits& channel,
                                     const SafetyLimits& guards, std::span<const RequestClassConfig> products,
                                     RoutingUpdateSink& sink) {
    return std::make_unique<CoeusPlanner>(seed, fleet, forwarders, channel, guards, products, sink);
}

} // namespace zincstack
