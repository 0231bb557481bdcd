// Implements the simulation of a fleet of proxies on one planner.
#include "simulated_fleet.h"

#include <utility>

#include "push_message_reader.h"

namespace zincstack::tests {

namespace {

constexpr Micros kTick = 20ms;
constexpr Micros kMaxDecisionInterval = 100ms;

ControlChannelLimits channelLimitsOf(const SimulatedFleetConfig& config) {
    return {config.linesPerSecond,
            config.messageOverheadLines,
            config.maxQueuedLines,
            config.maxMessagesPerProxy,
            kMessageWindow,
            config.meanTransitTime,
            2 * config.meanTransitTime};
}

std::vector<std::string> zoneNames(std::uint8_t count) {
    std::vector<std::string> names;
    for (int k = 0; k < count; ++k) names.push_back(std::string(1, static_cast<char>('a' + k)));
    return names;
}

/// Requests per second. Skewed: one proxy in 20 has 15 times the rate of the others.
double requestRateOf(std::uint16_t proxy) { return proxy % 20 == 0 ? 30 : 2; }

} // namespace

/// The stream of one proxy. It passes each write to the fleet.
class SimulatedFleet::Stream final : public net::PushStream {
public:
    Stream(SimulatedFleet& owner, std::uint16_t ofProxy) : fleet_(owner), proxy_(ofProxy) {}
    bool push(std::string_view bytes) override {
        fleet_.handleWrite(proxy_, bytes);
        return true;
    }
    bool idle() const override { return true; }
    void onReplaced() override {}

private:
    SimulatedFleet& fleet_;
    std::uint16_t proxy_;
};

SimulatedFleet::SimulatedFleet(const SimulatedFleetConfig& config)
    : config_(config), names_({"lookup", "hold", "confirm"}, zoneNames(config.zoneCount)),
      state_(
          names_, counters_, [this](EndpointId endpoint) { requestedProbes_.push_back(endpoint); },
          [](Micros) {}, channelLimitsOf(config)),
      updates_(state_, names_, counters_),
      channel_(config.linesPerSecond / config.slowdown, config.meanTransitTime, config.seed),
      rules_(config, kStartTime) {
    const FleetConfig fleet{.zoneCount = config.zoneCount,
                            .plannerCount = 5,
                            .hasEndpointWeights = true,
                            .probingAllowed = true,
                            .reportInterval = 1s};
    const ProxyFleetConfig proxies{.proxyCount = config.proxyCount,
                                   .bootstrapTableSize = config.bootstrapTableSize,
                                   .throttleMode = ThrottleMode::Rate};
    const SafetyLimits limits{
        config.maxTimeWithoutEndpoint, config.drainGracePeriod, 0.2, kWarmUpDuration, 4, 3s};
    const std::vector<RequestClassConfig> requestClasses{
        {1s, 3s, 3, .1, Idempotency::Idempotent, false, false},
        {1s, 4s, 2, .1, Idempotency::IdempotencyKeyed, false, true},
        {1s, 2s, 3, .1, Idempotency::NonIdempotent, false, true}};
    planner_ =
        makePlanner({config.seed, fleet, proxies, channelLimitsOf(config), limits, requestClasses}, state_);
}

SimulatedFleet::~SimulatedFleet() = default;

// ---- service discovery ------------------------------------------------------------------------------------

std::size_t SimulatedFleet::addEndpoint(EndpointState state, Micros startedAt) {
    const std::size_t index = endpoints_.size();
    endpoints_.push_back({names_.registerEndpoint("s-" + std::to_string(index)), state, startedAt, {}});
    return index;
}

EndpointUpdate SimulatedFleet::updateOf(const SimulatedEndpoint& endpoint) const {
    const auto zone = static_cast<std::uint8_t>(endpoint.id.value % config_.zoneCount);
    return {endpoint.id, endpoint.state, endpoint.startedAt, 1, {0}, {zone}};
}

void SimulatedFleet::announceAllEndpoints(EndpointListUpdate kind) {
    std::vector<EndpointUpdate> updates;
    for (const SimulatedEndpoint& endpoint : endpoints_)
        if (endpoint.state != EndpointState::Removed) updates.push_back(updateOf(endpoint));
    addInput([&] { planner_->updateEndpoints(kind, updates); });
}

void SimulatedFleet::announceChanges(const std::vector<EndpointChange>& changes) {
    std::vector<EndpointUpdate> updates;
    for (const EndpointChange& change : changes) {
        SimulatedEndpoint& endpoint = endpoints_[change.endpoint];
        if (change.state != EndpointState::Ready && !endpoint.endAnnouncedAt) endpoint.endAnnouncedAt = now_;
        endpoint.state = change.state;
        updates.push_back(updateOf(endpoint));
    }
    addInput([&] { planner_->updateEndpoints(EndpointListUpdate::Delta, updates); });
}

std::size_t SimulatedFleet::startEndpoint() {
    const std::size_t endpoint = addEndpoint(EndpointState::Ready, now_);
    announceChanges({{endpoint, EndpointState::Ready}});
    return endpoint;
}

EndpointSet SimulatedFleet::readyEndpoints() const {
    EndpointSet ready;
    for (std::size_t k = 0; k < endpoints_.size(); ++k)
        ready[k] = endpoints_[k].state == EndpointState::Ready;
    return ready;
}

// ---- sessions ---------------------------------------------------------------------------------------------

void SimulatedFleet::join(std::uint16_t id, const EndpointSet& table, bool fresh) {
    SimulatedProxy& proxy = proxies_[id];
    proxy.stream = std::make_unique<Stream>(*this, id);
    proxy.session = ++sessionCount_;
    proxy.writtenAt.clear();
    proxy.zone = static_cast<std::uint8_t>(id % config_.zoneCount);
    proxy.joinedAt = now_;
    proxy.withoutEndpointSince.reset();
    proxy.tables.fill(table);
    updates_.sessionOpened({id}, {proxy.zone}, *proxy.stream);
    addInput([&] { planner_->proxyJoined({id}, {proxy.zone}, requestRateOf(id), fresh); });
}

void SimulatedFleet::leave(std::uint16_t id) {
    const auto found = proxies_.find(id);
    if (found == proxies_.end()) return;
    updates_.sessionClosed({id}, *found->second.stream);
    proxies_.erase(found);
    addInput([&] { planner_->proxyLeft({id}); });
}

void SimulatedFleet::setStalled(std::uint16_t proxy, bool isStalled) {
    proxies_.at(proxy).isStalled = isStalled;
}

// ---- batches ----------------------------------------------------------------------------------------------

void SimulatedFleet::openBatch() {
    if (!std::exchange(isBatchOpen_, true)) planner_->beginBatch(now_);
}

void SimulatedFleet::addInput(const std::function<void()>& input) {
    openBatch();
    input();
    hasInput_ = true;
}

void SimulatedFleet::closeBatch() {
    if (!std::exchange(isBatchOpen_, false) || !std::exchange(hasInput_, false)) return;
    planner_->beginBatch(now_);
    planner_->decide();
    lastDecisionAt_ = now_;
    state_.flush(now_);
}

// ---- time and reports -------------------------------------------------------------------------------------

void SimulatedFleet::advance(Micros duration) {
    const Micros end = now_ + duration;
    while (now_ < end) tick();
}

void SimulatedFleet::tick() {
    now_ += kTick;
    channel_.transmit(now_, kTick);
    openBatch();
    deliverArrived();
    if (lastDecisionAt_ + kMaxDecisionInterval <= now_) hasInput_ = true;
    closeBatch();
    rules_.checkDeadlines(now_, endpoints_, proxies_);
}

void SimulatedFleet::reportSuccess() {
    reportFailures([](std::size_t) { return false; });
}

void SimulatedFleet::reportFailures(const std::function<bool(std::size_t endpoint)>& isFailing) {
    constexpr std::uint32_t kAttempts = 20;
    constexpr std::uint32_t kFailures = 18;
    openBatch();
    for (std::size_t k = 0; k < endpoints_.size(); ++k) {
        if (endpoints_[k].state != EndpointState::Ready) continue;
        const std::uint32_t failures = isFailing(k) ? kFailures : 0;
        for (std::uint8_t zone = 0; zone < config_.zoneCount; ++zone)
            planner_->reportLoad({endpoints_[k].id, {zone}, kAttempts, failures, 200ms, 1s, {}});
    }
    for (const auto& [id, proxy] : proxies_) {
        const auto requests = static_cast<std::uint32_t>(requestRateOf(id));
        for (std::uint16_t k = 0; k < kRequestClassCount; ++k)
            planner_->reportDemand({{id}, {k}, requests, 0, 1s});
    }
    hasInput_ = true;
}

void SimulatedFleet::timeOutProbes() { completeProbes(ProbeStatus::TimedOut, 1s); }

void SimulatedFleet::answerProbes() { completeProbes(ProbeStatus::Answered, 5ms); }

void SimulatedFleet::completeProbes(ProbeStatus status, Micros latency) {
    openBatch();
    for (const EndpointId endpoint : std::exchange(requestedProbes_, {}))
        planner_->probeCompleted({endpoint, status, latency, {}});
    hasInput_ = true;
}

// ---- messages ---------------------------------------------------------------------------------------------

void SimulatedFleet::handleWrite(std::uint16_t id, std::string_view bytes) {
    if (writeObserver_) writeObserver_(id, bytes);
    SimulatedProxy& proxy = proxies_.at(id);
    const double lines = config_.messageOverheadLines + countLines(bytes);
    channel_.send({id, proxy.session, lines, std::string(bytes)});
    rules_.checkMessageRate(now_, id, proxy);
    rules_.checkQueue(now_, channel_.queuedLines());
}

void SimulatedFleet::deliverArrived() {
    for (SimulatedMessage& message : channel_.takeArrived(now_)) {
        const auto found = proxies_.find(message.proxy);
        if (found == proxies_.end() || found->second.session != message.session) continue;
        found->second.unread.push_back(std::move(message.text));
    }
    for (auto& [id, proxy] : proxies_) {
        if (proxy.isStalled) continue;
        for (const std::string& message : std::exchange(proxy.unread, {}))
            if (const auto barrier = proxy.apply(message, names_)) acknowledge(id, *barrier);
    }
}

void SimulatedFleet::acknowledge(std::uint16_t id, BarrierId barrier) {
    if (!updates_.barrierAcknowledged({id}, barrier))
        rules_.recordViolation(FleetRule::BarrierIsKnown, now_,
                               "a proxy acknowledged a barrier that the planner does not wait for");
    addInput([&] { planner_->barrierAcknowledged({id}, barrier); });
}

} // namespace zincstack::tests
