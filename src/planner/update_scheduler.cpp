// State machine of the rounds, and one step of the Coeus paper's Algorithm 5 with its phases.
#include "planner/update_scheduler.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "planner/transition_table.h"

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// A step ends after this time even if acknowledgements are missing, so that a proxy that hangs cannot
/// block all updates.
constexpr Micros kStepTimeout = 2s;

/// Fitting fraction of an operation without blocked additions. With blocked additions it is below 1.
constexpr double kNothingBlocked = 2;

enum class RoundEvent : std::uint8_t {
    ChangesPending,
    WindowElapsed,
    AcknowledgedWithChanges, ///< the step is acknowledged and further changes are pending
    Acknowledged,
};
enum class RoundAction : std::uint8_t { OpenWindow, SendStep, EndRound };

constexpr Transition<RoundState, RoundEvent, RoundAction> kRoundTransitions[] = {
    {RoundState::Idle, RoundEvent::ChangesPending, RoundState::Coalescing, RoundAction::OpenWindow},
    {RoundState::Coalescing, RoundEvent::WindowElapsed, RoundState::AwaitingAck, RoundAction::SendStep},
    {RoundState::AwaitingAck, RoundEvent::AcknowledgedWithChanges, RoundState::AwaitingAck,
     RoundAction::SendStep},
    {RoundState::AwaitingAck, RoundEvent::Acknowledged, RoundState::Idle, RoundAction::EndRound},
};

} // namespace

// ---- rounds ----------------------------------------------------------------------------------------------

void UpdateScheduler::advance(Micros now) {
    bool mayContinue = true;
    while (mayContinue) mayContinue = takeTransition(now);
}

/// Takes the transition that applies. Returns false if none applies or if a step was sent, since the next
/// transition has to wait for its acknowledgement.
bool UpdateScheduler::takeTransition(Micros now) {
    const auto hasOccurred = [&](RoundEvent event) {
        switch (event) {
        case RoundEvent::ChangesPending: return routing_.hasPendingChanges();
        case RoundEvent::WindowElapsed: return now - windowOpenedAt_ >= kCoalescingWindow;
        case RoundEvent::AcknowledgedWithChanges:
            return isStepAcknowledged(now) && routing_.hasPendingChanges();
        case RoundEvent::Acknowledged: return isStepAcknowledged(now);
        }
        return false;
    };
    const auto* transition = findTransition(kRoundTransitions, state_, hasOccurred);
    if (!transition) return false;
    if (state_ == RoundState::AwaitingAck)
        for (PlannedTable& table : routing_.tables) table.rateLimitFraction = 1;
    state_ = transition->next;
    switch (transition->action) {
    case RoundAction::OpenWindow: windowOpenedAt_ = now; return true;
    case RoundAction::SendStep: executeStep(now); return false;
    case RoundAction::EndRound: return true;
    }
    return false;
}

bool UpdateScheduler::isStepAcknowledged(Micros now) const {
    if (state_ != RoundState::AwaitingAck || stepSentAt_ == now) return false;
    return now - stepSentAt_ >= kStepTimeout || channel_.ledger.isAcknowledged(stepBarrier_);
}

void UpdateScheduler::batchClosed(std::optional<BarrierId> barrier, Micros now) {
    if (stepSentAt_ == now) stepBarrier_ = barrier;
}

bool UpdateScheduler::mayChangeTargets(Micros now) const {
    return state_ == RoundState::Idle || isStepAcknowledged(now);
}

// ---- one step (the paper's Algorithm 5) ------------------------------------------------------------------

void UpdateScheduler::executeStep(Micros now) {
    stepSentAt_ = now;
    stepBarrier_ = {};
    std::vector<PendingOperation> operations = findPendingOperations();
    CapacityLedger ledger = makeCapacityLedger(operations);
    const bool hasReleased = issueReleases(operations);
    rankByReleases(operations);
    const FitCheck fit = issueFittingAdditions(operations, ledger);
    const bool isDeadlocked = !hasReleased && !fit.hasProgress && fit.leastLoss.operation;
    if (isDeadlocked) breakDeadlock(fit.leastLoss);
}

/// Builds the nodes of the dependency graph: one operation per full table, merged as in Algorithm 3.
std::vector<UpdateScheduler::PendingOperation> UpdateScheduler::findPendingOperations() const {
    std::vector<PendingOperation> operations;
    for (PlannedTable& table : routing_.tables)
        if (!table.subsetOf) operations.push_back(compareWithTarget(table));
    return operations;
}

UpdateScheduler::PendingOperation UpdateScheduler::compareWithTarget(PlannedTable& table) const {
    PendingOperation operation{.table = &table, .demand = table.demand(proxies_)};
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        const double target = routing_.targetWeightIn(table, index);
        const double installed = table.installedWeight[index];
        const double usable = endpoints_.excluded[index] ? 0 : installed;
        operation.totalWeight += usable;
        if (target > installed) {
            operation.additions.push_back(index);
            operation.addedWeight += target - usable;
        }
        if (target < installed) operation.removals.push_back(index);
    }
    return operation;
}

/// Builds the resource nodes of the graph: the endpoints' capacities, and the load that the installed tables
/// bring to them before this step.
CapacityLedger UpdateScheduler::makeCapacityLedger(const std::vector<PendingOperation>& operations) const {
    double totalDemand = 0;
    for (const PendingOperation& operation : operations) totalDemand += operation.demand;
    CapacityLedger ledger(endpoints_, totalDemand);
    for (const PendingOperation& operation : operations)
        for (EndpointIndex index = 0; index < endpoints_.size(); ++index)
            ledger.reserve(index, operation.demand * weightFraction(operation, index));
    return ledger;
}

/// Issues the releases (first part of Algorithm 5, lines 3-11): removals without dependencies, which are
/// those of tables without additions or without demand, and those of endpoints out of service. Returns true
/// if at least one was issued.
bool UpdateScheduler::issueReleases(const std::vector<PendingOperation>& operations) {
    bool hasProgress = false;
    for (const PendingOperation& operation : operations) {
        const bool isIndependent = operation.demand <= 0 || operation.additions.empty();
        for (const EndpointIndex index : operation.removals) {
            if (!isIndependent && endpoints_.isInService(index)) continue;
            hasProgress |= issueUpdate(operation, index);
        }
    }
    return hasProgress;
}

/// Sorts the operations by the number of endpoints that they release, largest first: the paper's nodes with
/// most out-edges. Ties keep the order of the tables.
void UpdateScheduler::rankByReleases(std::vector<PendingOperation>& operations) {
    std::ranges::stable_sort(operations, std::ranges::greater{},
                             [](const PendingOperation& operation) { return operation.removals.size(); });
}

/// The fit check (second part of Algorithm 5, lines 3-11): issues additions while their endpoints have
/// residual capacity.
UpdateScheduler::FitCheck
UpdateScheduler::issueFittingAdditions(const std::vector<PendingOperation>& operations,
                                       CapacityLedger& ledger) {
    FitCheck check;
    for (const PendingOperation& operation : operations) checkFit(operation, ledger, check);
    return check;
}

void UpdateScheduler::checkFit(const PendingOperation& operation, CapacityLedger& ledger, FitCheck& check) {
    const bool hasNoTraffic = operation.demand <= 0 || operation.totalWeight <= 0;
    double fittingFraction = kNothingBlocked;
    double blockedRate = 0;
    for (const EndpointIndex index : operation.additions) {
        // The additions share the table's demand, so each one counts with its weight fraction after all
        // additions are installed.
        const double fractionAfter = routing_.targetWeightIn(*operation.table, index) /
                                     (operation.totalWeight + operation.addedWeight);
        const double addedRate = operation.demand * (fractionAfter - weightFraction(operation, index));
        const double residual = ledger.residual(index);
        if (hasNoTraffic || addedRate <= residual) {
            ledger.reserve(index, addedRate);
            check.hasProgress |= issueUpdate(operation, index);
        } else {
            fittingFraction = std::min(fittingFraction, std::max(residual, 0.0) / addedRate);
            blockedRate += addedRate;
        }
    }
    const double lossRatio = 1 - fittingFraction;
    if (fittingFraction < 1 && lossRatio < check.leastLoss.lossRatio)
        check.leastLoss = {.operation = &operation, .lossRatio = lossRatio, .requestRate = blockedRate};
}

/// Resolves a deadlock, in which no change fits (Algorithm 5, lines 13-16). The operation with the least
/// throughput loss ratio is issued nevertheless, and its table admits fewer requests until the step ends.
/// The paper limits the rate of the whole flow. Here only the blocked fraction of the demand moves, so the
/// loss ratio applies to that fraction only.
void UpdateScheduler::breakDeadlock(const BlockedAdditions& leastLoss) {
    const PendingOperation& operation = *leastLoss.operation;
    const double rateLimitFraction = 1 - leastLoss.lossRatio * leastLoss.requestRate / operation.demand;
    operation.table->rateLimitFraction = std::clamp(rateLimitFraction, 0.0, 1.0);
    reportDeadlock(*operation.table);
    for (const EndpointIndex index : operation.additions) issueUpdate(operation, index);
}

void UpdateScheduler::reportDeadlock(const PlannedTable& table) {
    sink_.report(UpdateDeadlock{table.id, table.rateLimitFraction});
}

bool UpdateScheduler::issueUpdate(const PendingOperation& operation, EndpointIndex index) {
    if (channel_.spareLines(kBatchBudget) <= 0) return false;
    routing_.installWeight(*operation.table, index);
    return true;
}

/// Fraction of the operation's demand that its table, as installed, sends to the endpoint; 0 if the endpoint
/// is excluded.
double UpdateScheduler::weightFraction(const PendingOperation& operation, EndpointIndex index) const {
    if (operation.totalWeight <= 0 || endpoints_.excluded[index]) return 0;
    return operation.table->installedWeight[index] / operation.totalWeight;
}

} // namespace zincstack
