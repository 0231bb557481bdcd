// Recorded days of the planner's decisions: every routing update with its arguments, in order.
#include <algorithm>

#include "digest_days.h"
#include "proxy_model.h"

namespace zincstack::tests {

namespace {

constexpr int kDaySeconds = 40;
constexpr int kLongDaySeconds = 100; // longer than the minute for which a reduced weight is kept
constexpr std::uint64_t kLongDaySeedInterval = 10;
constexpr std::uint64_t kFirstLateEndpointId = 100; // first id of endpoints that start during the day

/// The state of the fleet that load reports and probe results show for a few seconds.
enum class Condition { Healthy, FewFail, FewAreSlow, FewAreSilent, AllAreSlow, MostFail };

/// A model of proxies and their channel that records each routing update that it receives. The names in
/// recorded events are part of the stored checksums, so they do not follow renames in the code.
class RecordingModel : public ProxyModel {
public:
    RecordedDay day;
    bool measuresQueue = false; ///< pendingLines() reports the queue, so the planner uses subset tables
    std::size_t fullTables = 0; ///< number of full tables; those with ids from this on are subset tables

    void setWeight(TableId table, EndpointId endpoint, double weight) override {
        countLine(table, endpoint, weight);
        record("setLine",
               {{"table", number(table)}, {"server", number(endpoint)}, {"weight", exactText(weight)}});
        ProxyModel::setWeight(table, endpoint, weight);
    }
    void assignTable(ProxyId proxy, RequestClassSet set, TableId table) override {
        if (isSubset(table)) ++day.coverage["subset table assigned"];
        record("bind",
               {{"proxy", number(proxy)}, {"products", std::to_string(set)}, {"table", number(table)}});
        ProxyModel::assignTable(proxy, set, table);
    }
    void setExcluded(EndpointId endpoint, bool isExcluded) override {
        record("withdraw", {{"server", number(endpoint)}, {"out", std::to_string(isExcluded)}});
        ++day.coverage[isExcluded ? "endpoint excluded" : "endpoint readmitted"];
        ProxyModel::setExcluded(endpoint, isExcluded);
    }
    void setAdmission(std::optional<TableId> table, RequestClassSet set, double limit,
                      RetryPolicy retryPolicy) override {
        record("admit", {{"table", table ? number(*table) : "all"},
                         {"products", std::to_string(set)},
                         {"level", exactText(limit)},
                         {"tries", std::to_string(static_cast<int>(retryPolicy))}});
        ProxyModel::setAdmission(table, set, limit, retryPolicy);
    }
    void requestBarrier(BarrierId barrier, bool everyProxy) override {
        record("mark", {{"number", number(barrier)}, {"everyProxy", std::to_string(everyProxy)}});
        ProxyModel::requestBarrier(barrier, everyProxy);
    }
    void probe(EndpointId endpoint) override {
        record("probe", {{"server", number(endpoint)}});
        ProxyModel::probe(endpoint);
    }
    void subscribeToEndpoints() override {
        record("followList", {});
        ProxyModel::subscribeToEndpoints();
    }
    void scheduleWakeUp(Micros span) override {
        record("wakeAfter", {{"span", std::to_string(span.count())}});
        ProxyModel::scheduleWakeUp(span);
    }
    bool forgetEndpoint(EndpointId endpoint) override {
        const bool done = ProxyModel::forgetEndpoint(endpoint);
        record("forget", {{"server", number(endpoint)}, {"done", std::to_string(done)}});
        return done;
    }
    bool clearStaleExclusions(ProxyId proxy, std::size_t maxEndpoints) override {
        const bool done = ProxyModel::clearStaleExclusions(proxy, maxEndpoints);
        record("letBack", {{"proxy", number(proxy)},
                           {"most", std::to_string(maxEndpoints)},
                           {"done", std::to_string(done)}});
        return done;
    }
    /// Counts the event by name as coverage. It is not recorded, because a log event is not a routing update.
    void report(const PlannerEvent& event) override {
        ++day.coverage["event: " + std::string(eventName(event))];
    }
    std::optional<double> pendingLines() const override {
        if (!measuresQueue) return {};
        double waiting = 0;
        for (const Message& message : queue) waiting += message.lines;
        return waiting;
    }
    bool needsBarrier() const override {
        constexpr Micros kBarrierInterval = 1850ms;
        constexpr Micros kBarrierDuration = 50ms;
        return measuresQueue && now % kBarrierInterval < kBarrierDuration;
    }
    bool supportsReassignment(ProxyId) const override { return measuresQueue; }

private:
    static std::string number(const auto& id) { return std::to_string(id.value); }
    bool isSubset(TableId table) const { return table.value >= fullTables; }
    void record(std::string_view order,
                std::initializer_list<std::pair<std::string_view, std::string>> values) {
        ++day.coverage[std::string(order)];
        day.events.push_back(eventText(now, order, values));
    }
    void countLine(TableId table, EndpointId endpoint, double weight) {
        if (isSubset(table)) ++day.coverage["subset table line"];
        const auto before = tables[table].find(endpoint);
        const bool lowered = before != tables[table].end() && weight > 0 && weight < before->second;
        if (lowered && listed[endpoint].entry.startedAt == 0us) ++day.coverage["warm endpoint lowered"];
    }
};

/// Plays one day: random changes of endpoints, proxies, load and channel on a RecordingModel.
class DecisionsDay {
public:
    explicit DecisionsDay(std::uint64_t seed)
        : seconds_(seed % kLongDaySeedInterval == 0 ? kLongDaySeconds : kDaySeconds), numbers_(seed) {
        chooseSettings(seed);
        addEndpoints();
        model_.start(seed);
        const auto proxies = numbers_.between(4, 24);
        for (std::uint16_t proxy = 0; proxy < proxies; ++proxy) join(proxy);
    }
    RecordedDay play() {
        for (int second = 0; second < seconds_; ++second) {
            if (second == conditionChangesAt_) changeCondition(second);
            if (numbers_.chance(0.5)) performRandomStep();
            advanceRandomTime();
            if (numbers_.chance(0.9)) report();
            advanceRandomTime();
            if (numbers_.chance(0.85)) completeProbes();
        }
        return std::move(model_.day);
    }

private:
    void chooseSettings(std::uint64_t seed) {
        model_.checksRules = false;
        model_.measuresQueue = seed % 2 == 1;
        model_.forgetsEndpoints = numbers_.chance(0.5);
        model_.sendsExclusionsOnce = numbers_.chance(0.5);
        model_.fleet.zoneCount = static_cast<std::uint8_t>(numbers_.between(1, 3));
        model_.fleet.hasEndpointWeights = numbers_.chance(0.7);
        model_.fleet.mustSubscribeToEndpoints = numbers_.chance(0.2);
        model_.fleet.probingAllowed = numbers_.chance(0.9);
        model_.proxyFleet.throttleMode =
            numbers_.oneOf({ThrottleMode::None, ThrottleMode::Fraction, ThrottleMode::Rate});
        model_.proxyFleet.bootstrapTableSize = static_cast<std::uint32_t>(numbers_.between(2, 6));
        model_.channel.maxMessagesPerProxy = numbers_.oneOf({0U, 0U, 6U, 30U});
        model_.channel.linesPerSecond = numbers_.oneOf({400.0, 4000.0, 7000.0});
        model_.channel.maxQueuedLines = numbers_.oneOf({500.0, 4000.0, 20000.0});
        model_.safety.removalIsBinding = numbers_.chance(0.7);
        for (RequestClassConfig& requestClass : model_.requestClasses)
            requestClass.zoneLocal = numbers_.chance(0.25);
        model_.fullTables = countFullTables();
        hasBusyZone_ = numbers_.chance(0.4);
    }
    /// The number of the planner's full tables. For each zone it has one table for all zone-local request
    /// classes and one for all others, if there are such classes.
    std::size_t countFullTables() const {
        std::size_t groups = 0;
        for (const bool isZoneLocal : {false, true})
            groups +=
                std::ranges::count(model_.requestClasses, isZoneLocal, &RequestClassConfig::zoneLocal) > 0;
        return groups * model_.fleet.zoneCount;
    }
    std::uint8_t zoneOf(std::uint64_t id) const {
        return static_cast<std::uint8_t>(id % model_.fleet.zoneCount);
    }
    void addEndpoints() {
        const auto count = numbers_.between(4, 30);
        for (std::uint64_t id = 0; id < count; ++id) {
            model_.addEndpoint(id, static_cast<double>(numbers_.between(1, 3)), zoneOf(id));
            if (numbers_.chance(0.1)) model_.listed[{id}].entry.startedAt = model_.now - anyMicros(20s);
        }
    }
    Micros anyMicros(Micros end) {
        return Micros(static_cast<std::int64_t>(numbers_.below(static_cast<std::uint64_t>(end.count()))));
    }
    double rateOf(std::uint16_t proxy) const { return hasBusyZone_ && zoneOf(proxy) == 0 ? 90 : 8 + proxy; }
    /// Joins a proxy that holds a few endpoints or almost all of them, as from the full table of an earlier
    /// planner.
    void join(std::uint16_t proxy) {
        const bool hasFullTable = numbers_.chance(0.3);
        std::set<EndpointId> heldEndpoints;
        for (const auto& [id, endpoint] : model_.listed)
            if (endpoint.entry.state != EndpointState::Removed && numbers_.chance(hasFullTable ? 0.95 : 0.2))
                heldEndpoints.insert(id);
        model_.join(proxy, zoneOf(proxy), rateOf(proxy), std::move(heldEndpoints));
    }
    EndpointId anyEndpoint() {
        return std::next(model_.listed.begin(),
                         static_cast<std::ptrdiff_t>(numbers_.below(model_.listed.size())))
            ->first;
    }

    void performRandomStep() {
        switch (numbers_.below(14)) {
        case 0:
        case 1: model_.updateEndpoint(anyEndpoint().value, EndpointState::Draining); break;
        case 2: model_.updateEndpoint(anyEndpoint().value, EndpointState::Removed); break;
        case 3: model_.updateEndpoint(anyEndpoint().value, EndpointState::Ready); break;
        case 4: restartAnyEndpoint(); break;
        case 5:
        case 6:
        case 7: startEndpoints(); break;
        case 8: leaveOrJoin(); break;
        case 9: join(static_cast<std::uint16_t>(numbers_.below(24))); break;
        case 10: release(); break;
        case 11: sendCompleteList(); break;
        case 12: model_.slowdown = numbers_.chance(0.5) ? 1 : 1 + 4 * numbers_.fraction(); break;
        default:
            if (numbers_.chance(0.4)) model_.restart(numbers_.below(1000));
        }
    }
    void restartAnyEndpoint() {
        // Drawn before the endpoint, in a statement of its own: the order in which the arguments of a call
        // are evaluated is unspecified.
        const Micros startedAt = model_.now - anyMicros(12s);
        model_.updateEndpoint(anyEndpoint().value, EndpointState::Ready, startedAt);
    }
    void startEndpoints() {
        for (auto count = numbers_.between(1, 4); count > 0; --count) {
            const std::uint64_t id = nextEndpoint_++;
            EndpointUpdate& entry = model_.listed[{id}].entry;
            entry.weight = static_cast<double>(numbers_.between(1, 3));
            entry.zone = {zoneOf(id)};
            model_.updateEndpoint(id, EndpointState::Ready,
                                  numbers_.chance(0.5) ? 0us : model_.now - anyMicros(2s));
        }
    }
    /// A release: some endpoints drain while others start.
    void release() {
        for (auto count = numbers_.between(1, 5); count > 0; --count)
            model_.updateEndpoint(anyEndpoint().value, EndpointState::Draining);
        startEndpoints();
    }
    void leaveOrJoin() {
        const auto proxy = static_cast<std::uint16_t>(numbers_.below(24));
        if (model_.proxies.contains({proxy}))
            model_.leave(proxy);
        else
            join(proxy);
    }
    void sendCompleteList() {
        const auto update = numbers_.oneOf({EndpointListUpdate::Cached, EndpointListUpdate::Snapshot,
                                            EndpointListUpdate::Snapshot, EndpointListUpdate::PollFailed});
        std::vector<EndpointUpdate> entries;
        for (auto& [id, endpoint] : model_.listed) {
            const bool isListed = endpoint.entry.state != EndpointState::Removed && !numbers_.chance(0.03);
            if (!isListed) endpoint.entry.state = EndpointState::Removed;
            if (isListed && update != EndpointListUpdate::PollFailed) entries.push_back(endpoint.entry);
        }
        model_.batch([&] { model_.planner->updateEndpoints(update, entries); });
    }

    void changeCondition(int second) {
        condition_ =
            numbers_.oneOf({Condition::Healthy, Condition::Healthy, Condition::FewFail, Condition::FewFail,
                            Condition::FewAreSlow, Condition::FewAreSlow, Condition::FewAreSilent,
                            Condition::AllAreSlow, Condition::AllAreSlow, Condition::MostFail});
        affected_.clear();
        for (auto count = numbers_.between(1, 4); count > 0; --count) affected_.insert(anyEndpoint());
        conditionChangesAt_ = second + static_cast<int>(numbers_.between(3, 9));
    }
    bool isAffected(EndpointId endpoint) const {
        const bool all = condition_ == Condition::AllAreSlow || condition_ == Condition::MostFail;
        return condition_ != Condition::Healthy && (all || affected_.contains(endpoint));
    }
    double failureRatio(EndpointId endpoint) {
        if (!isAffected(endpoint)) return numbers_.chance(0.1) ? 0.1 : 0;
        if (condition_ == Condition::FewFail) return numbers_.oneOf({0.6, 0.8, 1.0});
        if (condition_ == Condition::MostFail) return 0.3 + 0.7 * numbers_.fraction();
        return 0.2 * numbers_.fraction();
    }
    Micros latencyOf(EndpointId endpoint) {
        const bool isSlow = isAffected(endpoint) && condition_ != Condition::FewFail;
        return isSlow ? 900ms + anyMicros(2s) : 50ms + anyMicros(200ms);
    }
    /// Sends the reports of one second: load reports by zone and endpoint, and demand reports by proxy and
    /// request class.
    void report() {
        double rate = 0;
        for (const auto& [id, proxy] : model_.proxies) rate += rateOf(id.value);
        const double lines = static_cast<double>(model_.listed.size()) * model_.fleet.zoneCount;
        const auto attempts = static_cast<std::uint32_t>(rate * (0.7 + numbers_.fraction()) / lines) + 3;
        model_.batch([&] {
            for (const auto& [id, endpoint] : model_.listed)
                if (endpoint.entry.state == EndpointState::Ready && !model_.excluded.contains(id))
                    reportEndpoint(id, attempts);
            for (const auto& [id, proxy] : model_.proxies) reportProxyDemand(id);
        });
    }
    void reportEndpoint(EndpointId endpoint, std::uint32_t attempts) {
        if (condition_ == Condition::FewAreSilent && isAffected(endpoint)) return;
        for (std::uint8_t zone = 0; zone < model_.fleet.zoneCount; ++zone) {
            EndpointLoadReport report{
                .endpoint = endpoint, .proxyZone = {zone}, .attempts = attempts, .interval = 1s, .load = {}};
            report.failures = static_cast<std::uint32_t>(attempts * failureRatio(endpoint));
            if (report.failures < attempts) report.meanLatency = latencyOf(endpoint);
            if (numbers_.chance(0.5))
                report.load.inFlight = isAffected(endpoint) ? 40 : 5 * numbers_.fraction();
            if (numbers_.chance(0.2)) report.load.queueLength = 10 * numbers_.fraction();
            model_.planner->reportLoad(report);
        }
    }
    void reportProxyDemand(ProxyId proxy) {
        for (std::uint16_t requestClass = 0; requestClass < model_.requestClasses.size(); ++requestClass) {
            const double ratePerClass =
                rateOf(proxy.value) / static_cast<double>(model_.requestClasses.size());
            const auto requests =
                static_cast<std::uint32_t>(ratePerClass * (0.8 + 0.4 * numbers_.fraction()));
            model_.planner->reportDemand({proxy, {requestClass}, requests, requests / 10, 1s});
        }
    }
    void completeProbes() {
        const auto outstanding = std::exchange(model_.probes, {});
        model_.batch([&] {
            for (const EndpointId endpoint : outstanding)
                model_.planner->probeCompleted(probeResult(endpoint));
        });
    }
    ProbeResult probeResult(EndpointId endpoint) {
        ProbeResult result{.endpoint = endpoint, .status = ProbeStatus::Answered, .latency = 5ms, .load = {}};
        if (isAffected(endpoint))
            result.status = static_cast<ProbeStatus>(numbers_.below(6));
        else if (numbers_.chance(0.1))
            result.status = ProbeStatus::TimedOut;
        if (numbers_.chance(0.2)) result.latency = 400ms + anyMicros(1s);
        if (numbers_.chance(0.3)) result.load.inFlight = 40 * numbers_.fraction();
        return result;
    }
    void advanceRandomTime() { model_.advance(50ms * static_cast<std::int64_t>(numbers_.between(4, 16))); }

    const int seconds_;
    SeededNumbers numbers_;
    RecordingModel model_;
    Condition condition_ = Condition::Healthy;
    std::set<EndpointId> affected_;
    int conditionChangesAt_ = 3;
    bool hasBusyZone_ = false; // zone 0 has most of the traffic, more than its endpoints can serve
    std::uint64_t nextEndpoint_ = kFirstLateEndpointId;
};

} // namespace

RecordedDay playDecisionsDay(std::uint64_t seed) { return DecisionsDay(seed).play(); }

} // namespace zincstack::tests
