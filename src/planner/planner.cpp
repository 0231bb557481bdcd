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
#include "planner/channel_credit.h"
#include "planner/state.h"
#include "planner/subset_tables.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <set>
#include <string>

namespace zincstack {
namespace {

using namespace std::chrono_literals;

// Tuned values; the design's own starting values come first.
constexpr Micros kGatheringWindow = 500ms, kMaxRoundTime = 2s; // changes gather; a round ends, marks or not
constexpr double kHeadroom = 1.2, kWarmUpLead = 1.25; // capacity over listed share; lead over slowest warming
constexpr int kSlowStartSteps = 5, kProbesToReadmit = 2; // a server rises by fifths; returns after so many
constexpr Micros kIdleInterval = 100ms,
                 kMaxInheritedTableAge = 30s; // how often an idle planner looks; no old table is older
constexpr double kOverloadMargin = 0.75;      // part of the falling multiple that a cold server is brought
constexpr Micros kBatchBudget = 500ms,
                 kIdleBudget = 100ms; // what can wait: so much of the channel, when so little waits
constexpr double kInheritedTableFactor = 2,
                 kDepletedFraction = 0.25;    // old tables: naming a server over the average; out: in need
constexpr std::size_t kFirstReadmissions = 2; // servers of a starter table that are surely not shut out
constexpr Micros kLedgerExpiry = 10s,
                 kUnawaitedExpiry = 2s; // unanswered messages have left; so if none is to answer
constexpr double kReportDecay = 0.2, kDemandDecay = 0.3,
                 kSaturationDecay = 0.5; // what a second leaves of each
constexpr double kOutlierFailureRatio = 0.5,
                 kOutlierMargin = 0.25; // unanswered share, and above the rest of the fleet
constexpr double kMinAttempts = 3,
                 kHangFailureRatio = 0.9;    // tries to judge by; here a quick probe proves nothing
constexpr double kMaxEjectedFraction = 0.34; // health shuts out at most this part of the weight
constexpr double kSilentReports = 3,
                 kSilentAttempts = 10; // views without a server, tries to expect meanwhile
constexpr Micros kProbeInterval = 1s, kMinEjectionTime = 3s,
                 kMinReducedTime = 60s; // a server stays out, or a fifth lower
constexpr double kSlowFraction = 0.4,
                 kHealthyQuantile = 0.33; // part of tries that fail or are late; part that is well
constexpr double kSlowProbeFraction = 0.5,
                 kHeavyLoadFactor = 2; // part of the least SLA time; times the usual that it holds
constexpr Micros kSettleTime = 3s, kOnsetTime = 3s; // before new doubts; until limits show in the sums
constexpr double kLateLatencyStart = 0.4,
                 kLateLatencyEnd = 1.0; // mean delay, of the usual SLA time: none late, all late
constexpr double kOnsetOverload = 0.2,
                 kNearlyWarm = 0.75; // above it one less warm waits at none for that long
constexpr double kSheddingOverload = 0.3, kTargetOverload = 0.12,
                 kDemandJump = 1.2; // limits begin; aim; if over the best
constexpr double kCapacityFactorGain = 0.5, kMaxFactorDecrease = 0.1,
                 kMaxFactorIncrease = 0.06; // moves a second for the stress, bounds
constexpr double kInitialCapacityFactor = 0.85, kMinCapacityFactor = 0.5,
                 kMaxCapacityFactor = 1.3; // at the onset; bounds
constexpr double kBestCapacityDecay = 0.995, kMinAdmittedFraction = 0.1,
                 kReportCoverage = 0.8; // left a period; least let in; part heard
constexpr double kMinAdmissionChange = 0.02,
                 kUnlimitedRate = 1e6; // less isn't worth a line; a rate without limit

std::string text(double value) { return std::to_string(value).substr(0, 6); }

enum class HealthEvent {
    Listed,
    Restarted,
    DrainStarted,
    RemovedFromList,
    MissingFromList,
    ReportsBad,
    ReportsGood,
    ProbeFailed,
    ProbeSlow,
    ProbeSucceeded,
    RecoveryConfirmed
};
enum class HealthAction { NoAction, AddToService, StartProbing, Eject, ReduceWeight, Readmit };
using enum HealthState;
using enum HealthEvent;
using enum HealthAction;
constexpr Transition<HealthState, HealthEvent, HealthAction> kHealthTransitions[] = {
    {Any, Restarted, Healthy, AddToService},
    {Any, DrainStarted, Removed, NoAction},
    {Any, RemovedFromList, Removed, NoAction},
    {Removed, Listed, Healthy, AddToService},
    {Healthy, MissingFromList, Unlisted, StartProbing},
    {Suspect, MissingFromList, Unlisted, StartProbing},
    {Ejected, MissingFromList, Removed, NoAction},
    {Unlisted, Listed, Healthy, NoAction},
    {Unlisted, ProbeFailed, Removed, NoAction},
    {Healthy, ReportsBad, Suspect, StartProbing},
    {Suspect, ReportsBad, Suspect, StartProbing},
    {Suspect, ReportsGood, Healthy, NoAction},
    {Suspect, ProbeFailed, Ejected, Eject},
    {Suspect, ProbeSlow, Healthy, ReduceWeight},
    {Ejected, RecoveryConfirmed, Healthy, Readmit},
    {Suspect, ProbeSucceeded, Healthy, NoAction}};

enum class RoundState { Idle, Gathering, AwaitingAck, Any };
enum class RoundEvent { ChangesPending, WindowElapsed, AcknowledgedWithChanges, Acknowledged };
enum class RoundAction { OpenWindow, SendStep, EndRound };
constexpr Transition<RoundState, RoundEvent, RoundAction> kRoundTransitions[] = {
    {RoundState::Idle, RoundEvent::ChangesPending, RoundState::Gathering, RoundAction::OpenWindow},
    {RoundState::Gathering, RoundEvent::WindowElapsed, RoundState::AwaitingAck, RoundAction::SendStep},
    {RoundState::AwaitingAck, RoundEvent::AcknowledgedWithChanges, RoundState::AwaitingAck,
     RoundAction::SendStep},
    {RoundState::AwaitingAck, RoundEvent::Acknowledged, RoundState::Idle, RoundAction::EndRound}};

/// The design's target: the listed weight of a server that serves, at the fifth to which it has risen.
double targetWeight(const EndpointRegistry& servers, EndpointIndex s) {
    return servers.isInService(s) ? servers.listedWeight[s] * servers.slowStartStep[s] / kSlowStartSteps : 0;
}
double totalTargetWeight(const EndpointRegistry& servers) {
    return servers.sum([&](EndpointIndex s) { return targetWeight(servers, s); });
}

struct HealthMonitor {
    EndpointRegistry& endpoints;
    RoutingUpdateSink& sink;
    const FleetConfig fleet;
    const SafetyLimits safety;
    const Micros shortestLatencyObjective;
    std::mt19937 random;
    Micros evaluatedAt{}, lastCalmAt{};
    bool hasNewReports = false;
    double succeeded = 0, successRate = 0, attemptRate = 0, attemptsAtLastEvaluation = 0, overload = 0;
    std::set<ZoneId> reportingZones = {};
    double reportCount = 0, attemptCount = 0; // heard of all servers

    void updateEndpoints(bool whole, std::span<const EndpointUpdate> entries, Micros now) {
        // Guards against a list that names running servers gone: where that need not bind, a probe decides.
        const HealthEvent ends = safety.removalIsBinding ? RemovedFromList : MissingFromList;
        std::vector<char> named(endpoints.size(), 0);
        for (const auto& entry : entries) {
            const EndpointIndex s = endpoints.add(entry);
            if (s < named.size()) named[s] = 1;
            endpoints.listedWeight[s] = fleet.hasEndpointWeights && entry.weight > 0 ? entry.weight : 1;
            const bool fresh = entry.startedAt > std::exchange(endpoints.startedAt[s], entry.startedAt);
            const HealthEvent news[] = {ends, fresh ? Restarted : Listed, DrainStarted};
            handleEvent(s, news[static_cast<int>(entry.state)], now);
        }
        for (EndpointIndex s = 0; whole && s < named.size(); ++s)
            if (!named[s]) handleEvent(s, ends, now);
    }

    void reportLoad(const EndpointLoadReport& line) {
        const EndpointIndex* s = endpoints.find(line.endpoint);
        if (!s) return;
        const double failed = std::min(line.failures, line.attempts), good = line.attempts - failed;
        hasNewReports = true;
        if (good > 0) endpoints.hasReported[*s] = 1;
        reportingZones.insert(line.proxyZone);
        endpoints.reportsWhenLastSeen[*s] = ++reportCount;
        endpoints.attemptsWhenLastSeen[*s] = attemptCount += line.attempts;
        endpoints.attempts[*s] += line.attempts;
        endpoints.failures[*s] += failed;
        endpoints.latencySum[*s] += good * seconds(line.meanLatency);
        endpoints.inFlight[*s] = line.load.inFlight.value_or(line.load.queueLength.value_or(0));
        succeeded += good;
    }

    /// Once a period: what do the sums say of each server? Returns the stress of the whole fleet, if heard.
    std::optional<double> evaluateReports(double usualSla, Micros now) {
        if (!hasNewReports || now - evaluatedAt < fleet.reportInterval * 9 / 10) return {};
        const double span =
            seconds(std::max(evaluatedAt > 0us ? now - evaluatedAt : 0us, fleet.reportInterval));
        successRate = std::exchange(succeeded, 0) / span;
        attemptRate = (attemptCount - std::exchange(attemptsAtLastEvaluation, attemptCount)) / span;
        hasNewReports = false, evaluatedAt = now;
        double tries = 0;
        std::vector<std::pair<double, double>> pressed, jammed; // part that fails or is late, and the weight
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            if (!endpoints.isInService(s) || endpoints.attempts[s] <= 0) continue;
            const double good = endpoints.attempts[s] - endpoints.failures[s];
            const double mean = good > 0 ? endpoints.latencySum[s] / good / usualSla : 1;
            const double late =
                good *
                std::clamp((mean - kLateLatencyStart) / (kLateLatencyEnd - kLateLatencyStart), 0.0, 1.0);
            const double part = (endpoints.failures[s] + late) / endpoints.attempts[s];
            endpoints.saturation[s] =
                part + std::pow(kSaturationDecay, span) * (endpoints.saturation[s] - part);
            pressed.emplace_back(part, targetWeight(endpoints, s));
            // Failures tell of a jam only beside slow answers: limits don't cure lost answers or errors.
            const double slow = std::clamp(2 * mean / kLateLatencyStart - 1, 0.0, 1.0);
            jammed.emplace_back(part - (1 - slow) * endpoints.failureRatio(s), targetWeight(endpoints, s));
            tries += endpoints.attempts[s];
        }
        overload = weightedQuantile(pressed, 0.5); // few sick ones don't make it
        const double jam = weightedQuantile(jammed, 0.5), least = weightedQuantile(pressed, kHealthyQuantile);
        if (overload <= kOnsetOverload) lastCalmAt = now;
        const double all = totalTargetWeight(endpoints);
        const auto view = static_cast<double>(endpoints.knownCount() * reportingZones.size());
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            if (endpoints.isInService(s)) {
                const double share = endpoints.failureRatio(s);
                const bool enough = endpoints.attempts[s] >= kMinAttempts;
                // Proxies keep away from what fails them: no line is a symptom too. A view takes long where
                // reports pile up, so it is counted in lines and tries, not in time.
                const bool silent =
                    !endpoints.excluded[s] &&
                    reportCount - endpoints.reportsWhenLastSeen[s] > kSilentReports * view &&
                    (attemptCount - endpoints.attemptsWhenLastSeen[s]) * targetWeight(endpoints, s) >
                        kSilentAttempts * all;
                const bool sick =
                    enough && share >= kOutlierFailureRatio && share > overload + kOutlierMargin;
                const bool slow = enough && endpoints.saturation[s] >= kSlowFraction &&
                                  least < kTargetOverload && endpoints.slowStartStep[s] > 1 &&
                                  now - endpoints.healthChangedAt[s] > kSettleTime;
                const bool bad = silent || sick || slow;
                if (bad || enough) handleEvent(s, bad ? ReportsBad : ReportsGood, now);
            }
            for (auto* sum : {&endpoints.attempts, &endpoints.failures, &endpoints.latencySum})
                (*sum)[s] *= std::pow(kReportDecay, span);
        }
        return tries >= kMinAttempts ? std::optional(jam) : std::nullopt;
    }
    void startDueProbes(Micros now) {
        for (EndpointIndex s = 0; fleet.probingAllowed && s < endpoints.size(); ++s) {
            const bool wanted = endpoints.health[s] != Healthy && endpoints.health[s] != Removed;
            if (!wanted || endpoints.probeInFlight[s] || now < endpoints.nextProbeAt[s]) continue;
            endpoints.probeInFlight[s] = 1;
            endpoints.nextProbeAt[s] = now + kProbeInterval + Micros(random() % 100000);
            sink.probe(endpoints.id[s]);
        }
    }

    void probeCompleted(const ProbeResult& result, Micros now) {
        const EndpointIndex* found = endpoints.find(result.endpoint);
        if (!found) return;
        const EndpointIndex s = *found;
        endpoints.probeInFlight[s] = 0;
        if (result.status == ProbeStatus::Rejected) return;
        // Some probes are shallow and answered while work hangs or waits: a quick answer clears neither a
        // server that answers next to nothing nor one that holds far more than the others for its weight.
        const auto held = [&](EndpointIndex k) {
            return endpoints.isInService(k) ? endpoints.inFlight[k] : 0;
        };
        const double usual = endpoints.sum(held) / totalTargetWeight(endpoints);
        const double answered = endpoints.attempts[s] - endpoints.failures[s];
        const bool mute = answered <= (1 - kHangFailureRatio) * endpoints.attempts[s];
        const bool hung = endpoints.health[s] == Suspect && endpoints.attempts[s] >= kMinAttempts && mute;
        const bool answers =
            result.status == ProbeStatus::Answered && result.latency < shortestLatencyObjective && !hung;
        const bool heavy = seconds(result.latency) > kSlowProbeFraction * seconds(shortestLatencyObjective) ||
                           endpoints.inFlight[s] > kHeavyLoadFactor * usual * targetWeight(endpoints, s);
        const bool good = answers && (endpoints.health[s] == Ejected || !heavy);
        endpoints.consecutiveGoodProbes[s] = good ? endpoints.consecutiveGoodProbes[s] + 1 : 0;
        // A probe that only waits tells of load where some txns are still answered: less is sent, not none.
        const bool dead =
            result.status != ProbeStatus::Answered &&
            (mute ||
             (result.status != ProbeStatus::TimedOut &&
              (endpoints.failureRatio(s) >= kOutlierFailureRatio || endpoints.health[s] == Unlisted)));
        const HealthEvent bad = dead || hung || endpoints.health[s] == Ejected ? ProbeFailed : ProbeSlow;
        handleEvent(s, good ? ProbeSucceeded : bad, now);
        if (endpoints.consecutiveGoodProbes[s] >= kProbesToReadmit && now >= endpoints.holdUntil[s])
            handleEvent(s, RecoveryConfirmed, now);
    }

    /// A server climbs a fifth a round, no faster than the slowest warming allows. Guards a cold one against
    /// falling over: under a jam's repeats even a fifth can be too much, so it may wait at none.
    void advanceSlowStart(double asked, bool mayClimb, Micros now) {
        const double targets = totalTargetWeight(endpoints);
        // Proxies that avoid what fails heap txns on what answers: before limits can show, it waits at none.
        const bool onset = overload > kOnsetOverload && now - lastCalmAt < kOnsetTime;
        double listed = 0;
        bool spare = false; // some server is warm: nobody is left without one if a cold one waits
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            listed += endpoints.isInService(s) ? endpoints.listedWeight[s] : 0;
            spare |= targetWeight(endpoints, s) > 0 && warmUpFraction(s, now) >= 1 && !endpoints.excluded[s];
        }
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            if (!endpoints.isInService(s) || endpoints.slowStartStep[s] == kSlowStartSteps) continue;
            if (!spare) endpoints.slowStartStep[s] = std::max(endpoints.slowStartStep[s], 1);
            const double warm = warmUpFraction(s, now);
            const double able = kOverloadMargin * safety.overloadFactor * warm * (1 - overload) *
                                successRate * endpoints.listedWeight[s] / listed;
            const auto brings = [&](int rung) {
                const double weight = endpoints.listedWeight[s] * rung / kSlowStartSteps;
                return asked * weight / std::max(targets - targetWeight(endpoints, s) + weight, weight);
            };
            const int next = endpoints.slowStartStep[s] + 1;
            const bool judged = successRate > 0 && warm < 1;
            if (mayClimb && !onset && (endpoints.hasReported[s] || warm < 1) &&
                now >= endpoints.holdUntil[s] && next <= kSlowStartSteps * kWarmUpLead * warm &&
                (!judged || brings(next) <= able)) {
                endpoints.slowStartStep[s] = next;
                if (endpoints.weightReduced[s]) endpoints.holdUntil[s] = now + kMinReducedTime;
            }
            while (judged && endpoints.slowStartStep[s] > (spare ? 0 : 1) &&
                   ((onset && warm < kNearlyWarm) || brings(endpoints.slowStartStep[s]) > 1.5 * able))
                --endpoints.slowStartStep[s];
        }
    }

    double warmUpFraction(EndpointIndex s, Micros now) const {
        if (endpoints.startedAt[s] <= 0us || safety.warmUpDuration <= 0us) return 1;
        const double age = seconds(now - endpoints.startedAt[s]) / seconds(safety.warmUpDuration);
        return safety.coldCapacityFraction + (1 - safety.coldCapacityFraction) * std::clamp(age, 0.0, 1.0);
    }

    void handleEvent(EndpointIndex s, HealthEvent news, Micros now) {
        const auto* row = findTransition(kHealthTransitions, endpoints.health[s],
                                         [&](HealthEvent input) { return input == news; });
        if (!row || (row->effect == Eject && !mayEject(s))) return;
        if ((row->next == Ejected) != (endpoints.health[s] == Ejected))
            sink.log((row->next == Ejected ? "out: " : "back: ") + std::to_string(s) + ", tries " +
                     text(endpoints.attempts[s]) + ", failed " + text(endpoints.failures[s]));
        if (row->next == Removed && endpoints.health[s] != Removed) endpoints.healthChangedAt[s] = now;
        endpoints.health[s] = row->next;
        switch (row->effect) {
        case NoAction: return;
        case StartProbing: endpoints.nextProbeAt[s] = now; return;
        case Eject:
        case ReduceWeight: {
            endpoints.weightReduced[s] = row->effect == ReduceWeight;
            endpoints.holdUntil[s] = now + (endpoints.weightReduced[s] ? kMinReducedTime : kMinEjectionTime);
            endpoints.nextProbeAt[s] = now + kProbeInterval;
            endpoints.consecutiveGoodProbes[s] = 0;
            if (row->effect == Eject) return;
            endpoints.slowStartStep[s] -= endpoints.slowStartStep[s] > 1;
            break;
        }
        case AddToService: // at a fifth, unless nothing is known yet of any; if warm it climbs once it has answered
            endpoints.slowStartStep[s] =
                warmUpFraction(s, now) >= 1 && reportCount <= 0 ? kSlowStartSteps : 1;
            endpoints.hasReported[s] = 0;
            break;
        case Readmit: endpoints.slowStartStep[s] = 1; // if it started anew, the list will say so
        }
        endpoints.healthChangedAt[s] = now;
        endpoints.reportsWhenLastSeen[s] = reportCount;
        endpoints.attemptsWhenLastSeen[s] = attemptCount;
        endpoints.attempts[s] = endpoints.failures[s] = endpoints.latencySum[s] = 0;
    }

    /// If nearly all looks sick, the view is doubted, not the fleet: health shuts out only so much of it.
    bool mayEject(EndpointIndex s) const {
        const auto out = [&](EndpointIndex k) {
            return (endpoints.health[k] == Ejected || k == s) * endpoints.listedWeight[k];
        };
        const auto all = [&](EndpointIndex k) {
            return endpoints.isInService(k) ? endpoints.listedWeight[k] : out(k);
        };
        return endpoints.sum(out) <= kMaxEjectedFraction * endpoints.sum(all);
    }
};

/// When messages go out, and to whom first.
struct ControlChannel {
    ProxyRegistry& proxies;
    RoutingUpdateSink& sink;
    const ControlChannelLimits limits;
    const double bootstrapTableSize;
    MessageLedger ledger{proxies, limits.messageOverheadLines};
    std::optional<Micros> batchSentAt = {};
    std::uint32_t barrierCount = 0;

    /// Where messages to a proxy are counted, the gap alone keeps the count: no batch writes sooner.
    bool mayWriteBatch(Micros now) const {
        return !batchSentAt || limits.maxMessagesPerProxy < 2 ||
               now - *batchSentAt >= limits.messageWindow / (limits.maxMessagesPerProxy - 1);
    }
    /// Whoever writes the orders counts them as encoded and keeps the limit: here they are only paced.
    bool isMetered() const { return sink.pendingLines().has_value(); }
    double outstandingLines() const {
        const auto pending = sink.pendingLines();
        return pending ? *pending + ledger.stagedLines : ledger.outstandingLines();
    }
    /// Whether an urgent order of so many lines may be given.
    bool hasDeadlineCapacity(double each) const {
        return isMetered() ||
               kDeadlineQueueFraction * limits.maxQueuedLines - ledger.outstandingLines() >= each;
    }
    /// For what can wait, beside what is on its way: the queue stays short for what can't.
    double spareLines(Micros span) const {
        const double most = limits.linesPerSecond * seconds(limits.meanTransitTime + span);
        return std::min(most, kOrdinaryQueueFraction * limits.maxQueuedLines) - outstandingLines();
    }

    /// Proxies that keep an old table are bound a few at a time, busiest first.
    void assignFullTables(const std::vector<PlannedTable>& tables, const EndpointRegistry& servers,
                          double budget) {
        if (totalTargetWeight(servers) <= 0) return;
        std::vector<std::pair<double, ProxyId>> order;
        for (const auto& [id, proxy] : proxies)
            if (!proxy.hasFullTable) order.emplace_back(-proxy.requestRate(), id);
        std::ranges::sort(order);
        const auto out = std::count(servers.excluded.begin(), servers.excluded.end(), 1);
        for (const auto& [rate, id] : order) {
            if (budget <= 0) return;
            Proxy& proxy = proxies[id];
            proxy.hasFullTable = true;
            proxy.subsetTables.clear();
            const double before = ledger.stagedLines;
            for (const auto& table : tables) {
                if (table.subsetOf || !table.serves(proxy)) continue;
                sink.assignTable(id, table.requestClasses, table.id);
                const auto others = static_cast<double>(out + std::ssize(table.admission));
                ledger.stage(proxy, 1 + table.endpointCount() + others);
            }
            budget -= ledger.stagedLines - before;
        }
    }

    /// Servers that earlier planners withdrew from old tables are let back where bound, once all is done:
    /// most of these lines change nothing, and a table without them is short of a few servers at worst.
    void clearStaleExclusions(const EndpointRegistry& servers) {
        for (auto& [id, proxy] : proxies) {
            if (!proxy.hasFullTable || std::exchange(proxy.staleExclusionsCleared, true) ||
                !sink.clearStaleExclusions(id, servers.size()))
                continue;
            ledger.stage(proxy, servers.sum([&](EndpointIndex s) { return targetWeight(servers, s) > 0; }));
            if (spareLines(kIdleBudget) <= 0) return;
        }
    }

    /// Closes the message of every proxy that something was ordered for with a mark; marks wrap under 65536.
    std::optional<BarrierId> closeBatch(Micros now) {
        if (ledger.stagedLines <= 0 && !sink.needsBarrier()) return {};
        barrierCount = barrierCount % 65535 + 1;
        const BarrierId mark{static_cast<std::uint16_t>(barrierCount)};
        sink.requestBarrier(mark, false);
        ledger.closeBatch(mark, now);
        batchSentAt = now;
        return mark;
    }
};

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
        if (before != shedding)
            sink.log((shedding ? "limits: wanted " : "lets all in: wanted ") + text(wanted) + ", best " +
                     text(bestCapacity * weight) + ", stress " + text(stress));
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

/// The design: targets, differences, the ledger and rounds.
struct UpdateScheduler {
    EndpointRegistry& endpoints;
    const HealthMonitor& health;
    ProxyRegistry& proxies;
    ControlChannel& channel;
    RoutingUpdateSink& sink;
    std::vector<PlannedTable> tables;
    RoundState state = RoundState::Idle;
    Micros batchStartedAt{}, windowOpenedAt{}, stepSentAt{}, exclusionsRepeatedAt{};
    std::optional<BarrierId> stepBarrier = {};
    SubsetTables subsets;

    /// What can't wait: withdrawals, and the shrinking of a server that has just started. Past the ledger.
    void orderUrgentUpdates(bool idle, Micros now) {
        const auto each =
            static_cast<double>(proxies.size()) * (2 + channel.limits.messageOverheadLines); // a message
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            // Guards against growth, and lines for each that joins: no old table is as old as its end.
            const bool past = endpoints.health[s] == Removed && endpoints.excluded[s] &&
                              !endpoints.forgotten[s] &&
                              now - endpoints.healthChangedAt[s] > kMaxInheritedTableAge;
            const auto free = [&](const PlannedTable& table) { return table.installed[s] <= 0; };
            if (past && std::ranges::all_of(tables, free) && sink.forgetEndpoint(endpoints.id[s]))
                endpoints.forget(s);
            if (endpoints.forgotten[s]) continue;
            const bool out = !endpoints.isInService(s) && !endpoints.excluded[s];
            const bool lowered =
                health.warmUpFraction(s, now) < 1 || (idle && endpoints.slowStartStep[s] < kSlowStartSteps);
            for (auto& table : tables)
                if (table.installed[s] > targetWeightIn(table, s) &&
                    (out ? channel.hasDeadlineCapacity(each)
                         : lowered && channel.spareLines(kBatchBudget) > 0))
                    installWeight(table, s);
            // Only old tables hold it now. They have few lines: the sick must not take them all.
            const bool sick = endpoints.health[s] == Ejected &&
                              endpoints.excludedFraction(endpoints.zone[s]) >= kDepletedFraction;
            if (out && !sick && channel.hasDeadlineCapacity(each)) setExcluded(s, true);
        }
        // Guards against a table without a line to pick, whatever took the last one: it waits for no round.
        for (auto& table : tables)
            if (!table.subsetOf && endpoints.sum([&](EndpointIndex s) {
                    return !endpoints.excluded[s] * table.installed[s];
                }) <= 0)
                for (EndpointIndex s = 0; s < endpoints.size(); ++s)
                    if (targetWeightIn(table, s) > 0 && channel.hasDeadlineCapacity(each))
                        installWeight(table, s);
    }

    /// Those who joined since may hold ended servers, and hundreds can't be bound within the grace: they are told
    /// again of what was withdrawn.
    void repeatExclusions(bool idle, Micros now) {
        if (now - exclusionsRepeatedAt < kGatheringWindow) return;
        exclusionsRepeatedAt = now;
        const auto each = static_cast<double>(proxies.size()) * (2 + channel.limits.messageOverheadLines);
        const Micros newest = lastInheritedJoin();
        for (EndpointIndex s = 0; s < endpoints.size(); ++s) {
            const bool ended = endpoints.health[s] == Removed; // the sick may wait: no rule ends with them
            if (!endpoints.forgotten[s] && endpoints.excluded[s] && newest > endpoints.excludedAt[s] &&
                (ended || idle) && channel.hasDeadlineCapacity(each))
                setExcluded(s, true);
        }
    }

    /// Servers that may get their full part at once: warm, and in this table; any others only where none is warm.
    std::vector<EndpointIndex> subsetEndpoints(const PlannedTable& whole, Micros now) const {
        std::vector<EndpointIndex> warm, cold;
        for (EndpointIndex s = 0; s < endpoints.size(); ++s)
            if (targetWeightIn(whole, s) > 0 && !endpoints.excluded[s])
                (health.warmUpFraction(s, now) >= 1 ? warm : cold).push_back(s);
        return warm.empty() ? cold : warm;
    }
    /// All that keep an old table and can be bound over later get a starter table, busiest first.
    void assignSubsetTables(Micros now) {
        std::vector<std::pair<double, ProxyId>> order;
        for (const auto& [id, proxy] : proxies)
            if (proxy.usesInheritedTable() && sink.supportsReassignment(id))
                order.emplace_back(-proxy.requestRate(), id);
        const EndpointIndex wholes = fullTableCount();
        if (order.empty() && wholes == tables.size()) return;
        subsets.recount();
        clearUnusedSubsets();
        for (EndpointIndex whole = 0; whole < wholes; ++whole) {
            if (!tables[whole].inUse) continue;
            const auto usable = subsetEndpoints(tables[whole], now);
            for (const auto& [table, s] : subsets.refill(whole, usable)) addEndpoint(tables[table], s);
            if (order.empty()) continue;
            for (const auto& [table, s] : subsets.distribute(whole, usable)) addEndpoint(tables[table], s);
        }
        std::ranges::sort(order);
        for (const auto& [rate, id] : order) assignSubsetsTo(id, wholes);
    }
    EndpointIndex fullTableCount() const {
        return static_cast<EndpointIndex>(
            std::ranges::count_if(tables, [](const PlannedTable& table) { return !table.subsetOf; }));
    }
    void addEndpoint(PlannedTable& table, EndpointIndex s) {
        table.installed.resize(endpoints.size(), 0);
        table.installed[s] = targetWeight(endpoints, s);
        sink.setWeight(table.id, endpoints.id[s], table.installed[s]);
        channel.ledger.chargeTable(table, 1);
    }
    /// Starter tables that nobody holds any more are emptied, to be dealt anew for those who join later.
    void clearUnusedSubsets() {
        for (PlannedTable& table : tables) {
            if (!table.subsetOf || table.holderCount > 0) continue;
            for (EndpointIndex s = 0; s < table.installed.size(); ++s)
                if (std::exchange(table.installed[s], 0) > 0) sink.setWeight(table.id, endpoints.id[s], 0);
        }
    }
    /// A starter table lets in what its whole table does; from then on its levels follow by themselves.
    void copyAdmission(const PlannedTable& whole, PlannedTable& starter) {
        for (const auto& [product, level] : whole.admission) {
            if (level < 0) continue; // none was ordered yet
            sink.setAdmission(starter.id, static_cast<RequestClassSet>(1U << product), level,
                              RetryPolicy::AfterProofOfNoEffect);
            starter.admission[product] = level;
        }
    }
    void assignSubsetsTo(ProxyId id, EndpointIndex wholes) {
        Proxy& proxy = proxies[id];
        std::vector<EndpointIndex> given;
        for (EndpointIndex whole = 0; whole < wholes; ++whole) {
            if (tables[whole].zone != proxy.zone) continue;
            const auto table = subsets.assign(whole, proxy.requestRate());
            if (!table) return; // no server is left for it: it keeps what it holds
            if (tables[*table].holderCount == 1) copyAdmission(tables[whole], tables[*table]);
            given.push_back(*table);
        }
        proxy.subsetTables = std::move(given);
        double rows = 0;
        for (const EndpointIndex t : proxy.subsetTables) {
            sink.assignTable(id, tables[t].requestClasses, tables[t].id);
            rows += 1 + tables[t].endpointCount();
        }
        // An earlier planner may have withdrawn what it names.
        if (!proxy.hasOnlyBootstrapTable && sink.clearStaleExclusions(id, kFirstReadmissions))
            rows += kFirstReadmissions;
        channel.ledger.stage(proxy, rows + 1);
    }

    /// When the last of those joined that keep an old table: it may name what was withdrawn before.
    Micros lastInheritedJoin() const {
        Micros newest{-1};
        for (const auto& [id, proxy] : proxies)
            if (proxy.usesInheritedTable()) newest = std::max(newest, proxy.joinedAt);
        return newest;
    }

    void advance(Micros now) {
        for (bool moved = true; moved;) {
            moved = false;
            const bool over = isStepAcknowledged(now), more = hasPendingChanges();
            const bool input[] = {more, now - windowOpenedAt >= kGatheringWindow, over && more, over};
            const auto* row = findTransition(kRoundTransitions, state,
                                             [&](RoundEvent tick) { return input[static_cast<int>(tick)]; });
            if (!row) break;
            if (state == RoundState::AwaitingAck)
                for (auto& table : tables) table.rateLimitFraction = 1;
            state = row->next;
            moved = row->effect != RoundAction::SendStep;
            if (row->effect == RoundAction::OpenWindow) windowOpenedAt = now;
            if (row->effect == RoundAction::SendStep) executeStep(now);
        }
    }
    bool isStepAcknowledged(Micros now) const {
        return state == RoundState::AwaitingAck && stepSentAt != now &&
               (now - stepSentAt >= kMaxRoundTime || channel.ledger.isAcknowledged(stepBarrier));
    }

    /// A zone where no proxy has joined needs no lines.
    double targetWeightIn(const PlannedTable& table, EndpointIndex s) const {
        if (table.subsetOf) return table.installed[s] > 0 ? targetWeight(endpoints, s) : 0;
        return table.inUse && (!table.zoneLocal || endpoints.zone[s] == table.zone)
                   ? targetWeight(endpoints, s)
                   : 0;
    }
    bool hasPendingChanges() const {
        return std::ranges::any_of(tables, [&](const PlannedTable& table) {
            if (table.subsetOf) return false;
            for (EndpointIndex s = 0; s < endpoints.size(); ++s)
                if (targetWeightIn(table, s) != table.installed[s]) return true;
            return false;
        });
    }
    void setExcluded(EndpointIndex s, bool out) {
        const bool again = out && endpoints.excluded[s];
        sink.setExcluded(endpoints.id[s], out);
        endpoints.excluded[s] = out;
        const double named =
            kInheritedTableFactor * channel.bootstrapTableSize / static_cast<double>(endpoints.knownCount());
        channel.ledger.chargeInheritedTables(std::min(1.0, named), again ? endpoints.excludedAt[s] : -1us);
        endpoints.excludedAt[s] = batchStartedAt;
    }
    void installWeight(PlannedTable& table, EndpointIndex s) {
        table.installed[s] = targetWeightIn(table, s);
        if (table.installed[s] > 0 && endpoints.excluded[s]) setExcluded(s, false);
        sink.setWeight(table.id, endpoints.id[s], table.installed[s]);
        channel.ledger.chargeTable(table, 1);
    }

    struct PendingOperation {
        PlannedTable* table;
        double demand, totalWeight, addedWeight = 0; // weights: standing, and that its raised lines add
        std::vector<EndpointIndex> additions = {}, removals = {};
    };
    /// One step of a round: releases, then the changes that fit, ranked by the servers that they free.
    void executeStep(Micros now) {
        stepSentAt = now, stepBarrier = {};
        const EndpointIndex n = endpoints.size();
        std::vector<double> capacity(n, 0), load(n, 0);
        std::vector<PendingOperation> nodes;
        double usage = 0;
        for (auto& table : tables) {
            if (table.subsetOf) continue;
            PendingOperation node{&table, table.demand(proxies), 0};
            usage += node.demand;
            for (EndpointIndex s = 0; s < n; ++s) {
                node.totalWeight += endpoints.excluded[s] ? 0 : table.installed[s];
                if (targetWeightIn(table, s) > table.installed[s]) {
                    node.additions.push_back(s);
                    node.addedWeight +=
                        targetWeightIn(table, s) - (endpoints.excluded[s] ? 0 : table.installed[s]);
                }
                if (targetWeightIn(table, s) < table.installed[s]) node.removals.push_back(s);
            }
            for (EndpointIndex s = 0; s < n; ++s) load[s] += node.demand * weightFraction(node, s);
            nodes.push_back(std::move(node));
        }
        estimateCapacities(capacity, usage);
        bool sent = false;
        const auto go = [&](const PendingOperation& node, EndpointIndex s) {
            if (channel.spareLines(kBatchBudget) <= 0) return;
            installWeight(*node.table, s), sent = true;
        };
        for (const auto& node : nodes) // releases; a table that serves nobody and the dead skip the fit check
            for (const EndpointIndex s : node.removals)
                if (node.demand <= 0 || node.additions.empty() || !endpoints.isInService(s)) go(node, s);
        std::ranges::stable_sort(nodes, {},
                                 [](const PendingOperation& node) { return -std::ssize(node.removals); });
        const PendingOperation* least = nullptr;
        double leastRatio = 2, leastPart = 0;
        for (const auto& node : nodes) {
            double fits = 2, over = 0;
            for (const EndpointIndex s : node.additions) {
                const double aim = targetWeightIn(*node.table, s);
                const double after =
                    aim / (node.totalWeight + node.addedWeight); // the raised lines share the demand
                const double more = node.demand * (after - weightFraction(node, s)),
                             residual = capacity[s] - load[s];
                if (node.demand <= 0 || node.totalWeight <= 0 || more <= residual) {
                    load[s] += more;
                    go(node, s);
                } else {
                    fits = std::min(fits, std::max(residual, 0.0) / more);
                    over += more;
                }
            }
            if (fits < 1 && 1 - fits < leastRatio) least = &node, leastRatio = 1 - fits, leastPart = over;
        }
        if (sent || !least) return;
        // Deadlock: the least loss moves, slowed by the part of its demand that its step brings too much of.
        least->table->rateLimitFraction = std::clamp(1 - leastRatio * leastPart / least->demand, 0.0, 1.0);
        sink.log("deadlock: " + std::to_string(least->table->id.value) + " at " +
                 text(least->table->rateLimitFraction));
        for (const EndpointIndex s : least->additions) go(*least, s);
    }
    double weightFraction(const PendingOperation& node, EndpointIndex s) const {
        return node.totalWeight > 0 && !endpoints.excluded[s] ? node.table->installed[s] / node.totalWeight
                                                              : 0;
    }
    /// Listed share of heard usage times the headroom; unheard servers count as average.
    void estimateCapacities(std::vector<double>& capacity, double usage) const {
        double known = 0, heard = 0;
        for (EndpointIndex s = 0; s < endpoints.size(); ++s)
            if (endpoints.isInService(s) && endpoints.hasReported[s])
                known += endpoints.listedWeight[s], ++heard;
        for (EndpointIndex s = 0; s < endpoints.size(); ++s)
            capacity[s] =
                targetWeight(endpoints, s) *
                (endpoints.hasReported[s] || heard <= 0 ? 1 : known / heard / endpoints.listedWeight[s]);
        const double all = std::accumulate(capacity.begin(), capacity.end(), 0.0);
        for (double& one : capacity) one = all > 0 ? kHeadroom * usage * one / all : 0;
    }
};

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
