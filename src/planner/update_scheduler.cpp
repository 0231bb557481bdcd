#include "planner/update_scheduler.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "planner/transition_table.h"

namespace zincstack {

namespace {

using namespace std::chrono_literals;

/// A step ends after this even if acknowledgements are missing: a proxy that hangs must not stop all updates.
constexpr Micros kMaxStepTime = 2s;

/// Above any fraction of a rate that can fit.
constexpr double kNothingBlocked = 2;

enum class RoundEvent : std::uint8_t {
    ChangesPending,
    WindowElapsed,
    AcknowledgedWithChanges, ///< the step is acknowledged, and changes are pending
    Acknowledged,
};
enum class RoundAction : std::uint8_t { OpenWindow, SendStep, EndRound };

constexpr Transition<RoundState, RoundEvent, RoundAction> kRoundTransitions[] = {
    {RoundState::Idle, RoundEvent::ChangesPending, RoundState::Gathering, RoundAction::OpenWindow},
    {RoundState::Gathering, RoundEvent::WindowElapsed, RoundState::AwaitingAck, RoundAction::SendStep},
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

/// False if no transition applies, or a step was sent: nothing can follow before its acknowledgement.
bool UpdateScheduler::takeTransition(Micros now) {
    const auto hasOccurred = [&](RoundEvent event) {
        switch (event) {
        case RoundEvent::ChangesPending: return routing_.hasPendingChanges();
        case RoundEvent::WindowElapsed: return now - windowOpenedAt_ >= kGatheringWindow;
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
    switch (transition->effect) {
    case RoundAction::OpenWindow: windowOpenedAt_ = now; return true;
    case RoundAction::SendStep: executeStep(now); return false;
    case RoundAction::EndRound: return true;
    }
    return false;
}

bool UpdateScheduler::isStepAcknowledged(Micros now) const {
    if (state_ != RoundState::AwaitingAck || stepSentAt_ == now) return false;
    return now - stepSentAt_ >= kMaxStepTime || channel_.ledger.isAcknowledged(stepBarrier_);
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
    const bool hasReleased = orderReleases(operations);
    rankByReleases(operations);
    const FitCheck fit = orderFittingAdditions(operations, ledger);
    const bool isDeadlocked = !hasReleased && !fit.hasProgress && fit.leastLoss.operation;
    if (isDeadlocked) breakDeadlock(fit.leastLoss);
}

/// The dependency graph, its operations merged as by Algorithm 3: one for each full table.
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
        const double installed = table.installed[index];
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

/// The resources of the graph: what endpoints can carry, and what the tables bring them before this step.
CapacityLedger UpdateScheduler::makeCapacityLedger(const std::vector<PendingOperation>& operations) const {
    double totalDemand = 0;
    for (const PendingOperation& operation : operations) totalDemand += operation.demand;
    CapacityLedger ledger(endpoints_, totalDemand);
    for (const PendingOperation& operation : operations)
        for (EndpointIndex index = 0; index < endpoints_.size(); ++index)
            ledger.reserve(index, operation.demand * weightFraction(operation, index));
    return ledger;
}

/// Releases, the first part of Algorithm 5, lines 3-11: removals that depend on nothing: of tables without
/// additions or without demand, and of endpoints out of service. True if one was ordered.
bool UpdateScheduler::orderReleases(const std::vector<PendingOperation>& operations) {
    bool hasProgress = false;
    for (const PendingOperation& operation : operations) {
        const bool isIndependent = operation.demand <= 0 || operation.additions.empty();
        for (const EndpointIndex index : operation.removals) {
            if (!isIndependent && endpoints_.isInService(index)) continue;
            hasProgress |= orderUpdate(operation, index);
        }
    }
    return hasProgress;
}

/// Operations whose completion releases most endpoints come first: the paper's nodes with most out-edges.
/// Ties keep the order of the tables.
void UpdateScheduler::rankByReleases(std::vector<PendingOperation>& operations) {
    std::ranges::stable_sort(operations, std::ranges::greater{},
                             [](const PendingOperation& operation) { return operation.removals.size(); });
}

/// The fit check, the second part of Algorithm 5, lines 3-11: orders additions while their endpoints have
/// capacity left.
UpdateScheduler::FitCheck
UpdateScheduler::orderFittingAdditions(const std::vector<PendingOperation>& operations,
                                       CapacityLedger& ledger) {
    FitCheck check;
    for (const PendingOperation& operation : operations) checkFit(operation, ledger, check);
    return check;
}

void UpdateScheduler::checkFit(const PendingOperation& operation, CapacityLedger& ledger, FitCheck& check) {
    const bool servesNobody = operation.demand <= 0 || operation.totalWeight <= 0;
    double fittingFraction = kNothingBlocked;
    double blockedRate = 0;
    for (const EndpointIndex index : operation.additions) {
        // The additions share the demand: each counts with its part of the table as it will be after all of
        // them.
        const double fractionAfter = routing_.targetWeightIn(*operation.table, index) /
                                     (operation.totalWeight + operation.addedWeight);
        const double addedRate = operation.demand * (fractionAfter - weightFraction(operation, index));
        const double residual = ledger.residual(index);
        if (servesNobody || addedRate <= residual) {
            ledger.reserve(index, addedRate);
            check.hasProgress |= orderUpdate(operation, index);
        } else {
            fittingFraction = std::min(fittingFraction, std::max(residual, 0.0) / addedRate);
            blockedRate += addedRate;
        }
    }
    const double lossRatio = 1 - fittingFraction;
    if (fittingFraction < 1 && lossRatio < check.leastLoss.lossRatio)
        check.leastLoss = {.operation = &operation, .lossRatio = lossRatio, .rate = blockedRate};
}

/// Nothing fits (Algorithm 5, lines 13-16): the operation with the least throughput loss ratio moves
/// nevertheless, and its table admits less until the step ends. The paper limits the whole flow; here only
/// the blocked part of the demand moves, so only that part counts.
void UpdateScheduler::breakDeadlock(const BlockedAdditions& leastLoss) {
    const PendingOperation& operation = *leastLoss.operation;
    const double rateLimitFraction = 1 - leastLoss.lossRatio * leastLoss.rate / operation.demand;
    operation.table->rateLimitFraction = std::clamp(rateLimitFraction, 0.0, 1.0);
    reportDeadlock(*operation.table);
    for (const EndpointIndex index : operation.additions) orderUpdate(operation, index);
}

void UpdateScheduler::reportDeadlock(const PlannedTable& table) {
    sink_.report(UpdateDeadlock{table.id, table.rateLimitFraction});
}

bool UpdateScheduler::orderUpdate(const PendingOperation& operation, EndpointIndex index) {
    if (channel_.spareLines(kBatchBudget) <= 0) return false;
    routing_.installWeight(*operation.table, index);
    return true;
}

/// The part of the operation's demand that its table, as installed, brings to the endpoint.
double UpdateScheduler::weightFraction(const PendingOperation& operation, EndpointIndex index) const {
    if (operation.totalWeight <= 0 || endpoints_.excluded[index]) return 0;
    return operation.table->installed[index] / operation.totalWeight;
}

} // namespace zincstack
