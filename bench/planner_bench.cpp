// Benchmark `planner`: decision time and memory of one planner with 400 proxies and 300 endpoints, in
// simulated time.
//
// A seeded schedule of inputs is passed to a planner whose sink only records its updates. The inputs don't
// depend on the system clock, so two builds that make the same decisions produce the same updates. The number
// and the checksum of the updates are printed for comparison.
#include <algorithm>
#include <bit>
#include <chrono>
#include <cstdint>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "bench.h"
#include "planner/planner.h"

namespace zincstack::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 20261202;
constexpr std::uint16_t kProxyCount = 400;
constexpr std::uint64_t kEndpointCount = 300;
constexpr std::uint64_t kReleaseSize = 30; // endpoints that a release adds, and the number that it drains
constexpr std::uint8_t kZoneCount = 3;
constexpr std::uint16_t kRequestClassCount = 3;
constexpr std::uint64_t kFailingEndpointInterval = 60; // one endpoint in 60 fails during a part of the run
constexpr std::uint16_t kProxiesPerRejoin = 4;
constexpr std::uint32_t kAttemptsPerReport = 40;
constexpr std::uint32_t kRequestsPerReport = 30;
constexpr double kExpectedRate = 90; // requests per second that a proxy announces when it joins

constexpr Micros kBatchInterval = 50ms;
constexpr Micros kReportInterval = 1s;
constexpr Micros kRejoinInterval = 5s;
constexpr Micros kFullDuration = 90s;
constexpr Micros kQuickDuration = 15s;
constexpr Micros kMeanTransitTime = 250ms;

constexpr double kLinesPerSecond = 20'000;
constexpr double kMessageOverheadLines = 6;
constexpr double kMaxQueuedLines = 60'000;

/// One recorded update: only what the channel model and the checksum need.
struct RecordedUpdate {
    enum class Kind : std::uint8_t {
        Weight,
        Table,
        Exclusion,
        Admission,
        Barrier,
        Probe,
        Subscription,
        Other
    };
    Kind kind = Kind::Other;
    std::uint16_t proxy = 0;
    std::uint16_t table = 0;
    std::uint64_t endpoint = 0;
    double value = 0;
};

/// Only records updates, so that the measured time of a decision is spent in the planner.
class RecordingSink final : public RoutingUpdateSink {
public:
    using Kind = RecordedUpdate::Kind;
    /// Avoids allocations in the sink while measuring.
    static constexpr std::size_t kReservedUpdates = 1U << 18U;

    RecordingSink() { updates.reserve(kReservedUpdates); }

    std::vector<RecordedUpdate> updates; ///< updates of the current batch
    double queuedLines = 0;              ///< lines that the channel model has not yet transmitted
    std::optional<Micros> wakeUpAfter;

    void setWeight(TableId table, EndpointId endpoint, double weight) override {
        updates.push_back({Kind::Weight, 0, table.value, endpoint.value, weight});
    }
    void assignTable(ProxyId proxy, RequestClassSet classes, TableId table) override {
        updates.push_back({Kind::Table, proxy.value, table.value, 0, static_cast<double>(classes)});
    }
    void setExcluded(EndpointId endpoint, bool excluded) override {
        updates.push_back({Kind::Exclusion, 0, 0, endpoint.value, excluded ? 1.0 : 0.0});
    }
    void setAdmission(std::optional<TableId> table, RequestClassSet, double level, RetryPolicy) override {
        updates.push_back({Kind::Admission, 0, table.value_or(TableId{}).value, 0, level});
    }
    void requestBarrier(BarrierId barrier, bool) override {
        updates.push_back({Kind::Barrier, 0, barrier.value, 0, 0});
    }
    void probe(EndpointId endpoint) override { updates.push_back({Kind::Probe, 0, 0, endpoint.value, 0}); }
    void subscribeToEndpoints() override { updates.push_back({Kind::Subscription, 0, 0, 0, 0}); }
    void scheduleWakeUp(Micros delay) override { wakeUpAfter = delay; }
    void report(const PlannerEvent&) override {}
    bool forgetEndpoint(EndpointId) override { return true; }
    std::optional<double> pendingLines() const override { return queuedLines; }
    bool supportsReassignment(ProxyId) const override { return true; }
};

/// Model of the control channel: one queue of messages to proxies, drained at a fixed rate. A proxy
/// acknowledges a message kMeanTransitTime after its last line was sent.
class ChannelModel {
public:
    struct Message {
        std::uint16_t proxy = 0;
        std::uint16_t barrier = 0;
        double lines = 0;
        Micros acknowledgedAt{};
    };

    ChannelModel() : unclosedLines_(kProxyCount, 0), tableOf_(kProxyCount) {
        messages_.reserve(kReservedMessages);
    }

    double queuedLines() const { return queuedLines_; }
    void forgetProxy(std::uint16_t proxy) {
        tableOf_[proxy].reset();
        unclosedLines_[proxy] = 0;
    }
    /// Adds the updates of a batch to the messages of the proxies concerned. A message enters the queue when
    /// a barrier closes it.
    void enqueue(std::span<const RecordedUpdate> updates) {
        for (const RecordedUpdate& update : updates) enqueueOne(update);
    }
    /// Sends as many lines as the channel carries in one batch interval.
    void transmit(Micros now) {
        double budget = kLinesPerSecond * std::chrono::duration<double>(kBatchInterval).count();
        while (nextToSend_ < messages_.size() && budget > 0) {
            Message& message = messages_[nextToSend_];
            const double sent = std::min(budget, message.lines);
            budget -= sent;
            message.lines -= sent;
            queuedLines_ -= sent;
            if (message.lines > 0) return;
            message.acknowledgedAt = now + kMeanTransitTime;
            ++nextToSend_;
        }
    }
    /// Returns the next message that has been acknowledged by `now`, or nullptr if there is none.
    const Message* takeAcknowledged(Micros now) {
        if (nextToAcknowledge_ >= nextToSend_) return nullptr;
        const Message& message = messages_[nextToAcknowledge_];
        if (message.acknowledgedAt > now) return nullptr;
        ++nextToAcknowledge_;
        return &message;
    }

private:
    using Kind = RecordedUpdate::Kind;
    /// Avoids allocations in the model while measuring.
    static constexpr std::size_t kReservedMessages = 1U << 20U;
    static constexpr double kLinesPerAssignment = 40; // a bootstrap table, or a part of a full table

    void enqueueOne(const RecordedUpdate& update) {
        switch (update.kind) {
        case Kind::Weight: return addToTable(update.table);
        case Kind::Table:
            tableOf_[update.proxy] = update.table;
            return addLines(update.proxy, kLinesPerAssignment);
        case Kind::Exclusion:
        case Kind::Admission:
            for (std::uint16_t proxy = 0; proxy < kProxyCount; ++proxy) addLines(proxy, 1);
            return;
        case Kind::Barrier: return closeMessages(update.table);
        default: return;
        }
    }
    void addToTable(std::uint16_t table) {
        for (std::uint16_t proxy = 0; proxy < kProxyCount; ++proxy)
            if (tableOf_[proxy] == table) addLines(proxy, 1);
    }
    void addLines(std::uint16_t proxy, double lines) { unclosedLines_[proxy] += lines; }
    void closeMessages(std::uint16_t barrier) {
        for (std::uint16_t proxy = 0; proxy < kProxyCount; ++proxy) {
            if (unclosedLines_[proxy] <= 0) continue;
            const double lines = unclosedLines_[proxy] + kMessageOverheadLines;
            messages_.push_back({proxy, barrier, lines, Micros{}});
            queuedLines_ += lines;
            unclosedLines_[proxy] = 0;
        }
    }

    std::vector<double> unclosedLines_; // by proxy: lines of its message that no barrier has closed yet
    std::vector<std::optional<std::uint16_t>> tableOf_;
    std::vector<Message> messages_;
    std::size_t nextToSend_ = 0;
    std::size_t nextToAcknowledge_ = 0;
    double queuedLines_ = 0;
};

/// FNV-1a over the updates in their order.
class UpdateChecksum {
public:
    void add(const RecordedUpdate& update) {
        mix(static_cast<std::uint64_t>(update.kind));
        mix(update.proxy);
        mix(update.table);
        mix(update.endpoint);
        mix(std::bit_cast<std::uint64_t>(update.value));
    }
    std::uint64_t value() const { return value_; }

private:
    static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
    static constexpr std::uint64_t kPrime = 0x100000001b3;
    void mix(std::uint64_t number) { value_ = (value_ ^ number) * kPrime; }

    std::uint64_t value_ = kOffsetBasis;
};

std::uint8_t zoneOf(std::uint64_t number) { return static_cast<std::uint8_t>(number % kZoneCount); }

/// Proxies with an odd number, half of them, join with a full table from an earlier planner.
bool hasOnlyBootstrapTable(std::uint16_t proxy) { return proxy % 2 == 0; }

/// Runs the schedule: reports each second, failing endpoints, a release, and proxies that leave and rejoin.
class PlannerRun {
public:
    explicit PlannerRun(Micros duration) : end_(kStart + duration), random_(kSeed) {
        decisionMicros_.reserve(static_cast<std::size_t>(duration / kBatchInterval) + 1);
        for (std::uint64_t id = 0; id < kEndpointCount; ++id) addEndpoint(id, Micros{});
        probed_.reserve(kEndpointCount + kReleaseSize);
        acknowledged_.reserve(1U << 16U);
        const std::size_t before = heapBytes();
        planner_ = makePlanner(
            {kSeed, fleetConfig(), proxyFleetConfig(), channelLimits(), safetyLimits(), requestClasses()},
            sink_);
        plannerBytes_ += static_cast<std::int64_t>(heapBytes() - before);
    }

    nlohmann::ordered_json run() {
        for (; now_ < end_; now_ += kBatchInterval) {
            channel_.transmit(now_);
            prepareInputs();
            runBatch();
            recordUpdates();
        }
        return figures();
    }

private:
    static constexpr Micros kStart = 1000s;

    static FleetConfig fleetConfig() {
        FleetConfig config;
        config.zoneCount = kZoneCount;
        config.plannerCount = 1;
        config.hasEndpointWeights = true;
        config.probingAllowed = true;
        config.reportInterval = kReportInterval;
        return config;
    }
    static ProxyFleetConfig proxyFleetConfig() { return {kProxyCount, 6, ThrottleMode::Rate}; }
    static ControlChannelLimits channelLimits() {
        return {kLinesPerSecond, kMessageOverheadLines, kMaxQueuedLines, 0, 10s, kMeanTransitTime, 600ms};
    }
    static SafetyLimits safetyLimits() { return {14'700ms, 10'100ms, 0.2, 16s, 4, 3s, true}; }
    static const std::vector<RequestClassConfig>& requestClasses() {
        static const std::vector<RequestClassConfig> kClasses{
            {1s, 3s, 3, 0.1, Idempotency::Idempotent, false, false},
            {1s, 4s, 2, 0.1, Idempotency::IdempotencyKeyed, false, true},
            {1s, 2s, 3, 0.1, Idempotency::NonIdempotent, false, true}};
        return kClasses;
    }

    // ---- schedule -----------------------------------------------------------------------------------------

    /// The time after the given fraction of the run, rounded down to the start of a batch.
    Micros timeAt(double fraction) const {
        const double span = fraction * static_cast<double>((end_ - kStart).count());
        const Micros exact{static_cast<std::int64_t>(span)};
        return kStart + exact / kBatchInterval * kBatchInterval;
    }
    bool endpointsFail() const { return now_ >= timeAt(0.3) && now_ < timeAt(0.5); }
    bool fails(EndpointId endpoint) const {
        return endpointsFail() && endpoint.value % kFailingEndpointInterval == 7;
    }

    void addEndpoint(std::uint64_t id, Micros startedAt) {
        endpoints_.push_back({{id}, EndpointState::Ready, startedAt, 1, {0}, {zoneOf(id)}});
    }
    /// Creates the inputs of this batch in advance, so that only the planner's work is measured.
    void prepareInputs() {
        loadReports_.clear();
        demandReports_.clear();
        changes_.clear();
        joining_.clear();
        leaving_.clear();
        joinOrLeave();
        if (now_ == timeAt(0.4)) startRelease();
        if (now_ == timeAt(0.5)) drainReleased(EndpointState::Draining);
        if (now_ == timeAt(0.8)) drainReleased(EndpointState::Removed);
        if ((now_ - kStart) % kReportInterval == Micros{} && now_ > kStart) makeReports();
    }
    void joinOrLeave() {
        for (std::uint16_t proxy = 0; proxy < kProxyCount && now_ == kStart; ++proxy)
            joining_.push_back(proxy);
        if (now_ == kStart) return;
        joining_.swap(rejoining_);
        if ((now_ - kStart) % kRejoinInterval != Micros{}) return;
        for (std::uint16_t count = 0; count < kProxiesPerRejoin; ++count) {
            const auto proxy = static_cast<std::uint16_t>(random_() % kProxyCount);
            if (std::ranges::count(leaving_, proxy) == 0) leaving_.push_back(proxy);
        }
        rejoining_ = leaving_;
        for (const std::uint16_t proxy : leaving_) channel_.forgetProxy(proxy);
    }
    void startRelease() {
        for (std::uint64_t id = kEndpointCount; id < kEndpointCount + kReleaseSize; ++id) {
            addEndpoint(id, now_);
            changes_.push_back(endpoints_.back());
        }
    }
    void drainReleased(EndpointState state) {
        for (std::uint64_t id = 0; id < kReleaseSize; ++id) {
            endpoints_[id].state = state;
            changes_.push_back(endpoints_[id]);
        }
    }
    void makeReports() {
        for (const EndpointUpdate& endpoint : endpoints_)
            for (std::uint8_t zone = 0; zone < kZoneCount && endpoint.state == EndpointState::Ready; ++zone)
                loadReports_.push_back(loadReport(endpoint.id, {zone}));
        for (std::uint16_t proxy = 0; proxy < kProxyCount; ++proxy)
            for (std::uint16_t requestClass = 0; requestClass < kRequestClassCount; ++requestClass)
                demandReports_.push_back({{proxy}, {requestClass}, kRequestsPerReport, 0, kReportInterval});
    }
    EndpointLoadReport loadReport(EndpointId endpoint, ZoneId proxyZone) {
        const auto attempts = static_cast<std::uint32_t>(kAttemptsPerReport + random_() % 10);
        EndpointLoadReport report;
        report.endpoint = endpoint;
        report.proxyZone = proxyZone;
        report.attempts = attempts;
        report.failures = fails(endpoint) ? attempts * 4 / 5 : 0;
        report.meanLatency = 80ms + Micros(static_cast<std::int64_t>(random_() % 40'000));
        report.interval = kReportInterval;
        return report;
    }

    // ---- batches ------------------------------------------------------------------------------------------

    /// Between the two readings of heapBytes() only the planner allocates, so the difference is its own
    /// memory.
    void runBatch() {
        collectAcknowledged();
        const std::size_t before = heapBytes();
        planner_->beginBatch(now_);
        passInputs();
        const auto started = std::chrono::steady_clock::now();
        planner_->decide();
        const auto ended = std::chrono::steady_clock::now();
        plannerBytes_ += static_cast<std::int64_t>(heapBytes()) - static_cast<std::int64_t>(before);
        peakBytes_ = std::max(peakBytes_, plannerBytes_);
        decisionMicros_.push_back(std::chrono::duration<double, std::micro>(ended - started).count());
    }
    void collectAcknowledged() {
        acknowledged_.clear();
        while (const auto* message = channel_.takeAcknowledged(now_)) acknowledged_.push_back(*message);
    }
    void passInputs() {
        if (now_ == kStart) planner_->updateEndpoints(EndpointListUpdate::Snapshot, endpoints_);
        if (!changes_.empty()) planner_->updateEndpoints(EndpointListUpdate::Delta, changes_);
        for (const std::uint16_t proxy : leaving_) planner_->proxyLeft({proxy});
        for (const std::uint16_t proxy : joining_)
            planner_->proxyJoined({proxy}, {zoneOf(proxy)}, kExpectedRate, hasOnlyBootstrapTable(proxy));
        for (const auto& report : loadReports_) planner_->reportLoad(report);
        for (const auto& report : demandReports_) planner_->reportDemand(report);
        for (const auto& message : acknowledged_)
            planner_->barrierAcknowledged({message.proxy}, {message.barrier});
        for (const EndpointId endpoint : probed_) planner_->probeCompleted(probeResult(endpoint));
        if (wakeUpAt_ && *wakeUpAt_ <= now_) {
            wakeUpAt_.reset();
            planner_->timerExpired();
        }
    }
    ProbeResult probeResult(EndpointId endpoint) const {
        ProbeResult result;
        result.endpoint = endpoint;
        result.status = fails(endpoint) ? ProbeStatus::Error : ProbeStatus::Answered;
        result.latency = 5ms;
        return result;
    }
    void recordUpdates() {
        probed_.clear();
        for (const RecordedUpdate& update : sink_.updates) {
            checksum_.add(update);
            if (update.kind == RecordedUpdate::Kind::Probe) probed_.push_back({update.endpoint});
        }
        updateCount_ += sink_.updates.size();
        channel_.enqueue(sink_.updates);
        sink_.updates.clear();
        sink_.queuedLines = channel_.queuedLines();
        if (sink_.wakeUpAfter) wakeUpAt_ = now_ + *sink_.wakeUpAfter;
        sink_.wakeUpAfter.reset();
    }

    nlohmann::ordered_json figures() const {
        const double total = std::accumulate(decisionMicros_.begin(), decisionMicros_.end(), 0.0);
        nlohmann::ordered_json figures;
        figures["proxies"] = kProxyCount;
        figures["endpoints"] = kEndpointCount;
        figures["batches"] = decisionMicros_.size();
        figures["updates"] = updateCount_;
        figures["updates_checksum"] = checksum_.value();
        figures["decision_mean_us"] = total / static_cast<double>(decisionMicros_.size());
        figures["decision_p50_us"] = percentile(decisionMicros_, 50);
        figures["decision_p99_us"] = percentile(decisionMicros_, 99);
        figures["decision_max_us"] = *std::ranges::max_element(decisionMicros_);
        figures["peak_bytes"] = peakBytes_; // largest heap use of the planner after any batch
        return figures;
    }

    const Micros end_;
    std::mt19937_64 random_;
    Micros now_ = kStart;
    RecordingSink sink_;
    ChannelModel channel_;
    std::unique_ptr<Planner> planner_;
    std::optional<Micros> wakeUpAt_;

    std::vector<EndpointUpdate> endpoints_;
    std::vector<EndpointUpdate> changes_; // inputs of the current batch, like the six members below
    std::vector<EndpointLoadReport> loadReports_;
    std::vector<DemandReport> demandReports_;
    std::vector<std::uint16_t> joining_;
    std::vector<std::uint16_t> leaving_;
    std::vector<ChannelModel::Message> acknowledged_;
    std::vector<EndpointId> probed_;
    std::vector<std::uint16_t> rejoining_; // proxies that join in the next batch

    std::vector<double> decisionMicros_;
    std::int64_t plannerBytes_ = 0;
    std::int64_t peakBytes_ = 0;
    std::size_t updateCount_ = 0;
    UpdateChecksum checksum_;
};

} // namespace

nlohmann::ordered_json planner(bool quick) {
    return PlannerRun(quick ? kQuickDuration : kFullDuration).run();
}

} // namespace zincstack::bench
