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
constexpr Micros kWindow = 500ms, kRoundMost = 2s;  // changes gather; a round ends, marks or not
constexpr double kHeadroom = 1.2, kColdLean = 1.25; // capacity over listed share; lead over slowest warming
constexpr int kRungs = 5, kGoodProbes = 2;          // a server rises by fifths; returns after so many
constexpr Micros kBeat = 100ms, kEndedLong = 30s;   // how often an idle planner looks; no old table is older
constexpr double kFallPart = 0.75;              // part of the falling multiple that a cold server is brought
constexpr Micros kBatch = 500ms, kIdle = 100ms; // what can wait: so much of the channel, when so little waits
constexpr double kOldLines = 2, kWorn = 0.25;   // old tables: naming a server over the average; out: in need
constexpr std::size_t kLetBackFirst = 2;        // servers of a starter table that are surely not shut out
constexpr Micros kForgotten = 10s, kUnasked = 2s; // unanswered messages have left; so if none is to answer
constexpr double kSumsFade = 0.2, kUsageFade = 0.3, kPressedFade = 0.5; // what a second leaves of each
constexpr double kSickShare = 0.5, kSickOver = 0.25; // unanswered share, and above the rest of the fleet
constexpr double kSickTries = 3, kHangShare = 0.9;   // tries to judge by; here a quick probe proves nothing
constexpr double kDoubtPart = 0.34;                  // health shuts out at most this part of the weight
constexpr double kSilenceViews = 3, kSilenceTries = 10; // views without a server, tries to expect meanwhile
constexpr Micros kProbeEvery = 1s, kHoldLeast = 3s, kEaseLeast = 60s; // a server stays out, or a fifth lower
constexpr double kSlowPart = 0.4, kWellPart = 0.33; // part of tries that fail or are late; part that is well
constexpr double kSlowProbe = 0.5, kHeavy = 2;   // part of the least SLA time; times the usual that it holds
constexpr Micros kSettle = 3s, kOnset = 3s;      // before new doubts; until limits show in the sums
constexpr double kLateFrom = 0.4, kLateTo = 1.0; // mean delay, of the usual SLA time: none late, all late
constexpr double kOnsetStress = 0.2, kNearlyWarm = 0.75; // above it one less warm waits at none for that long
constexpr double kStressHigh = 0.3, kStressAim = 0.12, kJump = 1.2;   // limits begin; aim; if over the best
constexpr double kGainStep = 0.5, kGainDown = 0.1, kGainUp = 0.06;    // moves a second for the stress, bounds
constexpr double kGainFirst = 0.85, kGainLeast = 0.5, kGainTop = 1.3; // at the onset; bounds
constexpr double kBestFade = 0.995, kProductFloor = 0.1,
                 kCovered = 0.8;                    // left a period; least let in; part heard
constexpr double kLevelStep = 0.02, kNoLimit = 1e6; // less isn't worth a line; a rate without limit

std::string text(double value) { return std::to_string(value).substr(0, 6); }

enum class News { Ready, Fresh, Drains, Gone, Lost, SumsBad, SumsWell, ProbeBad, ProbeSlow, ProbeWell, Back };
enum class Effect { Nothing, Enter, Probe, Shut, Ease, Return };
using enum Duty;
using enum News;
using enum Effect;
constexpr Row<Duty, News, Effect> kDuties[] = {
    {Any, Fresh, Serving, Enter},       {Any, Drains, Ended, Nothing},
    {Any, Gone, Ended, Nothing},        {Ended, Ready, Serving, Enter},
    {Serving, Lost, Missed, Probe},     {Suspect, Lost, Missed, Probe},
    {ShutOut, Lost, Ended, Nothing},    {Missed, Ready, Serving, Nothing},
    {Missed, ProbeBad, Ended, Nothing}, {Serving, SumsBad, Suspect, Probe},
    {Suspect, SumsBad, Suspect, Probe}, {Suspect, SumsWell, Serving, Nothing},
    {Suspect, ProbeBad, ShutOut, Shut}, {Suspect, ProbeSlow, Serving, Ease},
    {ShutOut, Back, Serving, Return},   {Suspect, ProbeWell, Serving, Nothing}};

enum class Phase { Idle, Gathering, Sent, Any };
enum class Tick { Differences, WindowOver, AnsweredMore, Answered };
enum class Move { OpenWindow, SendStep, EndRound };
constexpr Row<Phase, Tick, Move> kPhases[] = {
    {Phase::Idle, Tick::Differences, Phase::Gathering, Move::OpenWindow},
    {Phase::Gathering, Tick::WindowOver, Phase::Sent, Move::SendStep},
    {Phase::Sent, Tick::AnsweredMore, Phase::Sent, Move::SendStep},
    {Phase::Sent, Tick::Answered, Phase::Idle, Move::EndRound}};

/// The design's target: the listed weight of a server that serves, at the fifth to which it has risen.
double targetOf(const Servers& servers, EndpointIndex s) {
    return servers.serves(s) ? servers.listed[s] * servers.rung[s] / kRungs : 0;
}
double targetsOf(const Servers& servers) {
    return servers.sum([&](EndpointIndex s) { return targetOf(servers, s); });
}

struct Health {
    Servers& servers;
    RoutingUpdateSink& sink;
    const FleetConfig fleet;
    const SafetyLimits guards;
    const Micros shortestSla;
    std::mt19937 chance;
    Micros judgedAt{}, calmAt{};
    bool sumsCame = false;
    double settled = 0, settledRate = 0, triedRate = 0, triedBefore = 0, stress = 0;
    std::set<ZoneId> zonesHeard = {};
    double lines = 0, tried = 0; // heard of all servers

    void list(bool whole, std::span<const EndpointUpdate> entries, Micros now) {
        // Guards against a list that names running servers gone: where that need not bind, a probe decides.
        const News ends = guards.removalIsBinding ? Gone : Lost;
        std::vector<char> named(servers.size(), 0);
        for (const auto& entry : entries) {
            const EndpointIndex s = servers.add(entry);
            if (s < named.size()) named[s] = 1;
            servers.listed[s] = fleet.hasEndpointWeights && entry.weight > 0 ? entry.weight : 1;
            const bool fresh = entry.startedAt > std::exchange(servers.startedAt[s], entry.startedAt);
            const News news[] = {ends, fresh ? Fresh : Ready, Drains};
            tell(s, news[static_cast<int>(entry.state)], now);
        }
        for (EndpointIndex s = 0; whole && s < named.size(); ++s)
            if (!named[s]) tell(s, ends, now);
    }

    void sums(const EndpointLoadReport& line) {
        const EndpointIndex* s = servers.find(line.endpoint);
        if (!s) return;
        const double failed = std::min(line.failures, line.attempts), good = line.attempts - failed;
        sumsCame = true;
        if (good > 0) servers.heard[*s] = 1;
        zonesHeard.insert(line.proxyZone);
        servers.linesThen[*s] = ++lines;
        servers.triedThen[*s] = tried += line.attempts;
        servers.tries[*s] += line.attempts;
        servers.unanswered[*s] += failed;
        servers.delay[*s] += good * seconds(line.meanLatency);
        servers.load[*s] = line.load.inFlight.value_or(line.load.queueLength.value_or(0));
        settled += good;
    }

    /// Once a period: what do the sums say of each server? Returns the stress of the whole fleet, if heard.
    std::optional<double> judge(double usualSla, Micros now) {
        if (!sumsCame || now - judgedAt < fleet.reportInterval * 9 / 10) return {};
        const double span = seconds(std::max(judgedAt > 0us ? now - judgedAt : 0us, fleet.reportInterval));
        settledRate = std::exchange(settled, 0) / span;
        triedRate = (tried - std::exchange(triedBefore, tried)) / span;
        sumsCame = false, judgedAt = now;
        double tries = 0;
        std::vector<std::pair<double, double>> pressed, jammed; // part that fails or is late, and the weight
        for (EndpointIndex s = 0; s < servers.size(); ++s) {
            if (!servers.serves(s) || servers.tries[s] <= 0) continue;
            const double good = servers.tries[s] - servers.unanswered[s];
            const double mean = good > 0 ? servers.delay[s] / good / usualSla : 1;
            const double late = good * std::clamp((mean - kLateFrom) / (kLateTo - kLateFrom), 0.0, 1.0);
            const double part = (servers.unanswered[s] + late) / servers.tries[s];
            servers.pressed[s] = part + std::pow(kPressedFade, span) * (servers.pressed[s] - part);
            pressed.emplace_back(part, targetOf(servers, s));
            // Failures tell of a jam only beside slow answers: limits don't cure lost answers or errors.
            const double slow = std::clamp(2 * mean / kLateFrom - 1, 0.0, 1.0);
            jammed.emplace_back(part - (1 - slow) * servers.failing(s), targetOf(servers, s));
            tries += servers.tries[s];
        }
        stress = reached(pressed, 0.5); // few sick ones don't make it
        const double jam = reached(jammed, 0.5), least = reached(pressed, kWellPart);
        if (stress <= kOnsetStress) calmAt = now;
        const double all = targetsOf(servers);
        const auto view = static_cast<double>(servers.known() * zonesHeard.size());
        for (EndpointIndex s = 0; s < servers.size(); ++s) {
            if (servers.serves(s)) {
                const double share = servers.failing(s);
                const bool enough = servers.tries[s] >= kSickTries;
                // Proxies keep away from what fails them: no line is a symptom too. A view takes long where
                // reports pile up, so it is counted in lines and tries, not in time.
                const bool silent =
                    !servers.withdrawn[s] && lines - servers.linesThen[s] > kSilenceViews * view &&
                    (tried - servers.triedThen[s]) * targetOf(servers, s) > kSilenceTries * all;
                const bool sick = enough && share >= kSickShare && share > stress + kSickOver;
                const bool slow = enough && servers.pressed[s] >= kSlowPart && least < kStressAim &&
                                  servers.rung[s] > 1 && now - servers.changedAt[s] > kSettle;
                const bool bad = silent || sick || slow;
                if (bad || enough) tell(s, bad ? SumsBad : SumsWell, now);
            }
            for (auto* sum : {&servers.tries, &servers.unanswered, &servers.delay})
                (*sum)[s] *= std::pow(kSumsFade, span);
        }
        return tries >= kSickTries ? std::optional(jam) : std::nullopt;
    }
    void probes(Micros now) {
        for (EndpointIndex s = 0; fleet.probingAllowed && s < servers.size(); ++s) {
            const bool wanted = servers.duty[s] != Serving && servers.duty[s] != Ended;
            if (!wanted || servers.probing[s] || now < servers.probeDue[s]) continue;
            servers.probing[s] = 1;
            servers.probeDue[s] = now + kProbeEvery + Micros(chance() % 100000);
            sink.probe(servers.id[s]);
        }
    }

    void probed(const ProbeResult& result, Micros now) {
        const EndpointIndex* found = servers.find(result.endpoint);
        if (!found) return;
        const EndpointIndex s = *found;
        servers.probing[s] = 0;
        if (result.status == ProbeStatus::Rejected) return;
        // Some probes are shallow and answered while work hangs or waits: a quick answer clears neither a
        // server that answers next to nothing nor one that holds far more than the others for its weight.
        const auto held = [&](EndpointIndex k) { return servers.serves(k) ? servers.load[k] : 0; };
        const double usual = servers.sum(held) / targetsOf(servers);
        const double answered = servers.tries[s] - servers.unanswered[s];
        const bool mute = answered <= (1 - kHangShare) * servers.tries[s];
        const bool hung = servers.duty[s] == Suspect && servers.tries[s] >= kSickTries && mute;
        const bool answers = result.status == ProbeStatus::Answered && result.latency < shortestSla && !hung;
        const bool heavy = seconds(result.latency) > kSlowProbe * seconds(shortestSla) ||
                           servers.load[s] > kHeavy * usual * targetOf(servers, s);
        const bool good = answers && (servers.duty[s] == ShutOut || !heavy);
        servers.goodProbes[s] = good ? servers.goodProbes[s] + 1 : 0;
        // A probe that only waits tells of load where some txns are still answered: less is sent, not none.
        const bool dead = result.status != ProbeStatus::Answered &&
                          (mute || (result.status != ProbeStatus::TimedOut &&
                                    (servers.failing(s) >= kSickShare || servers.duty[s] == Missed)));
        const News bad = dead || hung || servers.duty[s] == ShutOut ? ProbeBad : ProbeSlow;
        tell(s, good ? ProbeWell : bad, now);
        if (servers.goodProbes[s] >= kGoodProbes && now >= servers.heldUntil[s]) tell(s, Back, now);
    }

    /// A server climbs a fifth a round, no faster than the slowest warming allows. Guards a cold one against
    /// falling over: under a jam's repeats even a fifth can be too much, so it may wait at none.
    void rise(double asked, bool mayClimb, Micros now) {
        const double targets = targetsOf(servers);
        // Proxies that avoid what fails heap txns on what answers: before limits can show, it waits at none.
        const bool onset = stress > kOnsetStress && now - calmAt < kOnset;
        double listed = 0;
        bool spare = false; // some server is warm: nobody is left without one if a cold one waits
        for (EndpointIndex s = 0; s < servers.size(); ++s) {
            listed += servers.serves(s) ? servers.listed[s] : 0;
            spare |= targetOf(servers, s) > 0 && warmth(s, now) >= 1 && !servers.withdrawn[s];
        }
        for (EndpointIndex s = 0; s < servers.size(); ++s) {
            if (!servers.serves(s) || servers.rung[s] == kRungs) continue;
            if (!spare) servers.rung[s] = std::max(servers.rung[s], 1);
            const double warm = warmth(s, now);
            const double able = kFallPart * guards.overloadFactor * warm * (1 - stress) * settledRate *
                                servers.listed[s] / listed;
            const auto brings = [&](int rung) {
                const double weight = servers.listed[s] * rung / kRungs;
                return asked * weight / std::max(targets - targetOf(servers, s) + weight, weight);
            };
            const int next = servers.rung[s] + 1;
            const bool judged = settledRate > 0 && warm < 1;
            if (mayClimb && !onset && (servers.heard[s] || warm < 1) && now >= servers.heldUntil[s] &&
                next <= kRungs * kColdLean * warm && (!judged || brings(next) <= able)) {
                servers.rung[s] = next;
                if (servers.eased[s]) servers.heldUntil[s] = now + kEaseLeast;
            }
            while (judged && servers.rung[s] > (spare ? 0 : 1) &&
                   ((onset && warm < kNearlyWarm) || brings(servers.rung[s]) > 1.5 * able))
                --servers.rung[s];
        }
    }

    double warmth(EndpointIndex s, Micros now) const {
        if (servers.startedAt[s] <= 0us || guards.warmUpDuration <= 0us) return 1;
        const double age = seconds(now - servers.startedAt[s]) / seconds(guards.warmUpDuration);
        return guards.coldCapacityFraction + (1 - guards.coldCapacityFraction) * std::clamp(age, 0.0, 1.0);
    }

    void tell(EndpointIndex s, News news, Micros now) {
        const auto* row = read(kDuties, servers.duty[s], [&](News input) { return input == news; });
        if (!row || (row->effect == Shut && !mayShut(s))) return;
        if ((row->next == ShutOut) != (servers.duty[s] == ShutOut))
            sink.log((row->next == ShutOut ? "out: " : "back: ") + std::to_string(s) + ", tries " +
                     text(servers.tries[s]) + ", failed " + text(servers.unanswered[s]));
        if (row->next == Ended && servers.duty[s] != Ended) servers.changedAt[s] = now;
        servers.duty[s] = row->next;
        switch (row->effect) {
        case Nothing: return;
        case Probe: servers.probeDue[s] = now; return;
        case Shut:
        case Ease: {
            servers.eased[s] = row->effect == Ease;
            servers.heldUntil[s] = now + (servers.eased[s] ? kEaseLeast : kHoldLeast);
            servers.probeDue[s] = now + kProbeEvery;
            servers.goodProbes[s] = 0;
            if (row->effect == Shut) return;
            servers.rung[s] -= servers.rung[s] > 1;
            break;
        }
        case Enter: // at a fifth, unless nothing is known yet of any; if warm it climbs once it has answered
            servers.rung[s] = warmth(s, now) >= 1 && lines <= 0 ? kRungs : 1;
            servers.heard[s] = 0;
            break;
        case Return: servers.rung[s] = 1; // if it started anew, the list will say so
        }
        servers.changedAt[s] = now;
        servers.linesThen[s] = lines;
        servers.triedThen[s] = tried;
        servers.tries[s] = servers.unanswered[s] = servers.delay[s] = 0;
    }

    /// If nearly all looks sick, the view is doubted, not the fleet: health shuts out only so much of it.
    bool mayShut(EndpointIndex s) const {
        const auto out = [&](EndpointIndex k) {
            return (servers.duty[k] == ShutOut || k == s) * servers.listed[k];
        };
        const auto all = [&](EndpointIndex k) { return servers.serves(k) ? servers.listed[k] : out(k); };
        return servers.sum(out) <= kDoubtPart * servers.sum(all);
    }
};

/// When messages go out, and to whom first.
struct Channel {
    Proxies& proxies;
    RoutingUpdateSink& sink;
    const ControlChannelLimits terms;
    const double standingLines;
    MessageLedger messages{proxies, terms.messageOverheadLines};
    std::optional<Micros> sentAt = {};
    std::uint32_t marks = 0;

    /// Where messages to a proxy are counted, the gap alone keeps the count: no batch writes sooner.
    bool open(Micros now) const {
        return !sentAt || terms.maxMessagesPerProxy < 2 ||
               now - *sentAt >= terms.messageWindow / (terms.maxMessagesPerProxy - 1);
    }
    /// Whoever writes the orders counts them as encoded and keeps the limit: here they are only paced.
    bool counted() const { return sink.pendingLines().has_value(); }
    double lines() const {
        const auto pending = sink.pendingLines();
        return pending ? *pending + messages.stagedLines : messages.lines();
    }
    /// Whether an urgent order of so many lines may be given.
    bool hasRoom(double each) const {
        return counted() || kDeadlineQueueFraction * terms.maxQueuedLines - messages.lines() >= each;
    }
    /// For what can wait, beside what is on its way: the queue stays short for what can't.
    double spare(Micros span) const {
        const double most = terms.linesPerSecond * seconds(terms.meanTransitTime + span);
        return std::min(most, kOrdinaryQueueFraction * terms.maxQueuedLines) - lines();
    }

    /// Proxies that keep an old table are bound a few at a time, busiest first.
    void joiners(const std::vector<Table>& tables, const Servers& servers, double budget) {
        if (targetsOf(servers) <= 0) return;
        std::vector<std::pair<double, ProxyId>> order;
        for (const auto& [id, proxy] : proxies)
            if (!proxy.bound) order.emplace_back(-proxy.rate(), id);
        std::ranges::sort(order);
        const auto out = std::count(servers.withdrawn.begin(), servers.withdrawn.end(), 1);
        for (const auto& [rate, id] : order) {
            if (budget <= 0) return;
            Proxy& proxy = proxies[id];
            proxy.bound = true;
            proxy.starters.clear();
            const double before = messages.stagedLines;
            for (const auto& table : tables) {
                if (table.starterOf || !table.serves(proxy)) continue;
                sink.assignTable(id, table.products, table.id);
                const auto others = static_cast<double>(out + std::ssize(table.levels));
                messages.stage(proxy, 1 + table.rows() + others);
            }
            budget -= messages.stagedLines - before;
        }
    }

    /// Servers that earlier planners withdrew from old tables are let back where bound, once all is done:
    /// most of these lines change nothing, and a table without them is short of a few servers at worst.
    void letBack(const Servers& servers) {
        for (auto& [id, proxy] : proxies) {
            if (!proxy.bound || std::exchange(proxy.cleared, true) ||
                !sink.clearStaleExclusions(id, servers.size()))
                continue;
            messages.stage(proxy, servers.sum([&](EndpointIndex s) { return targetOf(servers, s) > 0; }));
            if (spare(kIdle) <= 0) return;
        }
    }

    /// Closes the message of every proxy that something was ordered for with a mark; marks wrap under 65536.
    std::optional<BarrierId> send(Micros now) {
        if (messages.stagedLines <= 0 && !sink.needsBarrier()) return {};
        marks = marks % 65535 + 1;
        const BarrierId mark{static_cast<std::uint16_t>(marks)};
        sink.requestBarrier(mark, false);
        messages.close(mark, now);
        sentAt = now;
        return mark;
    }
};

/// How much of each product is let in, and when proxies try again.
struct Levels {
    RoutingUpdateSink& sink;
    const ThrottleMode throttle;
    const Micros period; // of the sums

    const std::vector<RequestClassConfig> products;
    std::vector<double> pass = std::vector<double>(products.size(), 1); // by product: the share let in
    bool limited = false, covered = false; // covered: the sums have told of nearly all that is let in
    Micros blind{};                        // no moves until this has passed
    double gain = 1, best = 0;             // the part of the best settled work for its weight that is let in

    /// The mean SLA time of what comes.
    double usualSla(const Proxies& proxies) const {
        const auto came = usageOf(proxies, products.size());
        double work = 0, all = 0;
        for (EndpointIndex p = 0; p < came.size(); ++p)
            work += came[p] * seconds(products[p].latencyObjective), all += came[p];
        return all > 0 ? work / all : seconds(products[0].latencyObjective);
    }
    /// Txns a second that are let in.
    double asked(const Proxies& proxies) const {
        const auto came = usageOf(proxies, products.size());
        return std::inner_product(came.begin(), came.end(), pass.begin(), 0.0);
    }

    /// The whole fleet fails or is late: no more is let in than the best that it has settled for its weight,
    /// more or less by what is seen since; first the product with least revenue for its SLA time gives way.
    /// Guards against any jam: too many txns, dearer txns, lost servers. Harms if half the fleet is slow.
    void stressed(double stress, double tried, double settled, double weight, const Proxies& proxies) {
        const std::vector<double> came = usageOf(proxies, products.size());
        double passed = 0, work = 0, wanted = 0, spare = 0;
        for (EndpointIndex p = 0; p < products.size(); ++p) {
            passed += came[p] * pass[p];
            work += came[p] * pass[p] * seconds(products[p].latencyObjective);
            wanted += came[p] * seconds(products[p].latencyObjective);
        }
        if (passed <= 0 || weight <= 0) return;
        best = std::max(best * kBestFade, settled * work / passed / weight);
        const bool before = limited;
        // Guards against a best of next to nothing just after a start, when sums tell of few proxies.
        covered = covered || tried >= kCovered * passed;
        if (!limited && covered &&
            (stress > kStressHigh || (stress > kStressAim && wanted > kJump * best * weight))) {
            gain = kGainFirst * std::min(1.0, wanted / (best * weight));
            blind = kOnset;
            limited = true;
        } else if (limited && (blind -= period) <= 0us) { // sums tell of limits only after a while
            const double move = std::clamp(kGainStep * (kStressAim - stress), -kGainDown, kGainUp);
            gain = std::clamp(gain + seconds(period) * move, kGainLeast, kGainTop);
        }
        if (stress < kStressAim && wanted <= gain * best * weight) limited = false;
        if (before != limited)
            sink.log((limited ? "limits: wanted " : "lets all in: wanted ") + text(wanted) + ", best " +
                     text(best * weight) + ", stress " + text(stress));
        std::vector<EndpointIndex> order(products.size());
        std::iota(order.begin(), order.end(), EndpointIndex{0});
        const auto worth = [&](EndpointIndex p) {
            return products[p].priorityWeight / seconds(products[p].latencyObjective);
        };
        std::ranges::stable_sort(order, {}, worth);
        if (limited) spare = std::max(0.0, wanted - gain * best * weight);
        for (const EndpointIndex p : order) {
            const double part = came[p] * seconds(products[p].latencyObjective);
            const double cut = std::min(spare, part * (1 - kProductFloor));
            pass[p] = part > 0 ? 1 - cut / part : 1;
            spare -= cut;
        }
    }

    void order(std::vector<Table>& tables, const Proxies& proxies, Channel& channel) {
        for (auto& table : tables)
            for (EndpointIndex p = 0; p < products.size(); ++p) {
                if (!(table.products >> p & 1U) || (table.starterOf && table.holders == 0)) continue;
                const double level = levelAt(std::min(1.0, pass[p] * table.slowed), p, proxies);
                double& before = table.levels.try_emplace(p, -1.0).first->second;
                if (std::abs(level - before) <= kLevelStep * std::max(level, before)) continue;
                sink.setAdmission(table.id, static_cast<RequestClassSet>(1U << p), level,
                                  RetryPolicy::AfterProofOfNoEffect);
                before = level;
                channel.messages.charge(table, 1);
            }
    }

    /// A share as it is; or the rate at each proxy at which that share of the product passes in all.
    double levelAt(double share, EndpointIndex p, const Proxies& proxies) const {
        if (throttle != ThrottleMode::Rate) return share;
        std::vector<double> rates;
        for (const auto& [id, proxy] : proxies) rates.push_back(proxy.usage[p]);
        std::ranges::sort(rates);
        double goal = share * std::accumulate(rates.begin(), rates.end(), 0.0);
        for (EndpointIndex k = 0; share < 1 && k < rates.size(); goal -= rates[k++]) {
            const double even = goal / static_cast<double>(rates.size() - k);
            if (even <= rates[k]) return even;
        }
        return kNoLimit;
    }
};

/// The design: targets, differences, the ledger and rounds.
struct Rounds {
    Servers& servers;
    const Health& health;
    Proxies& proxies;
    Channel& channel;
    RoutingUpdateSink& sink;
    std::vector<Table> tables;
    Phase phase = Phase::Idle;
    Micros batchAt{}, windowAt{}, sentAt{}, againAt{};
    std::optional<BarrierId> mark = {};
    StarterTables starters;

    /// What can't wait: withdrawals, and the shrinking of a server that has just started. Past the ledger.
    void urgent(bool idle, Micros now) {
        const auto each =
            static_cast<double>(proxies.size()) * (2 + channel.terms.messageOverheadLines); // a message
        for (EndpointIndex s = 0; s < servers.size(); ++s) {
            // Guards against growth, and lines for each that joins: no old table is as old as its end.
            const bool past = servers.duty[s] == Ended && servers.withdrawn[s] && !servers.forgotten[s] &&
                              now - servers.changedAt[s] > kEndedLong;
            const auto free = [&](const Table& table) { return table.standing[s] <= 0; };
            if (past && std::ranges::all_of(tables, free) && sink.forgetEndpoint(servers.id[s]))
                servers.forget(s);
            if (servers.forgotten[s]) continue;
            const bool out = !servers.serves(s) && !servers.withdrawn[s];
            const bool lowered = health.warmth(s, now) < 1 || (idle && servers.rung[s] < kRungs);
            for (auto& table : tables)
                if (table.standing[s] > target(table, s) &&
                    (out ? channel.hasRoom(each) : lowered && channel.spare(kBatch) > 0))
                    line(table, s);
            // Only old tables hold it now. They have few lines: the sick must not take them all.
            const bool sick = servers.duty[s] == ShutOut && servers.outShare(servers.zone[s]) >= kWorn;
            if (out && !sick && channel.hasRoom(each)) withdraw(s, true);
        }
        // Guards against a table without a line to pick, whatever took the last one: it waits for no round.
        for (auto& table : tables)
            if (!table.starterOf &&
                servers.sum([&](EndpointIndex s) { return !servers.withdrawn[s] * table.standing[s]; }) <= 0)
                for (EndpointIndex s = 0; s < servers.size(); ++s)
                    if (target(table, s) > 0 && channel.hasRoom(each)) line(table, s);
    }

    /// Those who joined since may hold ended servers, and hundreds can't be bound within the grace: they are told
    /// again of what was withdrawn.
    void withdrawAgain(bool idle, Micros now) {
        if (now - againAt < kWindow) return;
        againAt = now;
        const auto each = static_cast<double>(proxies.size()) * (2 + channel.terms.messageOverheadLines);
        const Micros newest = newcomer();
        for (EndpointIndex s = 0; s < servers.size(); ++s) {
            const bool ended = servers.duty[s] == Ended; // the sick may wait: no rule ends with them
            if (!servers.forgotten[s] && servers.withdrawn[s] && newest > servers.withdrawnAt[s] &&
                (ended || idle) && channel.hasRoom(each))
                withdraw(s, true);
        }
    }

    /// Servers that may get their full part at once: warm, and in this table; any others only where none is warm.
    std::vector<EndpointIndex> starterServers(const Table& whole, Micros now) const {
        std::vector<EndpointIndex> warm, cold;
        for (EndpointIndex s = 0; s < servers.size(); ++s)
            if (target(whole, s) > 0 && !servers.withdrawn[s])
                (health.warmth(s, now) >= 1 ? warm : cold).push_back(s);
        return warm.empty() ? cold : warm;
    }
    /// All that keep an old table and can be bound over later get a starter table, busiest first.
    void startJoiners(Micros now) {
        std::vector<std::pair<double, ProxyId>> order;
        for (const auto& [id, proxy] : proxies)
            if (proxy.keepsOldTable() && sink.supportsReassignment(id)) order.emplace_back(-proxy.rate(), id);
        const EndpointIndex wholes = wholeTables();
        if (order.empty() && wholes == tables.size()) return;
        starters.count();
        emptyUnheld();
        for (EndpointIndex whole = 0; whole < wholes; ++whole) {
            if (!tables[whole].used) continue;
            const auto usable = starterServers(tables[whole], now);
            for (const auto& [table, s] : starters.refill(whole, usable)) addRow(tables[table], s);
            if (order.empty()) continue;
            for (const auto& [table, s] : starters.deal(whole, usable)) addRow(tables[table], s);
        }
        std::ranges::sort(order);
        for (const auto& [rate, id] : order) start(id, wholes);
    }
    EndpointIndex wholeTables() const {
        return static_cast<EndpointIndex>(
            std::ranges::count_if(tables, [](const Table& table) { return !table.starterOf; }));
    }
    void addRow(Table& table, EndpointIndex s) {
        table.standing.resize(servers.size(), 0);
        table.standing[s] = targetOf(servers, s);
        sink.setWeight(table.id, servers.id[s], table.standing[s]);
        channel.messages.charge(table, 1);
    }
    /// Starter tables that nobody holds any more are emptied, to be dealt anew for those who join later.
    void emptyUnheld() {
        for (Table& table : tables) {
            if (!table.starterOf || table.holders > 0) continue;
            for (EndpointIndex s = 0; s < table.standing.size(); ++s)
                if (std::exchange(table.standing[s], 0) > 0) sink.setWeight(table.id, servers.id[s], 0);
        }
    }
    /// A starter table lets in what its whole table does; from then on its levels follow by themselves.
    void copyLevels(const Table& whole, Table& starter) {
        for (const auto& [product, level] : whole.levels) {
            if (level < 0) continue; // none was ordered yet
            sink.setAdmission(starter.id, static_cast<RequestClassSet>(1U << product), level,
                              RetryPolicy::AfterProofOfNoEffect);
            starter.levels[product] = level;
        }
    }
    void start(ProxyId id, EndpointIndex wholes) {
        Proxy& proxy = proxies[id];
        std::vector<EndpointIndex> given;
        for (EndpointIndex whole = 0; whole < wholes; ++whole) {
            if (tables[whole].zone != proxy.zone) continue;
            const auto table = starters.assign(whole, proxy.rate());
            if (!table) return; // no server is left for it: it keeps what it holds
            if (tables[*table].holders == 1) copyLevels(tables[whole], tables[*table]);
            given.push_back(*table);
        }
        proxy.starters = std::move(given);
        double rows = 0;
        for (const EndpointIndex t : proxy.starters) {
            sink.assignTable(id, tables[t].products, tables[t].id);
            rows += 1 + tables[t].rows();
        }
        // An earlier planner may have withdrawn what it names.
        if (!proxy.onlyStanding && sink.clearStaleExclusions(id, kLetBackFirst)) rows += kLetBackFirst;
        channel.messages.stage(proxy, rows + 1);
    }

    /// When the last of those joined that keep an old table: it may name what was withdrawn before.
    Micros newcomer() const {
        Micros newest{-1};
        for (const auto& [id, proxy] : proxies)
            if (proxy.keepsOldTable()) newest = std::max(newest, proxy.joinedAt);
        return newest;
    }

    void play(Micros now) {
        for (bool moved = true; moved;) {
            moved = false;
            const bool over = answered(now), more = differs();
            const bool input[] = {more, now - windowAt >= kWindow, over && more, over};
            const auto* row = read(kPhases, phase, [&](Tick tick) { return input[static_cast<int>(tick)]; });
            if (!row) break;
            if (phase == Phase::Sent)
                for (auto& table : tables) table.slowed = 1;
            phase = row->next;
            moved = row->effect != Move::SendStep;
            if (row->effect == Move::OpenWindow) windowAt = now;
            if (row->effect == Move::SendStep) step(now);
        }
    }
    bool answered(Micros now) const {
        return phase == Phase::Sent && sentAt != now &&
               (now - sentAt >= kRoundMost || channel.messages.answered(mark));
    }

    /// A zone where no proxy has joined needs no lines.
    double target(const Table& table, EndpointIndex s) const {
        if (table.starterOf) return table.standing[s] > 0 ? targetOf(servers, s) : 0;
        return table.used && (!table.zoneOnly || servers.zone[s] == table.zone) ? targetOf(servers, s) : 0;
    }
    bool differs() const {
        return std::ranges::any_of(tables, [&](const Table& table) {
            if (table.starterOf) return false;
            for (EndpointIndex s = 0; s < servers.size(); ++s)
                if (target(table, s) != table.standing[s]) return true;
            return false;
        });
    }
    void withdraw(EndpointIndex s, bool out) {
        const bool again = out && servers.withdrawn[s];
        sink.setExcluded(servers.id[s], out);
        servers.withdrawn[s] = out;
        const double named = kOldLines * channel.standingLines / static_cast<double>(servers.known());
        channel.messages.chargeOld(std::min(1.0, named), again ? servers.withdrawnAt[s] : -1us);
        servers.withdrawnAt[s] = batchAt;
    }
    void line(Table& table, EndpointIndex s) {
        table.standing[s] = target(table, s);
        if (table.standing[s] > 0 && servers.withdrawn[s]) withdraw(s, false);
        sink.setWeight(table.id, servers.id[s], table.standing[s]);
        channel.messages.charge(table, 1);
    }

    struct Node {
        Table* table;
        double demand, whole, raised = 0; // weights: standing, and that its raised lines add
        std::vector<EndpointIndex> ups = {}, downs = {};
    };
    /// One step of a round: releases, then the changes that fit, ranked by the servers that they free.
    void step(Micros now) {
        sentAt = now, mark = {};
        const EndpointIndex n = servers.size();
        std::vector<double> capacity(n, 0), load(n, 0);
        std::vector<Node> nodes;
        double usage = 0;
        for (auto& table : tables) {
            if (table.starterOf) continue;
            Node node{&table, table.usage(proxies), 0};
            usage += node.demand;
            for (EndpointIndex s = 0; s < n; ++s) {
                node.whole += servers.withdrawn[s] ? 0 : table.standing[s];
                if (target(table, s) > table.standing[s]) {
                    node.ups.push_back(s);
                    node.raised += target(table, s) - (servers.withdrawn[s] ? 0 : table.standing[s]);
                }
                if (target(table, s) < table.standing[s]) node.downs.push_back(s);
            }
            for (EndpointIndex s = 0; s < n; ++s) load[s] += node.demand * part(node, s);
            nodes.push_back(std::move(node));
        }
        capacities(capacity, usage);
        bool sent = false;
        const auto go = [&](const Node& node, EndpointIndex s) {
            if (channel.spare(kBatch) <= 0) return;
            line(*node.table, s), sent = true;
        };
        for (const auto& node : nodes) // releases; a table that serves nobody and the dead skip the fit check
            for (const EndpointIndex s : node.downs)
                if (node.demand <= 0 || node.ups.empty() || !servers.serves(s)) go(node, s);
        std::ranges::stable_sort(nodes, {}, [](const Node& node) { return -std::ssize(node.downs); });
        const Node* least = nullptr;
        double leastRatio = 2, leastPart = 0;
        for (const auto& node : nodes) {
            double fits = 2, over = 0;
            for (const EndpointIndex s : node.ups) {
                const double aim = target(*node.table, s);
                const double after = aim / (node.whole + node.raised); // the raised lines share the demand
                const double more = node.demand * (after - part(node, s)), residual = capacity[s] - load[s];
                if (node.demand <= 0 || node.whole <= 0 || more <= residual) {
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
        least->table->slowed = std::clamp(1 - leastRatio * leastPart / least->demand, 0.0, 1.0);
        sink.log("deadlock: " + std::to_string(least->table->id.value) + " at " + text(least->table->slowed));
        for (const EndpointIndex s : least->ups) go(*least, s);
    }
    double part(const Node& node, EndpointIndex s) const {
        return node.whole > 0 && !servers.withdrawn[s] ? node.table->standing[s] / node.whole : 0;
    }
    /// Listed share of heard usage times the headroom; unheard servers count as average.
    void capacities(std::vector<double>& capacity, double usage) const {
        double known = 0, heard = 0;
        for (EndpointIndex s = 0; s < servers.size(); ++s)
            if (servers.serves(s) && servers.heard[s]) known += servers.listed[s], ++heard;
        for (EndpointIndex s = 0; s < servers.size(); ++s)
            capacity[s] = targetOf(servers, s) *
                          (servers.heard[s] || heard <= 0 ? 1 : known / heard / servers.listed[s]);
        const double all = std::accumulate(capacity.begin(), capacity.end(), 0.0);
        for (double& one : capacity) one = all > 0 ? kHeadroom * usage * one / all : 0;
    }
};

class Decider final : public Planner {
public:
    Decider(std::uint64_t seed, const FleetConfig& fleet, const ProxyFleetConfig& forwarders,
            const ControlChannelLimits& channel, const SafetyLimits& guards,
            std::span<const RequestClassConfig> products, RoutingUpdateSink& sink)
        : sink_(sink), sliced_(fleet.sharded), mustFollow_(fleet.mustSubscribeToEndpoints),
          health_(servers_, sink, fleet, guards,
                  std::ranges::min(products, {}, &RequestClassConfig::latencyObjective).latencyObjective,
                  std::mt19937(static_cast<std::uint32_t>(seed))),
          channel_(proxies_, sink, channel, forwarders.bootstrapTableSize),
          levels_(sink, forwarders.throttleMode, fleet.reportInterval,
                  std::vector(products.begin(), products.end())),
          rounds_{.servers = servers_,
                  .health = health_,
                  .proxies = proxies_,
                  .channel = channel_,
                  .sink = sink,
                  .tables = {},
                  .starters = StarterTables(rounds_.tables, proxies_, servers_, forwarders.bootstrapTableSize,
                                            static_cast<std::uint32_t>(seed))} {
        for (const bool zoneOnly : {false, true}) {
            RequestClassSet part = 0;
            for (EndpointIndex p = 0; p < products.size(); ++p)
                if (products[p].zoneLocal == zoneOnly) part = static_cast<RequestClassSet>(part | 1U << p);
            for (std::uint8_t z = 0; part && z < fleet.zoneCount; ++z)
                rounds_.tables.push_back(
                    {{static_cast<std::uint16_t>(rounds_.tables.size())}, {z}, zoneOnly, part});
        }
    }

    void beginBatch(Micros now) override { now_ = now; }
    void updateEndpoints(EndpointListUpdate news, std::span<const EndpointUpdate> entries) override {
        mustFollow_ |= news == EndpointListUpdate::PollFailed;
        if (news != EndpointListUpdate::PollFailed)
            health_.list(news != EndpointListUpdate::Delta, entries, now_);
    }
    void proxyJoined(ProxyId id, ZoneId zone, double usualRate, bool onlyStanding) override {
        const EndpointIndex products = levels_.products.size();
        proxyLeft(id);
        const std::vector<double> usage(products, usualRate / static_cast<double>(products));
        proxies_[id] = {
            .zone = zone, .onlyStanding = onlyStanding, .usage = usage, .waiting = {}, .joinedAt = now_};
    }
    void proxyLeft(ProxyId id) override { channel_.messages.left(id); }
    void reportLoad(const EndpointLoadReport& line) override { health_.sums(line); }
    void reportDemand(const DemandReport& line) override {
        const auto found = proxies_.find(line.proxy);
        if (found == proxies_.end() || line.requestClass.value >= levels_.products.size() ||
            line.interval <= 0us)
            return;
        double& rate = found->second.usage[line.requestClass.value];
        const double heard = line.requests / seconds(line.interval);
        rate = heard + std::pow(kUsageFade, seconds(line.interval)) * (rate - heard);
    }
    void barrierAcknowledged(ProxyId id, BarrierId number) override { channel_.messages.applied(id, number); }
    void probeCompleted(const ProbeResult& result) override { health_.probed(result, now_); }
    void timerExpired() override { awake_ = false; }

    void decide() override {
        if (sliced_) return;
        if (!awake_) sink_.scheduleWakeUp(kBeat);
        awake_ = true;
        if (std::exchange(mustFollow_, false)) sink_.subscribeToEndpoints();
        if (const auto stress = health_.judge(levels_.usualSla(proxies_), now_))
            levels_.stressed(*stress, health_.triedRate, health_.settledRate, targetsOf(servers_), proxies_);
        health_.probes(now_);
        if (!channel_.open(now_)) return;
        health_.rise(levels_.asked(proxies_), rounds_.phase == Phase::Idle || rounds_.answered(now_), now_);
        channel_.messages.forget(now_ - kForgotten, now_ - kUnasked);
        const bool idle = channel_.spare(kIdle) > 0;
        for (auto& table : rounds_.tables) {
            table.standing.resize(servers_.size(), 0);
            table.used = !table.starterOf && std::ranges::any_of(proxies_, [&](auto& one) {
                return one.second.zone == table.zone;
            });
        }
        rounds_.batchAt = now_;
        const double half = channel_.spare(kBatch) / 2;
        if (half > 0 || channel_.counted()) rounds_.urgent(idle, now_);
        // Guards against old tables that run out of servers while urgent orders take the whole channel.
        const auto worn = [&](const Table& table) { return servers_.outShare(table.zone) >= kWorn; };
        if (half > 0 && (idle || std::ranges::any_of(rounds_.tables, worn)))
            channel_.joiners(rounds_.tables, servers_, half);
        if (channel_.counted()) rounds_.startJoiners(now_);
        if (half > 0 || channel_.counted()) rounds_.withdrawAgain(idle, now_);
        if (idle) {
            rounds_.play(now_);
            levels_.order(rounds_.tables, proxies_, channel_);
            if (mayWiden()) channel_.joiners(rounds_.tables, servers_, channel_.spare(kBatch));
            if (channel_.spare(kIdle) > 0) channel_.letBack(servers_);
        }
        if (const auto mark = channel_.send(now_); rounds_.sentAt == now_) rounds_.mark = mark;
    }

private:
    /// Whole tables cost more to take back than starter tables: no more proxies hold them than can be told of the
    /// servers that ended within a grace by half of the queue.
    bool mayWiden() const {
        if (!channel_.counted()) return true;
        double ended = 1;
        for (EndpointIndex s = 0; s < servers_.size(); ++s)
            ended += servers_.duty[s] == Ended && !servers_.forgotten[s] &&
                     servers_.changedAt[s] > now_ - health_.guards.drainGracePeriod;
        const auto bound = static_cast<double>(
            std::ranges::count_if(proxies_, [](const auto& one) { return one.second.bound; }));
        return bound * (channel_.terms.messageOverheadLines + 1 + ended) <=
               kOrdinaryQueueFraction * channel_.terms.maxQueuedLines;
    }

    RoutingUpdateSink& sink_;
    const bool sliced_;
    bool mustFollow_, awake_ = false;
    Micros now_{};
    Servers servers_;
    Proxies proxies_;
    Health health_;
    Channel channel_;
    Levels levels_;
    Rounds rounds_;
};

} // namespace

std::unique_ptr<Planner> makePlanner(std::uint64_t seed, const FleetConfig& fleet,
                                     const ProxyFleetConfig& forwarders, const ControlChannelLimits& channel,
                                     const SafetyLimits& guards, std::span<const RequestClassConfig> products,
                                     RoutingUpdateSink& sink) {
    return std::make_unique<Decider>(seed, fleet, forwarders, channel, guards, products, sink);
}

} // namespace zincstack
