// Recorded days on the simulator's wire: the records of each reply, except the lines for the log.
#include <cstring>
#include <set>

#include "digest_days.h"
#include "simwire/host.h"
#include "wire_bytes.h"

namespace zincstack::tests {

namespace {

constexpr int kBatches = 40;
constexpr std::uint16_t kProxies = 10;
constexpr std::uint8_t kZones = 2;
constexpr std::size_t kReplyLengthBytes = 4;
constexpr std::uint8_t kUnknownEvents[] = {0, 16, 77, 255};

/// Codes of events, as the simulator sends them.
enum class Event : std::uint8_t {
    Intake = 1,
    Held = 2,
    TimeoutFired = 3,
    Left = 4,
    TookEffect = 5,
    Leased = 6,
    OpenInstance = 7,
    DialledIn = 8,
    Halt = 9,
    Pool = 10,
    RangeLoad = 11,
    ProbeDone = 12,
    Targets = 13,
    Observed = 14,
    NeighbourSays = 15,
};

/// Codes of actions that the day answers or leaves out.
enum class Action : std::uint8_t { Schedule = 3, Log = 5, AskLoad = 11, Stamp = 12 };

/// A server as the wire writes it: an address and a port.
struct WireServer {
    std::uint32_t address;
    std::uint16_t port;
};

template <class T>
T valueAt(std::span<const std::byte> bytes, std::size_t offset) {
    T value{};
    std::memcpy(&value, bytes.subspan(offset, sizeof value).data(), sizeof value);
    return value;
}

std::string startText(SeededNumbers& numbers) {
    std::string text = "Balancers=2\nClasses.count=3\nContract.ColdS=16.0\nContract.DrainGraceS=2.0\n"
                       "Contract.FallMultiple=4.0\nContract.OverloadForS=3.0\nContract.StartCapacity=0.2\n"
                       "Extra.BlackholeS=3.0\nExtra.DataPlaneSize=10\nExtra.EgressPerS=7000.0\n"
                       "Extra.Envelope=6.0\nExtra.PeriodS=1.0\nExtra.PushDelayS=0.2\nExtra.QueueCap=14000.0\n"
                       "Extra.Standing=3\nExtra.WorstTransitS=0.5\nReporting.Columns=inflight,q,busy\n"
                       "WeightKind=rough\nZones=a,b\n";
    constexpr std::string_view kEffects[] = {"retryable", "dedup", "fragile"};
    for (int product = 0; product < 3; ++product) {
        const std::string path = "Classes." + std::to_string(product) + ".";
        text += path + "AimS=1.0\n" + path + "DeadlineS=3.0\n";
        text += path + "Effect=" + std::string(kEffects[product]) + "\n";
        text += path + "Worth=" + std::to_string(3 - product) + ".0\n";
    }
    text += numbers.chance(0.8) ? "Allowed.MayProbe=true\n" : "Allowed.MayProbe=false\n";
    text += numbers.chance(0.5) ? "Discovery=automatic\n" : "Discovery=subscribe\n";
    text += numbers.chance(0.3) ? "Contract.OnlyDrainingBinds=true\n" : "";
    text += numbers.chance(0.5) ? "Extra.ZoneBound=false,true,false\n" : "";
    text += "Extra.ThrottleBy=" + numbers.oneOf<std::string>({"ratio", "rps", "none"}) + "\n";
    text += numbers.chance(0.3) ? "Extra.UpdateCap=20\nExtra.UpdateWindowS=10.0\n" : "";
    return text;
}

class SimwireDay {
public:
    explicit SimwireDay(std::uint64_t seed) : numbers_(seed), servers_(numbers_.between(4, 16)) {
        states_.assign(servers_, std::uint8_t{1});
    }
    RecordedDay play() {
        for (std::uint32_t instance = 1; instance <= numbers_.between(1, 3); ++instance)
            openInstance(instance);
        playBatch();
        for (int batch = 0; batch < kBatches; ++batch) {
            answerActions();
            if (numbers_.chance(0.6)) reportPeriod();
            if (numbers_.chance(0.6)) happen();
            playBatch();
        }
        return std::move(day_);
    }

private:
    void put(Event event, const Bytes& fields) { putCode(static_cast<std::uint8_t>(event), fields); }
    void putCode(std::uint8_t code, const Bytes& fields) {
        body_.record(code, fields);
        ++records_;
        ++day_.coverage["event code " + std::to_string(code)];
    }
    void playBatch() {
        const simwire::BatchHeader header{records_, static_cast<std::uint32_t>(body_.all.size()), now_};
        recordReply(host_.play(header, body_.all));
        body_ = {};
        records_ = 0;
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
    /// Timers fire, marks take effect and probes are answered, in the next batch.
    void answerActions() {
        for (const auto& [action, fields] : std::exchange(actions_, {})) {
            const auto who = valueAt<std::uint32_t>(fields, 0);
            if (!joined_.contains(who)) continue;
            if (action == Action::Schedule) put(Event::TimeoutFired, {who, std::uint64_t{1}});
            if (action == Action::Stamp) answerMark(who, valueAt<std::uint64_t>(fields, 5));
            if (action == Action::AskLoad)
                answerProbe(who, {valueAt<std::uint32_t>(fields, 4), valueAt<std::uint16_t>(fields, 8)});
        }
    }
    void answerMark(std::uint32_t who, std::uint64_t mark) {
        for (const auto proxy : joined_[who])
            if (numbers_.chance(0.9)) put(Event::TookEffect, {who, proxy, mark, 0.25});
    }
    void answerProbe(std::uint32_t who, WireServer server) {
        if (numbers_.chance(0.1)) return;
        const bool isBad = numbers_.chance(0.6);
        const auto status = static_cast<std::uint16_t>(isBad ? numbers_.below(6) : 0);
        Bytes fields(who, server.address, server.port, status, 0.8 * numbers_.share());
        putReport(fields);
        put(Event::ProbeDone, fields);
    }
    void putReport(Bytes& fields) {
        const auto columns = static_cast<std::uint8_t>(numbers_.below(5)); // one more than there are names
        fields.put(columns);
        for (std::uint8_t column = 0; column < columns; ++column)
            fields.put(static_cast<float>(10 * numbers_.share()));
    }

    void openInstance(std::uint32_t who) {
        const std::string text = startText(numbers_);
        const std::uint64_t seed = numbers_.below(1000);
        put(Event::OpenInstance,
            {who, seed, static_cast<std::uint32_t>(text.size()), std::string_view(text)});
        joined_[who] = {};
        tellPool(who, 0);
        for (std::uint16_t proxy = 0; proxy < kProxies; ++proxy)
            if (numbers_.chance(0.7)) dialIn(who, proxy);
    }
    void dialIn(std::uint32_t who, std::uint16_t proxy) {
        const auto zone = static_cast<std::uint8_t>(proxy % kZones);
        const auto rate = static_cast<float>(5 + 20 * numbers_.share());
        put(Event::DialledIn, {who, proxy, zone, rate, static_cast<std::uint8_t>(numbers_.chance(0.6))});
        joined_[who].insert(proxy);
    }
    static WireServer server(std::size_t number) {
        return {0x0a000001U + static_cast<std::uint32_t>(number), std::uint16_t{80}};
    }
    /// Sends the list as it is, and tells the instance that it holds what the form says (0: as cached, 3: whole).
    void tellPool(std::uint32_t who, std::uint8_t form) {
        const auto table = static_cast<std::uint16_t>(numbers_.below(16));
        Bytes fields(table, static_cast<std::uint32_t>(servers_));
        for (std::size_t number = 0; number < servers_; ++number) putEntry(fields, number);
        put(Event::Pool, fields);
        put(Event::Targets, {who, form, std::uint64_t{1}, table});
    }
    void putEntry(Bytes& fields, std::size_t number) {
        const auto [address, port] = server(number);
        const double readyAt = readyAt_.contains(number) ? readyAt_.at(number) : 0;
        const auto weight = static_cast<float>(1 + number % 3);
        const std::uint16_t pod = 0;
        const std::uint16_t generation = 0;
        const auto zone = static_cast<std::uint8_t>(number % kZones);
        for (const Bytes& part :
             {Bytes(address, port, states_[number], readyAt, weight, pod, generation, zone)})
            fields.all.insert(fields.all.end(), part.all.begin(), part.all.end());
    }

    std::uint32_t anyInstance() {
        return std::next(joined_.begin(), static_cast<std::ptrdiff_t>(numbers_.below(joined_.size())))->first;
    }
    void happen() {
        const std::uint32_t who = anyInstance();
        switch (numbers_.below(8)) {
        case 0:
        case 1: changeServer(who); break;
        case 2: leave(who); break;
        case 3: dialIn(who, static_cast<std::uint16_t>(numbers_.below(kProxies))); break;
        case 4: putUnusedEvents(who); break;
        case 5: putUnknownEvent(); break;
        case 6:
            put(Event::Targets, {who, std::uint8_t{1}, std::uint64_t{1}, std::uint16_t{0}});
            break; // failed
        default:
            if (numbers_.chance(0.4)) haltAndOpen(who);
        }
    }
    void changeServer(std::uint32_t who) {
        const auto number = numbers_.below(servers_);
        states_[number] = static_cast<std::uint8_t>(numbers_.below(3));
        const bool isReady = states_[number] == static_cast<std::uint8_t>(EndpointState::Ready);
        if (isReady) readyAt_[number] = static_cast<double>(now_.count()) / 1e6;
        tellPool(who, numbers_.oneOf<std::uint8_t>({2, 2, 3})); // changes, or the whole list
    }
    void leave(std::uint32_t who) {
        const auto proxy = static_cast<std::uint16_t>(numbers_.below(kProxies));
        put(Event::Left, {who, proxy});
        joined_[who].erase(proxy);
    }
    void haltAndOpen(std::uint32_t who) {
        put(Event::Halt, {who});
        openInstance(who);
    }
    /// Events that are read for their form and used by no decision.
    void putUnusedEvents(std::uint32_t who) {
        const std::uint16_t sheet = 3;
        const auto [address, port] = server(0);
        put(Event::Held, {who, 0.5F, sheet, address, port});
        put(Event::Leased, {who, sheet, std::uint8_t{1}});
        put(Event::RangeLoad, {who, std::uint16_t{0}, 1U, 20U, 1.0, sheet});
        put(Event::NeighbourSays, {who, 2U, std::uint16_t{5}, std::string_view("hello")});
    }
    void putUnknownEvent() {
        putCode(kUnknownEvents[numbers_.below(std::size(kUnknownEvents))], {numbers_.share()});
    }

    void reportPeriod() {
        if (numbers_.chance(0.2)) sick_ = numbers_.below(servers_);
        if (numbers_.chance(0.2)) allAreSlow_ = !allAreSlow_;
        for (const auto& [who, proxies] : joined_) {
            for (std::size_t number = 0; number < servers_; ++number)
                if (states_[number] == static_cast<std::uint8_t>(EndpointState::Ready)) putSums(who, number);
            for (const auto proxy : proxies) putUsage(who, proxy);
        }
    }
    void putSums(std::uint32_t who, std::size_t number) {
        const auto [address, port] = server(number);
        const std::uint32_t tries = 20;
        const std::uint32_t unanswered = number == sick_ ? 17 : static_cast<std::uint32_t>(numbers_.below(2));
        const double delay = (allAreSlow_ ? 1.5 : 0.2) + 0.1 * numbers_.share();
        const auto zone = static_cast<std::uint8_t>(numbers_.below(kZones));
        Bytes fields(who, zone, address, port, tries, unanswered, delay, 1.0);
        putReport(fields);
        put(Event::Observed, fields);
    }
    void putUsage(std::uint32_t who, std::uint16_t proxy) {
        const auto txns = static_cast<std::uint32_t>(numbers_.below(20));
        const auto product = static_cast<std::uint16_t>(numbers_.below(4)); // one more than there are
        put(Event::Intake, {who, txns, proxy, product, 1.0, 1U});
    }

    SeededNumbers numbers_;
    RecordedDay day_;
    simwire::Host host_{[](std::string_view) {}};
    Micros now_{100'000'000};
    Bytes body_;
    std::uint32_t records_ = 0;
    std::vector<std::pair<Action, std::vector<std::byte>>> actions_;
    std::map<std::uint32_t, std::set<std::uint16_t>> joined_; // by instance: its proxies
    std::size_t servers_;
    std::vector<std::uint8_t> states_;
    std::map<std::size_t, double> readyAt_;
    std::size_t sick_ = 0;
    bool allAreSlow_ = false;
};

} // namespace

RecordedDay playSimwireDay(std::uint64_t seed) { return SimwireDay(seed).play(); }

} // namespace zincstack::tests
