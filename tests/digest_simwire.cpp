// Recorded days of the simulator's protocol: the records of each reply, except log lines.
#include <cstring>
#include <set>

#include "digest_days.h"
#include "simwire/host.h"
#include "wire_bytes.h"

namespace zincstack::tests {

namespace {

constexpr int kBatchCount = 40;
constexpr std::uint16_t kProxyCount = 10;
constexpr std::uint8_t kZoneCount = 2;
constexpr std::size_t kReplyLengthBytes = 4;
constexpr std::uint8_t kUnknownEventCodes[] = {0, 16, 77, 255};

/// Event codes of the simulator's protocol.
enum class Event : std::uint8_t {
    DemandReport = 1,
    RangeHeld = 2,
    TimerExpired = 3,
    ProxyLeft = 4,
    BarrierAcknowledged = 5,
    RangeLeased = 6,
    OpenInstance = 7,
    ProxyJoined = 8,
    CloseInstance = 9,
    EndpointList = 10,
    RangeLoad = 11,
    ProbeCompleted = 12,
    EndpointUpdate = 13,
    LoadReport = 14,
    PeerMessage = 15,
};

/// Codes of the actions that the day answers, and of the one that it does not record (Log).
enum class Action : std::uint8_t { ScheduleWakeUp = 3, Log = 5, Probe = 11, RequestBarrier = 12 };

/// An endpoint as encoded on the wire.
struct WireEndpoint {
    std::uint32_t address;
    std::uint16_t port;
};

template <class T>
T valueAt(std::span<const std::byte> bytes, std::size_t offset) {
    T value{};
    std::memcpy(&value, bytes.subspan(offset, sizeof value).data(), sizeof value);
    return value;
}

std::string settingsText(SeededNumbers& numbers) {
    std::string text = "Balancers=2\nClasses.count=3\nContract.ColdS=16.0\nContract.DrainGraceS=2.0\n"
                       "Contract.FallMultiple=4.0\nContract.OverloadForS=3.0\nContract.StartCapacity=0.2\n"
                       "Extra.BlackholeS=3.0\nExtra.DataPlaneSize=10\nExtra.EgressPerS=7000.0\n"
                       "Extra.Envelope=6.0\nExtra.PeriodS=1.0\nExtra.PushDelayS=0.2\nExtra.QueueCap=14000.0\n"
                       "Extra.Standing=3\nExtra.WorstTransitS=0.5\nReporting.Columns=inflight,q,busy\n"
                       "WeightKind=rough\nZones=a,b\n";
    constexpr std::string_view kEffects[] = {"retryable", "dedup", "fragile"};
    for (int requestClass = 0; requestClass < 3; ++requestClass) {
        const std::string path = "Classes." + std::to_string(requestClass) + ".";
        text += path + "AimS=1.0\n" + path + "DeadlineS=3.0\n";
        text += path + "Effect=" + std::string(kEffects[requestClass]) + "\n";
        text += path + "Worth=" + std::to_string(3 - requestClass) + ".0\n";
    }
    text += numbers.chance(0.8) ? "Allowed.MayProbe=true\n" : "Allowed.MayProbe=false\n";
    text += numbers.chance(0.5) ? "Discovery=automatic\n" : "Discovery=subscribe\n";
    text += numbers.chance(0.3) ? "Contract.OnlyDrainingBinds=true\n" : "";
    text += numbers.chance(0.5) ? "Extra.ZoneBound=false,true,false\n" : "";
    text += "Extra.ThrottleBy=" + numbers.oneOf<std::string>({"ratio", "rps", "none"}) + "\n";
    text += numbers.chance(0.3) ? "Extra.UpdateCap=20\nExtra.UpdateWindowS=10.0\n" : "";
    return text;
}

/// Plays one day: batches of random events, some of them unknown, to one to three planner instances.
class SimwireDay {
public:
    explicit SimwireDay(std::uint64_t seed) : numbers_(seed), endpointCount_(numbers_.between(4, 16)) {
        endpointStates_.assign(endpointCount_, std::uint8_t{1});
    }
    RecordedDay play() {
        for (std::uint32_t instance = 1; instance <= numbers_.between(1, 3); ++instance)
            openInstance(instance);
        playBatch();
        for (int batch = 0; batch < kBatchCount; ++batch) {
            answerActions();
            if (numbers_.chance(0.6)) sendReports();
            if (numbers_.chance(0.6)) performRandomStep();
            playBatch();
        }
        return std::move(day_);
    }

private:
    void put(Event event, const Bytes& fields) { putCode(static_cast<std::uint8_t>(event), fields); }
    void putCode(std::uint8_t code, const Bytes& fields) {
        body_.record(code, fields);
        ++recordCount_;
        ++day_.coverage["event code " + std::to_string(code)];
    }
    void playBatch() {
        const simwire::BatchHeader header{recordCount_, static_cast<std::uint32_t>(body_.bytes.size()), now_};
        recordReply(host_.processBatch(header, body_.bytes));
        body_ = {};
        recordCount_ = 0;
        now_ += Micros(static_cast<std::int64_t>(numbers_.between(20, 900)) * 1000);
    }
    void recordReply(std::span<const std::byte> reply) {
        constexpr std::size_t kHeader = simwire::kRecordHeaderBytes;
        for (std::size_t at = kReplyLengthBytes; at < reply.size();) {
            const auto code = valueAt<std::uint8_t>(reply, at);
            const auto size = valueAt<std::uint32_t>(reply, at + 1);
            recordAction(code, reply.subspan(at + kHeader, size));
            at += kHeader + size;
        }
    }
    void recordAction(std::uint8_t code, std::span<const std::byte> fields) {
        if (code == static_cast<std::uint8_t>(Action::Log)) return;
        ++day_.coverage["action code " + std::to_string(code)];
        const std::string bytes(reinterpret_cast<const char*>(fields.data()), fields.size());
        day_.events.push_back(
            eventText(now_, "action", {{"code", std::to_string(code)}, {"bytes", hexText(bytes)}}));
        actions_.emplace_back(static_cast<Action>(code), std::vector(fields.begin(), fields.end()));
    }
    /// Answers the actions of the last reply in the next batch: timers expire, most barriers are acknowledged
    /// and most probes complete.
    void answerActions() {
        for (const auto& [action, fields] : std::exchange(actions_, {})) {
            const auto instance = valueAt<std::uint32_t>(fields, 0);
            if (!joined_.contains(instance)) continue;
            if (action == Action::ScheduleWakeUp) put(Event::TimerExpired, {instance, std::uint64_t{1}});
            if (action == Action::RequestBarrier) answerBarrier(instance, valueAt<std::uint64_t>(fields, 5));
            if (action == Action::Probe)
                answerProbe(instance, {valueAt<std::uint32_t>(fields, 4), valueAt<std::uint16_t>(fields, 8)});
        }
    }
    void answerBarrier(std::uint32_t instance, std::uint64_t barrier) {
        for (const auto proxy : joined_[instance])
            if (numbers_.chance(0.9)) put(Event::BarrierAcknowledged, {instance, proxy, barrier, 0.25});
    }
    void answerProbe(std::uint32_t instance, WireEndpoint endpoint) {
        if (numbers_.chance(0.1)) return;
        const bool isBad = numbers_.chance(0.6);
        const auto status = static_cast<std::uint16_t>(isBad ? numbers_.below(6) : 0);
        Bytes fields(instance, endpoint.address, endpoint.port, status, 0.8 * numbers_.fraction());
        putReportColumns(fields);
        put(Event::ProbeCompleted, fields);
    }
    void putReportColumns(Bytes& fields) {
        const auto columns = static_cast<std::uint8_t>(numbers_.below(5)); // 3 are configured
        fields.put(columns);
        for (std::uint8_t column = 0; column < columns; ++column)
            fields.put(static_cast<float>(10 * numbers_.fraction()));
    }

    void openInstance(std::uint32_t instance) {
        const std::string text = settingsText(numbers_);
        const std::uint64_t seed = numbers_.below(1000);
        put(Event::OpenInstance,
            {instance, seed, static_cast<std::uint32_t>(text.size()), std::string_view(text)});
        joined_[instance] = {};
        sendEndpointList(instance, 0);
        for (std::uint16_t proxy = 0; proxy < kProxyCount; ++proxy)
            if (numbers_.chance(0.7)) joinProxy(instance, proxy);
    }
    void joinProxy(std::uint32_t instance, std::uint16_t proxy) {
        const auto zone = static_cast<std::uint8_t>(proxy % kZoneCount);
        const auto rate = static_cast<float>(5 + 20 * numbers_.fraction());
        put(Event::ProxyJoined,
            {instance, proxy, zone, rate, static_cast<std::uint8_t>(numbers_.chance(0.6))});
        joined_[instance].insert(proxy);
    }
    static WireEndpoint endpoint(std::size_t index) {
        return {0x0a000001U + static_cast<std::uint32_t>(index), std::uint16_t{80}};
    }
    /// Sends the current endpoint list, and then an update to the instance that refers to it. The form says
    /// what the list is (0: cached, 2: changes, 3: complete).
    void sendEndpointList(std::uint32_t instance, std::uint8_t form) {
        const auto table = static_cast<std::uint16_t>(numbers_.below(16));
        Bytes fields(table, static_cast<std::uint32_t>(endpointCount_));
        for (std::size_t index = 0; index < endpointCount_; ++index) putEntry(fields, index);
        put(Event::EndpointList, fields);
        put(Event::EndpointUpdate, {instance, form, std::uint64_t{1}, table});
    }
    void putEntry(Bytes& fields, std::size_t index) {
        const auto [address, port] = endpoint(index);
        const double readyAt = readyAt_.contains(index) ? readyAt_.at(index) : 0;
        const auto weight = static_cast<float>(1 + index % 3);
        const std::uint16_t pod = 0;
        const std::uint16_t generation = 0;
        const auto zone = static_cast<std::uint8_t>(index % kZoneCount);
        fields.put(Bytes(address, port, endpointStates_[index], readyAt, weight, pod, generation, zone));
    }

    std::uint32_t anyInstance() {
        return std::next(joined_.begin(), static_cast<std::ptrdiff_t>(numbers_.below(joined_.size())))->first;
    }
    void performRandomStep() {
        const std::uint32_t instance = anyInstance();
        switch (numbers_.below(8)) {
        case 0:
        case 1: changeEndpoint(instance); break;
        case 2: leave(instance); break;
        case 3: joinProxy(instance, static_cast<std::uint16_t>(numbers_.below(kProxyCount))); break;
        case 4: putUnusedEvents(instance); break;
        case 5: putUnknownEvent(); break;
        case 6:
            put(Event::EndpointUpdate, {instance, std::uint8_t{1}, std::uint64_t{1}, std::uint16_t{0}});
            break; // the poll has failed
        default:
            if (numbers_.chance(0.4)) reopenInstance(instance);
        }
    }
    void changeEndpoint(std::uint32_t instance) {
        const auto index = numbers_.below(endpointCount_);
        endpointStates_[index] = static_cast<std::uint8_t>(numbers_.below(3));
        const bool isReady = endpointStates_[index] == static_cast<std::uint8_t>(EndpointState::Ready);
        if (isReady) readyAt_[index] = static_cast<double>(now_.count()) / 1e6;
        sendEndpointList(instance, numbers_.oneOf<std::uint8_t>({2, 2, 3})); // changes, or the complete list
    }
    void leave(std::uint32_t instance) {
        const auto proxy = static_cast<std::uint16_t>(numbers_.below(kProxyCount));
        put(Event::ProxyLeft, {instance, proxy});
        joined_[instance].erase(proxy);
    }
    void reopenInstance(std::uint32_t instance) {
        put(Event::CloseInstance, {instance});
        openInstance(instance);
    }
    /// Sends events that the planner parses but does not use.
    void putUnusedEvents(std::uint32_t instance) {
        const std::uint16_t sheet = 3;
        const auto [address, port] = endpoint(0);
        put(Event::RangeHeld, {instance, 0.5F, sheet, address, port});
        put(Event::RangeLeased, {instance, sheet, std::uint8_t{1}});
        put(Event::RangeLoad, {instance, std::uint16_t{0}, 1U, 20U, 1.0, sheet});
        put(Event::PeerMessage, {instance, 2U, std::uint16_t{5}, std::string_view("hello")});
    }
    void putUnknownEvent() {
        putCode(kUnknownEventCodes[numbers_.below(std::size(kUnknownEventCodes))], {numbers_.fraction()});
    }

    void sendReports() {
        if (numbers_.chance(0.2)) failingEndpoint_ = numbers_.below(endpointCount_);
        if (numbers_.chance(0.2)) allAreSlow_ = !allAreSlow_;
        for (const auto& [instance, proxies] : joined_) {
            for (std::size_t index = 0; index < endpointCount_; ++index)
                if (endpointStates_[index] == static_cast<std::uint8_t>(EndpointState::Ready))
                    putLoadReport(instance, index);
            for (const auto proxy : proxies) putDemandReport(instance, proxy);
        }
    }
    void putLoadReport(std::uint32_t instance, std::size_t index) {
        const auto [address, port] = endpoint(index);
        const std::uint32_t attempts = 20;
        const std::uint32_t failures =
            index == failingEndpoint_ ? 17 : static_cast<std::uint32_t>(numbers_.below(2));
        const double latency = (allAreSlow_ ? 1.5 : 0.2) + 0.1 * numbers_.fraction();
        const auto zone = static_cast<std::uint8_t>(numbers_.below(kZoneCount));
        Bytes fields(instance, zone, address, port, attempts, failures, latency, 1.0);
        putReportColumns(fields);
        put(Event::LoadReport, fields);
    }
    void putDemandReport(std::uint32_t instance, std::uint16_t proxy) {
        const auto requests = static_cast<std::uint32_t>(numbers_.below(20));
        const auto requestClass = static_cast<std::uint16_t>(numbers_.below(4)); // there are 3
        put(Event::DemandReport, {instance, requests, proxy, requestClass, 1.0, 1U});
    }

    SeededNumbers numbers_;
    RecordedDay day_;
    simwire::Host host_{[](std::string_view) {}};
    Micros now_{100'000'000};
    Bytes body_;
    std::uint32_t recordCount_ = 0;
    std::vector<std::pair<Action, std::vector<std::byte>>> actions_;
    std::map<std::uint32_t, std::set<std::uint16_t>> joined_; // the joined proxies by instance
    std::size_t endpointCount_;
    std::vector<std::uint8_t> endpointStates_;
    std::map<std::size_t, double> readyAt_;
    std::size_t failingEndpoint_ = 0;
    bool allAreSlow_ = false;
};

} // namespace

RecordedDay playSimwireDay(std::uint64_t seed) { return SimwireDay(seed).play(); }

} // namespace zincstack::tests
