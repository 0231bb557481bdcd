#include "platform/input_translator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "config/start_settings.h"

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTxnsMost = 10'000'000; // in one line of a report
constexpr double kLoadMost = 1e9;               // of any figure of a load report
constexpr Micros kSpanMost = 10min;             // that a line sums up; and a delay, a wait

} // namespace

InputTranslator::InputTranslator(BatchRunner& engine, routing::RoutingState& book, UpdateQueue& outbox,
                                 NameRegistry& names, Counters& counters, std::uint32_t proxies)
    : engine_(engine), book_(book), outbox_(outbox), names_(names), counters_(counters), proxies_(proxies) {}

std::optional<ProxyId> InputTranslator::proxyOf(const Message& message) const {
    const auto proxy = message.count("proxy", 65535);
    if (!proxy || *proxy >= proxies_) return {};
    return ProxyId{static_cast<std::uint16_t>(*proxy)};
}

bool InputTranslator::agent(const Message& message) {
    const auto name = message.find("zone");
    if (!name || !names_.zone(*name)) {
        counters_.recordIgnored(Counter::BadName, "agent of a zone that is not known");
        return false;
    }
    counters_.add(Counter::Agents);
    return true;
}

std::optional<ProxyId> InputTranslator::hello(const Message& message, PushStream& stream) {
    const auto proxy = proxyOf(message);
    const auto name = message.find("zone");
    const auto zone = name ? names_.zone(*name) : std::nullopt;
    const auto weight = message.number("weight");
    const auto fresh = message.flag("fresh");
    if (!proxy || !zone || !weight || !fresh) {
        counters_.recordIgnored(proxy && name && !zone ? Counter::BadName : Counter::BadField, "hello");
        return {};
    }
    counters_.add(Counter::Hellos);
    if (outbox_.sessionOpened(*proxy, *zone, stream)) counters_.add(Counter::Takeovers);
    engine_.openBatch().proxyJoined(*proxy, *zone, *weight, *fresh);
    return proxy;
}

/// Guards against the late end of an old stream: only the end of a proxy's own one is its leaving.
void InputTranslator::ended(ProxyId proxy, const PushStream& stream) {
    if (!outbox_.sessionClosed(proxy, stream)) return;
    counters_.add(Counter::StreamsEnded);
    engine_.openBatch().proxyLeft(proxy);
}

void InputTranslator::ack(const Message& message, ProxyId proxy, const PushStream& stream) {
    const auto named = proxyOf(message);
    const auto mark = message.count("mark", 65535);
    if (!mark || !named || *named != proxy || !spanOf(message, "took_ms"))
        return counters_.recordIgnored(Counter::BadField, "ack");
    if (!outbox_.ownsSession(proxy, stream)) return counters_.add(Counter::Stale);
    if (!outbox_.barrierAcknowledged(proxy, {static_cast<std::uint16_t>(*mark)}))
        return counters_.recordIgnored(Counter::BadMark, "no such mark waits for its answer");
    counters_.add(Counter::Acks);
    engine_.openBatch().barrierAcknowledged(proxy, {static_cast<std::uint16_t>(*mark)});
}

std::optional<Micros> InputTranslator::spanOf(const Message& message, std::string_view name) {
    const auto span = message.millis(name);
    return span && *span <= kSpanMost ? span : std::nullopt;
}

/// Guards against reports that are spoilt: one field that can't be, and nothing of the line is believed.
void InputTranslator::outcomes(const Message& message) {
    const auto zoneName = message.find("zone"), serverName = message.find("server");
    const auto tries = message.count("tries", kTxnsMost), failed = message.count("failed", kTxnsMost);
    const auto span = spanOf(message, "span_ms");
    const bool timed = message.find("mean_ms") || (tries && failed && *tries > *failed);
    const auto mean = timed ? spanOf(message, "mean_ms") : Micros{};
    if (!zoneName || !serverName || !tries || !failed || *failed > *tries || !span || !mean)
        return counters_.recordIgnored(Counter::BadField, "outcomes");
    const auto zone = names_.zone(*zoneName);
    const auto server = names_.endpoint(*serverName);
    if (!zone || !server) return counters_.recordIgnored(Counter::BadName, *serverName);
    EndpointLoadReport line{*server, *zone, *tries, *failed, *mean, *span, {}};
    if (const auto load = message.find("load")) {
        const auto read = report(*load, ':', ',');
        if (!read) return counters_.recordIgnored(Counter::BadField, *load);
        line.load = *read;
    }
    counters_.add(Counter::Outcomes);
    engine_.openBatch().reportLoad(line);
}

void InputTranslator::demand(const Message& message, std::optional<ProxyId> stream) {
    const auto proxy = proxyOf(message);
    const auto name = message.find("class");
    const auto tries = message.count("tries", kTxnsMost), failed = message.count("failed", kTxnsMost);
    const auto span = spanOf(message, "span_ms");
    if (!proxy || (stream && *stream != *proxy) || !name || !tries || !failed ||
        !span) // failed: of earlier tries too
        return counters_.recordIgnored(Counter::BadField, "demand");
    const auto product = names_.requestClass(*name);
    if (!product) return counters_.recordIgnored(Counter::BadName, *name);
    counters_.add(Counter::Demands);
    engine_.openBatch().reportDemand({*proxy, *product, *tries, *failed, *span});
}

/// Guards against one spoilt entry that keeps a drain beside it from being heard: the sound ones are passed on, and
/// then as changes, since who is missing may be the one that can't be read.
bool InputTranslator::list(EndpointListUpdate news, const json::Value& members) {
    std::vector<EndpointUpdate> entries;
    bool sound = true;
    for (std::size_t k = 0; k < members.size(); ++k) {
        EndpointUpdate one;
        std::string_view address;
        const json::Value& member = members[k];
        const auto* name = json::textOf(member, "id");
        if (const char* field = entry(member, one, address)) {
            counters_.recordIgnored(Counter::BadEntry, "members[" + std::to_string(k) + "]" +
                                                           (name ? " '" + *name + "'" : std::string{}) +
                                                           ": the field " + field + " can't be used");
            sound = false;
            continue;
        }
        one.id = names_.registerEndpoint(*name);
        if (!address.empty()) names_.setAddress(one.id, address);
        entries.push_back(one);
    }
    if (sound)
        engine_.openBatch().updateEndpoints(news, entries);
    else if (!entries.empty())
        engine_.openBatch().updateEndpoints(
            news == EndpointListUpdate::Snapshot ? EndpointListUpdate::Delta : news, entries);
    return sound;
}

/// The field that can't be used; none where the entry is sound. One that is gone needs no more than its name.
const char* InputTranslator::entry(const json::Value& member, EndpointUpdate& into,
                                   std::string_view& address) {
    static constexpr std::pair<std::string_view, EndpointState> kPhases[] = {
        {"Gone", EndpointState::Removed},
        {"Ready", EndpointState::Ready},
        {"Terminating", EndpointState::Draining}};
    const auto* name = json::textOf(member, "id");
    const auto* phase = json::textOf(member, "phase");
    if (!name || name->empty()) return "id";
    if (!phase) return "phase";
    const auto state = std::ranges::find(kPhases, *phase, &std::pair<std::string_view, EndpointState>::first);
    if (state == std::end(kPhases)) return "phase";
    into.state = state->second;
    const bool gone = into.state == EndpointState::Removed;

    if (const auto* text = json::textOf(member, "host_port"))
        address = *text;
    else if (!gone)
        return "host_port";
    const auto* locality = json::textOf(member, "locality");
    const auto zone = locality ? names_.zone(*locality) : std::nullopt;
    if (zone)
        into.zone = *zone;
    else if (!gone)
        return "locality";
    const auto figure = [&](const char* field, double absent) -> std::optional<double> {
        const json::Value& value = json::member(member, field);
        if (value.is_null()) return absent;
        const double out = value.is_number() ? value.get<double>() : -1;
        return std::isfinite(out) && out >= 0 ? std::optional(out) : std::nullopt;
    };
    constexpr double kMillisMost = 1e13;
    const auto since = figure("up_since_ms", 0), size = figure("size", 1), pod = figure("cell", 0);
    if (!since || *since > kMillisMost) return "up_since_ms";
    if (!size) return "size";
    if (!pod || *pod > 65535) return "cell";
    into.startedAt = Micros(std::llround(*since * 1e3));
    into.weight = *size;
    into.pod = {static_cast<std::uint16_t>(*pod)};
    return nullptr;
}

std::optional<LoadReport> InputTranslator::report(std::string_view text, char pairMark, char separator) {
    LoadReport out;
    bool sound = true;
    eachPart(text, separator, [&](std::string_view pair) {
        while (pair.starts_with(' ')) pair.remove_prefix(1);
        const auto mark = pair.find(pairMark);
        const auto value = mark == std::string_view::npos ? std::nullopt : parseNumber(pair.substr(mark + 1));
        sound = sound && value && *value <= kLoadMost;
        if (sound) config::setLoadField(pair.substr(0, mark), *value, out);
    });
    return sound ? std::optional(out) : std::nullopt;
}

void InputTranslator::probed(EndpointId server, ProbeStatus status, Micros delay, std::string_view body) {
    constexpr std::string_view kTextForm = "TEXT ";
    static constexpr Counter kCounts[] = {Counter::ProbesOk,          Counter::ProbesError,
                                          Counter::ProbesRejected,    Counter::ProbesTimedOut,
                                          Counter::ProbesUnreachable, Counter::ProbesBroken};
    counters_.add(kCounts[static_cast<std::size_t>(status)]);
    while (body.ends_with('\n') || body.ends_with('\r')) body.remove_suffix(1);
    if (body.starts_with(kTextForm)) body.remove_prefix(kTextForm.size());
    const auto load = report(body, '=', ',');
    if (!load) counters_.recordIgnored(Counter::BadField, "load of a probe");
    engine_.openBatch().probeCompleted({server, status, delay, load.value_or(LoadReport{})});
}

} // namespace zincstack::net
