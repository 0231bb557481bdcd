// Consistent updates in rounds, after the Coeus paper (docs/design.md lists its algorithms and where this
// implementation differs).
//
// A round first coalesces changes for the duration of a window. A step then issues the changes that fit the
// endpoints' capacities. The next step follows once all proxies have acknowledged the previous one, until no
// change is pending. Within a table, additions are issued before removals (Theorem 4), so that no endpoint of
// the table gets more load than it can carry.
//
// Owns the state of the round and each full table's `rateLimitFraction`. Updates that bypass the rounds are
// in urgent_updates.h, subset tables in table_assignment.h.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "planner/capacity_ledger.h"
#include "planner/routing_tables.h"

namespace zincstack {

/// State of the current round.
enum class RoundState : std::uint8_t {
    Idle,        ///< no round is in progress
    Coalescing,  ///< changes are pending and the window is open
    AwaitingAck, ///< a step was sent and is not yet acknowledged
    Any,         ///< wildcard, only for rows of a transition table
};

/// Moves the full tables to their target weights in rounds. The referenced objects must outlive it.
class UpdateScheduler {
public:
    UpdateScheduler(const EndpointRegistry& endpoints, const ProxyRegistry& proxies, ControlChannel& channel,
                    RoutingTables& routing, RoutingUpdateSink& sink)
        : endpoints_(endpoints), proxies_(proxies), channel_(channel), routing_(routing), sink_(sink) {}

    /// Advances the round as far as possible and issues at most one step.
    void advance(Micros now);
    /// Records the barrier that closed the batch of time `now`; std::nullopt if the batch was empty.
    void batchClosed(std::optional<BarrierId> barrier, Micros now);
    /// Whether target weights may change: true between rounds and once the last step is acknowledged, false
    /// while the window is open or a step awaits acknowledgement.
    bool mayChangeTargets(Micros now) const;

private:
    /// A node of the paper's dependency graph: the difference between one table and its target.
    struct PendingOperation {
        PlannedTable* table;
        /// Requests per second, in the table's request classes, of the proxies that hold it.
        double demand;
        /// Sum of the installed weights of the endpoints that are not excluded.
        double totalWeight = 0;
        /// Weight that all additions together add to `totalWeight`.
        double addedWeight = 0;
        /// Endpoints whose target weight is above the installed one.
        std::vector<EndpointIndex> additions = {};
        /// Endpoints whose target weight is below the installed one.
        std::vector<EndpointIndex> removals = {};
    };
    /// Additions of one operation that exceed the residual capacity of their endpoints.
    struct BlockedAdditions {
        /// Null if no operation is blocked.
        const PendingOperation* operation = nullptr;
        /// Fraction of an addition's requests that exceeds the residual capacity, at the endpoint where this
        /// fraction is largest. The initial 2 is above any real ratio.
        double lossRatio = 2;
        /// Requests per second that the blocked additions would bring to their endpoints.
        double requestRate = 0;
    };
    /// Result of the fit check over all operations.
    struct FitCheck {
        /// At least one addition was issued.
        bool hasProgress = false;
        /// The operation with the least throughput loss ratio among those with blocked additions.
        BlockedAdditions leastLoss;
    };

    bool takeTransition(Micros now);
    bool isStepAcknowledged(Micros now) const;

    /// Runs one step: the paper's Algorithm 5, whose phases are the functions below.
    void executeStep(Micros now);
    std::vector<PendingOperation> findPendingOperations() const;
    PendingOperation compareWithTarget(PlannedTable& table) const;
    CapacityLedger makeCapacityLedger(const std::vector<PendingOperation>& operations) const;
    bool issueReleases(const std::vector<PendingOperation>& operations);
    static void rankByReleases(std::vector<PendingOperation>& operations);
    FitCheck issueFittingAdditions(const std::vector<PendingOperation>& operations, CapacityLedger& ledger);
    void checkFit(const PendingOperation& operation, CapacityLedger& ledger, FitCheck& check);
    void breakDeadlock(const BlockedAdditions& leastLoss);
    void reportDeadlock(const PlannedTable& table);

    /// Issues the endpoint's target weight. Returns false if the channel has no capacity left for the update.
    bool issueUpdate(const PendingOperation& operation, EndpointIndex index);
    double weightFraction(const PendingOperation& operation, EndpointIndex index) const;

    const EndpointRegistry& endpoints_;
    const ProxyRegistry& proxies_;
    ControlChannel& channel_;
    RoutingTables& routing_;
    RoutingUpdateSink& sink_;
    RoundState state_ = RoundState::Idle;
    Micros windowOpenedAt_{};
    Micros stepSentAt_{};
    std::optional<BarrierId> stepBarrier_;
};

} // namespace zincstack
