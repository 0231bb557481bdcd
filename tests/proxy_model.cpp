// Implements the simulated environment of a planner, and the checks of the safety rules.
#include "proxy_model.h"

#include <algorithm>

namespace zincstack::tests {

namespace {

constexpr Micros kStep = 50ms;
constexpr double kStepSeconds = 0.05;

/// Added to drain deadlines: the time resolution and the transit time of this model delay a message by as
/// much.
constexpr Micros kTimingTolerance = 250ms;

/// Maximum number of endpoints in a bootstrap table. A proxy that holds more joins with a full table.
constexpr std::size_t kMaxBootstrapEndpoints = 6;

void insertOrErase(std::set<EndpointId>& set, EndpointId endpoint, bool isMember) {
    if (isMember)
        set.insert(endpoint);
    else
        set.erase(endpoint);
}

void putWeight(ProxyModel::EndpointWeights& weights, EndpointId endpoint, double weight) {
    weights[endpoint] = weight;
    if (weight <= 0) weights.erase(endpoint);
}

} // namespace

void ProxyModel::start(std::uint64_t seed) {
    tables = {};
    limitedClasses_ = {};
    excluded = {};
    assignedTables = {};
    queue = {};
    openMessages_ = {};
    wakeUpAt_ = -1us;
    planner = makePlanner({seed, fleet, proxyFleet, channel, safety, requestClasses}, *this);
    std::vector<EndpointUpdate> entries;
    for (auto& [id, endpoint] : listed)
        if (endpoint.entry.state != EndpointState::Removed) entries.push_back(endpoint.entry);
    batch([&] { planner->updateEndpoints(EndpointListUpdate::Cached, entries); });
}

void ProxyModel::restart(std::uint64_t seed) {
    const auto before = std::exchange(proxies, {});
    inFlight_.clear();
    start(seed);
    for (const auto& [id, previous] : before) {
        std::set<EndpointId> inherited = previous.inheritedEndpoints;
        for (const auto& [endpoint, weight] : previous.weights) inherited.insert(endpoint);
        join(id.value, previous.zone.value, 10, inherited);
        proxies[id].excluded = previous.excluded;
    }
}

EndpointUpdate& ProxyModel::addEndpoint(std::uint64_t id, double weight, std::uint8_t zone) {
    EndpointUpdate& entry = listed[{id}].entry;
    entry = {{id}, EndpointState::Ready, 0us, weight, {0}, {zone}};
    return entry;
}

void ProxyModel::updateEndpoint(std::uint64_t id, EndpointState state, Micros startedAt) {
    ListedEndpoint& endpoint = listed[{id}];
    endpoint.entry.id = {id};
    if (startedAt >= 0us) {
        endpoint.entry.startedAt = startedAt;
        endpoint.startAnnouncedAt = now;
    }
    if (state == EndpointState::Ready) endpoint.endAnnouncedAt = -1us;
    if (state != EndpointState::Ready && endpoint.endAnnouncedAt < 0us) endpoint.endAnnouncedAt = now;
    endpoint.entry.state = state;
    batch([&] { planner->updateEndpoints(EndpointListUpdate::Delta, std::span(&endpoint.entry, 1)); });
}

void ProxyModel::join(std::uint16_t id, std::uint8_t zone, double rate,
                      std::set<EndpointId> inheritedEndpoints) {
    leave(id);
    ProxyState& proxy = proxies[{id}];
    proxy.zone = {zone};
    proxy.joinedAt = now;
    proxy.inheritedEndpoints = std::move(inheritedEndpoints);
    const bool hasOnlyBootstrapTable = proxy.inheritedEndpoints.size() <= kMaxBootstrapEndpoints;
    batch([&] { planner->proxyJoined({id}, {zone}, rate, hasOnlyBootstrapTable); });
}

void ProxyModel::leave(std::uint16_t id) {
    if (!proxies.erase({id})) return;
    assignedTables.erase({id});
    const auto isLost = [&](const Message& message) { return message.proxy == ProxyId{id}; };
    std::erase_if(queue, isLost);
    std::erase_if(inFlight_, isLost);
    batch([&] { planner->proxyLeft({id}); });
}

void ProxyModel::reportDemand() {
    for (auto& [id, proxy] : proxies)
        for (std::size_t index = 0; index < requestClasses.size(); ++index)
            planner->reportDemand({id, {static_cast<std::uint16_t>(index)}, 10, 0, 1s});
}

void ProxyModel::completeProbes(ProbeStatus status, Micros latency) {
    const auto outstanding = std::exchange(probes, {});
    batch([&] {
        for (const EndpointId id : outstanding) planner->probeCompleted({id, status, latency, {}});
    });
}

void ProxyModel::advance(Micros span) {
    for (const Micros end = now + span; now < end;) step();
}

void ProxyModel::step() {
    now += kStep;
    transmit();
    planner->beginBatch(now);
    deliver();
    if (wakeUpAt_ >= 0us && wakeUpAt_ <= now) {
        wakeUpAt_ = -1us;
        planner->timerExpired();
    }
    decide();
    if (checksRules) checkRules();
}

void ProxyModel::transmit() {
    sendableLines_ += channel.linesPerSecond / slowdown * kStepSeconds;
    while (!queue.empty() && queue.front().lines <= sendableLines_) {
        sendableLines_ -= queue.front().lines;
        inFlight_.push_back(std::move(queue.front()));
        inFlight_.back().arrivesAt = now + channel.meanTransitTime;
        queue.pop_front();
    }
    if (queue.empty()) sendableLines_ = 0;
}

void ProxyModel::deliver() {
    while (!inFlight_.empty() && inFlight_.front().arrivesAt <= now) {
        const Message& message = inFlight_.front();
        for (const auto& update : message.updates) update(proxies[message.proxy]);
        planner->barrierAcknowledged(message.proxy, message.barrier);
        inFlight_.pop_front();
    }
}

void ProxyModel::setWeight(TableId table, EndpointId endpoint, double weight) {
    expect(weight >= 0, "setWeight: the weight is negative");
    weightUpdates.emplace_back(endpoint, weight);
    const bool readmits = forgetsEndpoints && weight > 0 && !excluded.contains(endpoint);
    putWeight(tables[table], endpoint, weight);
    for (auto& [id, proxy] : proxies)
        if (assignedTables.contains(id) && assignedTables[id] == table)
            send(id, 1, [=](ProxyState& state) {
                putWeight(state.weights, endpoint, weight);
                if (readmits) state.excluded.erase(endpoint);
            });
}

void ProxyModel::assignTable(ProxyId proxy, RequestClassSet, TableId table) {
    expect(proxies.contains(proxy), "assignTable: the proxy has not joined");
    assignments.emplace_back(proxy, table);
    assignedTables[proxy] = table;
    const std::size_t rows = tables[table].size() + limitedClasses_[table].size() + excluded.size();
    send(proxy, 1.0 + static_cast<double>(rows),
         [weights = tables[table], exclusions = excluded](ProxyState& state) {
             state.hasAssignedTable = true;
             state.weights = weights;
             state.excluded = exclusions;
         });
}

void ProxyModel::setExcluded(EndpointId endpoint, bool isExcluded) {
    insertOrErase(excluded, endpoint, isExcluded);
    for (auto& [id, proxy] : proxies) {
        const bool isNamed = assignedTables.contains(id) ? tables[assignedTables[id]].contains(endpoint)
                                                         : proxy.inheritedEndpoints.contains(endpoint);
        if (!isNamed) { // the change needs no line in the channel
            insertOrErase(proxy.excluded, endpoint, isExcluded);
            continue;
        }
        const auto [sent, isFirst] = proxy.exclusionsSent.try_emplace(endpoint, isExcluded);
        if (!isFirst && sent->second == isExcluded && sendsExclusionsOnce) continue;
        sent->second = isExcluded;
        send(id, 1, [=](ProxyState& state) { insertOrErase(state.excluded, endpoint, isExcluded); });
    }
}

void ProxyModel::setAdmission(std::optional<TableId> table, RequestClassSet requestClassSet, double limit,
                              RetryPolicy retryPolicy) {
    expect(limit >= 0, "setAdmission: the limit is negative");
    for (std::size_t index = 0; index < requestClasses.size(); ++index)
        expect(!(requestClassSet >> index & 1U) || retryPolicy <= RetryPolicy::AfterProofOfNoEffect ||
                   requestClasses[index].idempotency == Idempotency::Idempotent,
               "retry safety: a request that is not idempotent may be retried without proof of no effect");
    admissionLimits.emplace_back(requestClassSet, limit);
    if (table) limitedClasses_[*table].insert(requestClassSet);
    for (auto& [id, proxy] : proxies)
        if (!table || (assignedTables.contains(id) && assignedTables[id] == *table))
            send(id, 1, [](ProxyState&) {});
}

bool ProxyModel::clearStaleExclusions(ProxyId proxy, std::size_t) {
    if (!sendsExclusionsOnce || tables[assignedTables[proxy]].empty()) return false;
    send(proxy, static_cast<double>(tables[assignedTables[proxy]].size()), [](ProxyState&) {});
    return true;
}

void ProxyModel::requestBarrier(BarrierId barrier, bool) {
    for (auto& [id, message] : openMessages_) {
        message.barrier = barrier;
        message.lines += 1;
    }
}

void ProxyModel::scheduleWakeUp(Micros span) {
    expect(wakeUpAt_ < 0us && span > 0us,
           "scheduleWakeUp: one is already scheduled, or the delay is not positive");
    wakeUpAt_ = now + span;
}

bool ProxyModel::forgetEndpoint(EndpointId endpoint) {
    if (forgetsEndpoints) excluded.erase(endpoint);
    return forgetsEndpoints;
}

void ProxyModel::expect(bool holds, const char* rule) {
    if (!holds) violations.emplace_back(rule);
}

void ProxyModel::decide() {
    planner->decide();
    for (auto& [id, message] : openMessages_) {
        proxies[id].messagesSentAt.push_back(now);
        queue.push_back(std::move(message));
    }
    openMessages_.clear();
}

void ProxyModel::send(ProxyId proxy, double lines, std::function<void(ProxyState&)> update) {
    Message& message =
        openMessages_.try_emplace(proxy, Message{proxy, channel.messageOverheadLines}).first->second;
    message.updates.push_back(std::move(update));
    message.lines += lines;
}

bool ProxyModel::mayPick(const ProxyState& proxy, EndpointId endpoint) const {
    if (proxy.excluded.contains(endpoint)) return false;
    return proxy.hasAssignedTable ? proxy.weights.contains(endpoint)
                                  : proxy.inheritedEndpoints.contains(endpoint);
}

bool ProxyModel::hasWarmEndpoint() const {
    return std::ranges::any_of(listed, [&](const auto& item) {
        const EndpointUpdate& entry = item.second.entry;
        return entry.state == EndpointState::Ready && now - entry.startedAt >= safety.warmUpDuration;
    });
}

double ProxyModel::warmUpFraction(const ListedEndpoint& endpoint) const {
    const auto age = static_cast<double>((now - endpoint.entry.startedAt).count());
    const double progress = std::min(age / static_cast<double>(safety.warmUpDuration.count()), 1.0);
    return safety.coldCapacityFraction + (1 - safety.coldCapacityFraction) * progress;
}

void ProxyModel::checkRules() {
    const bool anyWarm = hasWarmEndpoint();
    double waitingLines = 0;
    for (const Message& message : queue) waitingLines += message.lines;
    expect(waitingLines <= channel.maxQueuedLines, "queue limit: more than maxQueuedLines lines are queued");
    for (auto& [id, proxy] : proxies) {
        checkProxy(proxy, anyWarm);
        checkMessageCount(proxy);
    }
}

void ProxyModel::checkProxy(ProxyState& proxy, bool anyWarm) {
    bool hasEndpoint = false;
    for (const auto& [id, endpoint] : listed) {
        if (!mayPick(proxy, id)) continue;
        hasEndpoint = true;
        checkEndpoint(proxy, id, endpoint);
    }
    if (hasEndpoint || !anyWarm) proxy.withoutEndpointSince = -1us;
    if (!hasEndpoint && anyWarm && proxy.withoutEndpointSince < 0us) proxy.withoutEndpointSince = now;
    expect(proxy.withoutEndpointSince < 0us ||
               now - proxy.withoutEndpointSince <= slowdown * safety.maxTimeWithoutEndpoint,
           "endpoint availability: a proxy has had no endpoint to pick for too long");
}

void ProxyModel::checkEndpoint(const ProxyState& proxy, EndpointId id, const ListedEndpoint& endpoint) {
    const auto grace = slowdown * safety.drainGracePeriod + kTimingTolerance;
    const Micros endKnownAt = std::max(endpoint.endAnnouncedAt, proxy.joinedAt);
    expect(endpoint.endAnnouncedAt < 0us || now - endKnownAt <= grace,
           "drain deadline: a proxy may still pick an endpoint that is draining or removed");
    const bool startIsKnown = now - std::max(endpoint.startAnnouncedAt, proxy.joinedAt) > grace;
    const double maxWeight = endpoint.entry.weight * safety.overloadFactor * warmUpFraction(endpoint);
    expect(!proxy.hasAssignedTable || !startIsKnown || proxy.weights.at(id) <= maxWeight,
           "cold endpoint overload: its weight exceeds overloadFactor times its current capacity");
}

void ProxyModel::checkMessageCount(ProxyState& proxy) {
    std::deque<Micros>& sentAt = proxy.messagesSentAt;
    while (!sentAt.empty() && now - sentAt.front() > channel.messageWindow) sentAt.pop_front();
    expect(!channel.maxMessagesPerProxy || sentAt.size() <= channel.maxMessagesPerProxy,
           "message rate: more than maxMessagesPerProxy messages to a proxy within messageWindow");
}

} // namespace zincstack::tests
