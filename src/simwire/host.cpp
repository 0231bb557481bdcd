#include "simwire/host.h"

#include <algorithm>
#include <exception>

#include "config/start_settings.h"

namespace zincstack::simwire {

namespace {

constexpr std::uint16_t kEveryTable = 65535;
constexpr std::uint64_t kWakeTag = 1;

enum EventCode : std::uint8_t {
    kIntake = 1,
    kHeld = 2,
    kTimeoutFired = 3,
    kLeft = 4,
    kTookEffect = 5,
    kLeased = 6,
    kOpenInstance = 7,
    kDialledIn = 8,
    kHalt = 9,
    kPool = 10,
    kRangeLoad = 11,
    kProbeDone = 12,
    kTargets = 13,
    kObserved = 14,
    kNeighbourSays = 15,
};
enum ActionCode : std::uint8_t {
    kBug = 1,
    kSchedule = 3,
    kAdmit = 4,
    kLog = 5,
    kCordon = 6,
    kHandTable = 7,
    kEndpoint = 8,
    kAskLoad = 11,
    kStamp = 12,
    kTrack = 13,
};

std::string_view eventName(std::uint8_t code) {
    static constexpr std::array<std::string_view, 16> kNames = {
        "",           "INTAKE",        "HELD",       "TIMEOUT_FIRED", "LEFT", "TOOK_EFFECT",
        "LEASED",     "OPEN_INSTANCE", "DIALLED_IN", "HALT",          "POOL", "RANGE_LOAD",
        "PROBE_DONE", "TARGETS",       "OBSERVED",   "NEIGHBOUR_SAYS"};
    return code < kNames.size() ? kNames[code] : std::string_view{};
}

/// Turns the planner's orders into actions of one instance.
class WireSink final : public RoutingUpdateSink {
public:
    WireSink(ReplyWriter& reply, std::uint32_t who) : reply_(reply), who_(who) {}
    void setWeight(TableId table, EndpointId server, double weight) override {
        reply_.record(kEndpoint, who_, server, table.value, static_cast<float>(weight));
    }
    void assignTable(ProxyId proxy, RequestClassSet products, TableId table) override {
        reply_.record(kHandTable, who_, products, table.value, proxy.value);
    }
    void setExcluded(EndpointId server, bool out) override {
        reply_.record(kCordon, who_, server, static_cast<std::uint8_t>(out));
    }
    void setAdmission(std::optional<TableId> table, RequestClassSet products, double level,
                      RetryPolicy tries) override {
        reply_.record(kAdmit, who_, table ? table->value : kEveryTable, products, static_cast<float>(level),
                      static_cast<std::uint8_t>(tries));
    }
    void requestBarrier(BarrierId number, bool everyProxy) override {
        reply_.record(kStamp, who_, static_cast<std::uint8_t>(everyProxy), std::uint64_t{number.value});
    }
    void probe(EndpointId server) override { reply_.record(kAskLoad, who_, server); }
    void subscribeToEndpoints() override { reply_.record(kTrack, who_, std::uint8_t{1}); }
    void scheduleWakeUp(Micros span) override {
        reply_.record(kSchedule, who_, kWakeTag, static_cast<double>(span.count()) / 1e6);
    }
    void report(const PlannerEvent& event) override {
        const std::string line = eventText(event);
        reply_.record(kLog, who_, std::string_view(line));
    }

private:
    ReplyWriter& reply_;
    std::uint32_t who_;
};

} // namespace

struct Host::Hosted {
    Hosted(ReplyWriter& reply, std::uint32_t who) : sink(reply, who) {}
    WireSink sink;
    std::vector<std::string> reportColumns;
    std::unique_ptr<Planner> planner;
    bool touched = false;
    bool broken = false;
};

Host::Host(Notice notice) : notice_(std::move(notice)) {}
Host::~Host() = default;

std::span<const std::byte> Host::play(const BatchHeader& header, std::span<const std::byte> body) {
    clock_ = header.clock;
    reply_.clear();
    std::size_t at = 0;
    for (std::uint32_t number = 0; number < header.records; ++number) {
        FieldReader head("record " + std::to_string(number), body.subspan(at), kBatchHeaderBytes + at);
        const auto code = head.whole<std::uint8_t>("code");
        const auto size = head.whole<std::uint32_t>("length");
        event(code, head.bytes("fields", size), kBatchHeaderBytes + at + kRecordHeaderBytes);
        at += kRecordHeaderBytes + size;
    }
    if (at != body.size())
        throw InputError("batch.length at offset 4: " + std::to_string(body.size() - at) +
                         " bytes are left after the last record");
    for (const auto who : touched_) {
        const auto found = hosted_.find(who);
        if (found == hosted_.end() || !found->second->touched) continue;
        found->second->touched = false;
        guarded(who, *found->second, [](Planner& planner) { planner.decide(); });
    }
    touched_.clear();
    return reply_.finish();
}

/// A failure inside a decision is that instance's own: it is reported, and the instance is left alone.
template <class Call>
void Host::guarded(std::uint32_t who, Hosted& at, const Call& call) {
    if (at.broken || !at.planner) return;
    try {
        call(*at.planner);
    } catch (const std::exception& error) {
        at.broken = true;
        reply_.record(kBug, who, std::string_view(error.what()));
    }
}

Host::Hosted& Host::hosted(std::uint32_t who, const FieldReader& in) {
    const auto found = hosted_.find(who);
    if (found == hosted_.end()) in.fail("Who", "instance " + std::to_string(who) + " was never opened");
    Hosted& at = *found->second;
    if (!at.touched) {
        at.touched = true;
        touched_.push_back(who);
        guarded(who, at, [&](Planner& planner) { planner.beginBatch(clock_); });
    }
    return at;
}

void Host::event(std::uint8_t code, std::span<const std::byte> fields, std::size_t offset) {
    const auto name = eventName(code);
    if (name.empty()) {
        if (!noticed_[code])
            notice_("event code " + std::to_string(code) + " is not known, skipped at offset " +
                    std::to_string(offset));
        noticed_[code] = true;
        return;
    }
    FieldReader in(name, fields, offset);
    if (code == kPool) return pool(in);
    const auto who = in.whole<std::uint32_t>("Who");
    switch (code) {
    case kOpenInstance: return open(in, who);
    case kHalt:
        in.done();
        hosted_.erase(who);
        return;
    case kIntake: {
        DemandReport line;
        line.requests = in.whole<std::uint32_t>("TriesN");
        line.proxy = {in.whole<std::uint16_t>("Proxy")};
        line.requestClass = {in.whole<std::uint16_t>("Band")};
        line.interval = in.time("ElapsedS");
        line.unanswered = in.whole<std::uint32_t>("Unanswered");
        in.done();
        return guarded(who, hosted(who, in), [&](Planner& planner) { planner.reportDemand(line); });
    }
    case kTimeoutFired:
        in.whole<std::uint64_t>("Tag");
        in.done();
        return guarded(who, hosted(who, in), [](Planner& planner) { planner.timerExpired(); });
    case kLeft: {
        const ProxyId proxy{in.whole<std::uint16_t>("Proxy")};
        in.done();
        return guarded(who, hosted(who, in), [&](Planner& planner) { planner.proxyLeft(proxy); });
    }
    case kTookEffect: {
        const ProxyId proxy{in.whole<std::uint16_t>("Proxy")};
        const auto number = in.whole<std::uint64_t>("Epoch");
        if (number > 65535) in.fail("Epoch", "a mark above 65535");
        in.time("DelaySeenS");
        in.done();
        const BarrierId mark{static_cast<std::uint16_t>(number)};
        return guarded(who, hosted(who, in),
                       [&](Planner& planner) { planner.barrierAcknowledged(proxy, mark); });
    }
    case kDialledIn: {
        const ProxyId proxy{in.whole<std::uint16_t>("Proxy")};
        const ZoneId zone{in.whole<std::uint8_t>("Locality")};
        const double usual = in.shortNumber("Share");
        const bool onlyStanding = in.flag("Flag");
        in.done();
        return guarded(who, hosted(who, in),
                       [&](Planner& planner) { planner.proxyJoined(proxy, zone, usual, onlyStanding); });
    }
    case kProbeDone: {
        ProbeResult result;
        result.endpoint = in.server("Server");
        const auto status = in.whole<std::uint16_t>("Status");
        if (status > 5) in.fail("Status", "no result of a probe: " + std::to_string(status));
        result.status = static_cast<ProbeStatus>(status);
        result.latency = in.time("DelaySeenS");
        Hosted& at = hosted(who, in);
        result.load = report(in, at);
        in.done();
        return guarded(who, at, [&](Planner& planner) { planner.probeCompleted(result); });
    }
    case kTargets: {
        const auto form = in.whole<std::uint8_t>("Form");
        if (form > 3) in.fail("Form", "no kind of list: " + std::to_string(form));
        in.whole<std::uint64_t>("Epoch");
        const auto number = in.whole<std::uint16_t>("Table");
        static constexpr std::array kForms = {EndpointListUpdate::Cached, EndpointListUpdate::PollFailed,
                                              EndpointListUpdate::Delta, EndpointListUpdate::Snapshot};
        const EndpointListUpdate news = kForms[form];
        if (news != EndpointListUpdate::PollFailed && number >= pools_.size())
            in.fail("Table", "no list has the number " + std::to_string(number));
        in.done();
        const auto entries = news == EndpointListUpdate::PollFailed
                                 ? std::span<const EndpointUpdate>{}
                                 : std::span<const EndpointUpdate>(pools_[number]);
        return guarded(who, hosted(who, in),
                       [&](Planner& planner) { planner.updateEndpoints(news, entries); });
    }
    case kObserved: {
        EndpointLoadReport line;
        line.proxyZone = {in.whole<std::uint8_t>("Locality")};
        line.endpoint = in.server("Server");
        line.attempts = in.whole<std::uint32_t>("TriesN");
        line.failures = in.whole<std::uint32_t>("Unanswered");
        line.meanLatency = in.time("DelaySeenS");
        line.interval = in.time("ElapsedS");
        Hosted& at = hosted(who, in);
        line.load = report(in, at);
        in.done();
        return guarded(who, at, [&](Planner& planner) { planner.reportLoad(line); });
    }
    case kHeld: // slices: read for their form, used by no decision
        in.shortNumber("Share");
        in.whole<std::uint16_t>("Sheet");
        in.server("Server");
        break;
    case kLeased:
        in.whole<std::uint16_t>("Sheet");
        in.flag("Flag");
        break;
    case kRangeLoad:
        in.whole<std::uint16_t>("Band");
        in.whole<std::uint32_t>("Unanswered");
        in.whole<std::uint32_t>("TriesN");
        in.time("ElapsedS");
        in.whole<std::uint16_t>("Sheet");
        break;
    case kNeighbourSays: // planners decide alone: read for its form as well
        in.whole<std::uint32_t>("OriginPeer");
        in.bytes("Content", in.whole<std::uint16_t>("Content"));
        break;
    default: return;
    }
    in.done();
    hosted(who, in);
}

void Host::open(FieldReader& in, std::uint32_t who) {
    const auto seed = in.whole<std::uint64_t>("RandomSeed");
    const auto size = in.whole<std::uint32_t>("Env");
    const auto bytes = in.bytes("Env", size);
    in.done();
    const auto start = config::readStartSettings(
        config::splitText({reinterpret_cast<const char*>(bytes.data()), bytes.size()}));
    for (const auto& line : start.notices) notice_(line);
    auto fresh = std::make_unique<Hosted>(reply_, who);
    fresh->reportColumns = start.reportColumns;
    fresh->planner = makePlanner(
        {seed, start.fleet, start.forwarders, start.channel, start.guards, start.products}, fresh->sink);
    hosted_[who] = std::move(fresh);
    hosted(who, in);
}

void Host::pool(FieldReader& in) {
    const auto number = in.whole<std::uint16_t>("Table");
    if (number >= pools_.size()) in.fail("Table", "no list has the number " + std::to_string(number));
    const auto count = in.whole<std::uint32_t>("NodesList");
    constexpr std::size_t kEntryBytes = 24;
    if (in.left() != std::size_t{count} * kEntryBytes)
        in.fail("NodesList",
                std::to_string(count) + " entries do not fill " + std::to_string(in.left()) + " bytes");
    auto& entries = pools_[number];
    entries.clear();
    for (std::uint32_t k = 0; k < count; ++k) {
        EndpointUpdate entry;
        entry.id = in.server("NodesList.Server");
        const auto state = in.whole<std::uint8_t>("NodesList.State");
        if (state > 2) in.fail("NodesList.State", "no state of a server: " + std::to_string(state));
        entry.state = static_cast<EndpointState>(state);
        entry.startedAt = in.time("NodesList.ReadyAtS");
        entry.weight = in.shortNumber("NodesList.Share");
        if (entry.weight < 0) in.fail("NodesList.Share", "a weight below 0");
        entry.pod = {in.whole<std::uint16_t>("NodesList.Pod")};
        in.whole<std::uint16_t>("NodesList.GenerationHw");
        entry.zone = {in.whole<std::uint8_t>("NodesList.Locality")};
        entries.push_back(entry);
    }
}

LoadReport Host::report(FieldReader& in, const Hosted& at) const {
    LoadReport out;
    const auto count = in.whole<std::uint8_t>("Report");
    for (std::uint8_t k = 0; k < count; ++k) {
        const double value = in.shortNumber("Report");
        if (k < at.reportColumns.size()) config::setLoadField(at.reportColumns[k], value, out);
    }
    return out;
}

} // namespace zincstack::simwire
