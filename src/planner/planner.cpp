// The planner: stores its inputs and closes each batch with the steps of decide(). Each step is a separate
// module; this file only connects them and defines their order.
//
//   endpoint_registry, proxy_registry, routing_tables   state
//   health_monitor          ejects failing endpoints, reduces the weight of slow ones, readmits them, and
//                           advances slow start
//   admission_control       sheds load by priority while the whole fleet is overloaded
//   warm_up_limits          limits what is admitted to tables whose endpoints are warming up
//   control_channel         limits how much may be issued now
//   urgent_updates          issues the updates that do not wait for a round
//   table_assignment        assigns tables to proxies
//   update_scheduler        issues consistent updates in rounds (docs/design.md)
//
// A planner starts without stored state: it assigns new tables to all proxies, the busiest first.
#include "planner/planner.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "planner/admission_control.h"
#include "planner/control_channel.h"
#include "planner/health_monitor.h"
#include "planner/table_assignment.h"
#include "planner/update_scheduler.h"
#include "planner/urgent_updates.h"
#include "planner/warm_up_limits.h"

namespace zincstack {
namespace {

using namespace std::chrono_literals;

/// Wake-up interval without inputs: coalescing windows, slow start and health checks progress with time.
constexpr Micros kIdleInterval = 100ms;
/// Factor per second by which older values decay in the exponential moving average of a proxy's demand.
constexpr double kDemandDecay = 0.3;
/// Fraction of a batch's budget that joining proxies may use before the rounds; the rest is left to the
/// rounds.
constexpr double kJoinBudgetFraction = 0.5;

Micros shortestLatencyObjective(const std::vector<RequestClassConfig>& requestClasses) {
    return std::ranges::min(requestClasses, {}, &RequestClassConfig::latencyObjective).latencyObjective;
}

bool canLimitAdmission(const ProxyFleetConfig& proxyFleet) {
    return proxyFleet.throttleMode != ThrottleMode::None;
}

/// Connects the modules of the planner.
class PlannerImpl final : public Planner {
public:
    PlannerImpl(const PlannerConfig& config, RoutingUpdateSink& sink)
        : sink_(sink), sharded_(config.fleet.sharded), drainGracePeriod_(config.safety.drainGracePeriod),
          mustSubscribe_(config.fleet.mustSubscribeToEndpoints),
          health_(endpoints_, sink, config.fleet, config.safety, canLimitAdmission(config.proxyFleet),
                  shortestLatencyObjective(config.requestClasses),
                  std::mt19937(static_cast<std::uint32_t>(config.seed))),
          channel_(proxies_, sink, config.channel),
          admission_(sink, config.proxyFleet.throttleMode, config.fleet.reportInterval,
                     config.requestClasses),
          warmUpLimits_(endpoints_, health_, sink, config.safety, canLimitAdmission(config.proxyFleet),
                        config.fleet.reportInterval),
          routing_(endpoints_, channel_, sink, config.proxyFleet.bootstrapTableSize),
          urgentUpdates_(endpoints_, health_, proxies_, channel_, routing_, sink),
          assignment_(endpoints_, health_, proxies_, channel_, routing_, sink,
                      config.proxyFleet.bootstrapTableSize, static_cast<std::uint32_t>(config.seed)),
          scheduler_(endpoints_, proxies_, channel_, routing_, sink) {
        routing_.createFullTables(config.requestClasses, config.fleet.zoneCount);
    }

    // -- inputs --
    void beginBatch(Micros now) override { now_ = now; }
    void updateEndpoints(EndpointListUpdate kind, std::span<const EndpointUpdate> entries) override;
    void proxyJoined(ProxyId id, ZoneId zone, double expectedRate, bool hasOnlyBootstrapTable) override;
    void proxyLeft(ProxyId id) override { channel_.ledger.proxyLeft(id); }
    void reportLoad(const EndpointLoadReport& report) override {
        health_.reportLoad(report);
        warmUpLimits_.reportLoad(report, now_);
    }
    void reportDemand(const DemandReport& report) override;
    void barrierAcknowledged(ProxyId id, BarrierId barrier) override {
        channel_.ledger.acknowledged(id, barrier);
    }
    void probeCompleted(const ProbeResult& result) override { health_.probeCompleted(result, now_); }
    void timerExpired() override { wakeUpScheduled_ = false; }

    void decide() override;

private:
    // -- steps of decide(), in their order; the other steps are calls to the modules --
    void scheduleWakeUp();
    void subscribeToEndpoints();
    void evaluateReports();
    void advanceWarmUps();
    void issueOrdinaryUpdates();
    void closeBatch();

    bool isAnyZoneDepleted() const;

    RoutingUpdateSink& sink_;
    const bool sharded_;
    const Micros drainGracePeriod_;
    bool mustSubscribe_;
    bool wakeUpScheduled_ = false;
    Micros now_{};
    EndpointRegistry endpoints_;
    ProxyRegistry proxies_;
    HealthMonitor health_;
    ControlChannel channel_;
    AdmissionController admission_;
    WarmUpLimits warmUpLimits_;
    RoutingTables routing_;
    UrgentUpdates urgentUpdates_;
    TableAssignment assignment_;
    UpdateScheduler scheduler_;
};

void PlannerImpl::updateEndpoints(EndpointListUpdate kind, std::span<const EndpointUpdate> entries) {
    if (kind == EndpointListUpdate::PollFailed) {
        mustSubscribe_ = true;
        return;
    }
    const bool isComplete = kind != EndpointListUpdate::Delta;
    health_.updateEndpoints(isComplete, entries, now_);
}

void PlannerImpl::proxyJoined(ProxyId id, ZoneId zone, double expectedRate, bool hasOnlyBootstrapTable) {
    proxyLeft(id);
    const EndpointIndex classCount = admission_.requestClassCount();
    proxies_[id] = {
        .zone = zone,
        .hasOnlyBootstrapTable = hasOnlyBootstrapTable,
        .demand = std::vector<double>(classCount, expectedRate / static_cast<double>(classCount)),
        .joinedAt = now_,
    };
}

void PlannerImpl::reportDemand(const DemandReport& report) {
    const auto found = proxies_.find(report.proxy);
    if (found == proxies_.end() || report.interval <= 0us) return;
    if (report.requestClass.value >= admission_.requestClassCount()) return;
    double& rate = found->second.demand[report.requestClass.value];
    const double reportedRate = report.requests / seconds(report.interval);
    rate = reportedRate + std::pow(kDemandDecay, seconds(report.interval)) * (rate - reportedRate);
}

void PlannerImpl::decide() {
    if (sharded_) return;
    scheduleWakeUp();
    subscribeToEndpoints();
    evaluateReports();
    health_.startDueProbes(now_);
    if (!channel_.mayWriteBatch(now_)) return;

    advanceWarmUps();
    channel_.ledger.expire(now_);
    routing_.beginBatch(proxies_, now_);
    const bool channelIsIdle = channel_.spareLines(kIdleBudget) > 0;
    const double joinBudget = kJoinBudgetFraction * channel_.spareLines(kBatchBudget);
    // A sink that measures the channel defers by itself the updates that do not fit.
    const bool mayIssue = joinBudget > 0 || channel_.isMetered();

    if (mayIssue) admission_.issueLowerWarmUpLimits(routing_.tables, proxies_, channel_);
    if (mayIssue) urgentUpdates_.issueUrgentUpdates(channelIsIdle, now_);
    // In a depleted zone, proxies run out of usable endpoints in their inherited tables. They are then
    // assigned full tables even if urgent updates keep the channel from being idle.
    if (joinBudget > 0 && (channelIsIdle || isAnyZoneDepleted())) assignment_.assignFullTables(joinBudget);
    if (channel_.isMetered()) assignment_.assignSubsetTables(now_);
    if (mayIssue) urgentUpdates_.repeatExclusions(channelIsIdle, now_);
    if (channelIsIdle) issueOrdinaryUpdates();
    closeBatch();
}

void PlannerImpl::scheduleWakeUp() {
    if (!wakeUpScheduled_) sink_.scheduleWakeUp(kIdleInterval);
    wakeUpScheduled_ = true;
}

void PlannerImpl::subscribeToEndpoints() {
    if (std::exchange(mustSubscribe_, false)) sink_.subscribeToEndpoints();
}

/// Updates the endpoints' health from the load reports, and the admission limits from the resulting
/// congestion.
void PlannerImpl::evaluateReports() {
    warmUpLimits_.evaluateReports(now_);
    const auto congestion = health_.evaluateReports(admission_.meanLatencyObjective(proxies_), now_);
    if (!congestion) return;
    admission_.updateForOverload({.congestion = *congestion,
                                  .attemptRate = health_.fleetLoad().attemptRate,
                                  .successRate = health_.fleetLoad().successRate,
                                  .totalTargetWeight = totalTargetWeight(endpoints_)},
                                 proxies_);
}

/// Limits what is admitted to tables whose endpoints are warming up, and moves endpoints through slow start.
void PlannerImpl::advanceWarmUps() {
    const AdmittedDemand demand =
        warmUpLimits_.update(routing_.tables, admission_.admittedDemand(proxies_), now_);
    health_.advanceSlowStart(demand, scheduler_.mayChangeTargets(now_), now_);
}

/// Issues the updates that can wait until the channel is idle, in order of precedence: the operations of the
/// round, admission limits, full tables for joining proxies, and readmissions of stale exclusions.
void PlannerImpl::issueOrdinaryUpdates() {
    scheduler_.advance(now_);
    admission_.issueAdmissionLimits(routing_.tables, proxies_, channel_);
    if (assignment_.mayAssignFullTables(drainGracePeriod_, now_))
        assignment_.assignFullTables(channel_.spareLines(kBatchBudget));
    if (channel_.spareLines(kIdleBudget) > 0) assignment_.clearStaleExclusions();
}

void PlannerImpl::closeBatch() {
    const auto barrier = channel_.closeBatch(now_);
    scheduler_.batchClosed(barrier, now_);
}

bool PlannerImpl::isAnyZoneDepleted() const {
    return std::ranges::any_of(routing_.tables, [this](const PlannedTable& table) {
        return isZoneDepleted(endpoints_, table.zone);
    });
}

} // namespace

std::unique_ptr<Planner> makePlanner(const PlannerConfig& config, RoutingUpdateSink& sink) {
    return std::make_unique<PlannerImpl>(config, sink);
}

} // namespace zincstack
