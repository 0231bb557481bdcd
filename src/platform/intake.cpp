#include "platform/intake.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "terms/start_terms.h"

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTxnsMost = 10'000'000; // in one line of a report
constexpr double kLoadMost = 1e9;               // of any figure of a load report
constexpr Micros kSpanMost = 10min;             // that a line sums up; and a delay, a wait

} // namespace

Intake::Intake(Engine& engine, orders::OrderBook& book, Outbox& outbox, Names& names, Counters& counters,
               std::uint32_t proxies)
    : engine_(engine), book_(book), outbox_(outbox), names_(names), counters_(counters), proxies_(proxies) {}

std::optional<ProxyId> Intake::proxyOf(const Message& message) const {
    const auto proxy = message.count("proxy", 65535);
    if (!proxy || *proxy >= proxies_) return {};
    return ProxyId{static_cast<std::uint16_t>(*proxy)};
}

bool Intake::agent(const Message& message) {
    const auto name = message.find("zone");
    if (!name || !names_.zone(*name)) {
        counters_.passedOver(Count::BadName, "agent of a zone that is not known");
        return false;
    }
    counters_.add(Count::Agents);
    return true;
}

std::optional<ProxyId> Intake::hello(const Message& message, PushTarget& stream) {
    const auto proxy = proxyOf(message);
    const auto name = message.find("zone");
    const auto zone = name ? names_.zone(*name) : std::nullopt;
    const auto weight = message.number("weight");
    const auto fresh = message.flag("fresh");
    if (!proxy || !zone || !weight || !fresh) {
        counters_.passedOver(proxy && name && !zone ? Count::BadName : Count::BadField, "hello");
        return {};
    }
    counters_.add(Count::Hellos);
    if (outbox_.joined(*proxy, *zone, stream)) counters_.add(Count::Takeovers);
    engine_.input().joined(*proxy, *zone, *weight, *fresh);
    return proxy;
}

/// Guards against the late end of an old stream: only the end of a proxy's own one is its leaving.
void Intake::ended(ProxyId proxy, const PushTarget& stream) {
    if (!outbox_.left(proxy, stream)) return;
    counters_.add(Count::StreamsEnded);
    engine_.input().left(proxy);
}

void Intake::ack(const Message& message, ProxyId proxy, const PushTarget& stream) {
    const auto named = proxyOf(message);
    const auto mark = message.count("mark", 65535);
    if (!mark || !named || *named != proxy || !spanOf(message, "took_ms"))
        return counters_.passedOver(Count::BadField, "ack");
    if (!outbox_.owns(proxy, stream)) return counters_.add(Count::Stale);
    if (!outbox_.answered(proxy, {static_cast<std::uint16_t>(*mark)}))
        return counters_.passedOver(Count::BadMark, "no such mark waits for its answer");
    counters_.add(Count::Acks);
    engine_.input().applied(proxy, {static_cast<std::uint16_t>(*mark)});
}

std::optional<Micros> Intake::spanOf(const Message& message, std::string_view name) {
    const auto span = message.millis(name);
    return span && *span <= kSpanMost ? span : std::nullopt;
}

/// Guards against reports that are spoilt: one field that can't be, and nothing of the line is believed.
void Intake::outcomes(const Message& message) {
    const auto zoneName = message.find("zone"), serverName = message.find("server");
    const auto tries = message.count("tries", kTxnsMost), failed = message.count("failed", kTxnsMost);
    const auto span = spanOf(message, "span_ms");
    const bool timed = message.find("mean_ms") || (tries && failed && *tries > *failed);
    const auto mean = timed ? spanOf(message, "mean_ms") : Micros{};
    if (!zoneName || !serverName || !tries || !failed || *failed > *tries || !span || !mean)
        return counters_.passedOver(Count::BadField, "outcomes");
    const auto zone = names_.zone(*zoneName);
    const auto server = names_.server(*serverName);
    if (!zone || !server) return counters_.passedOver(Count::BadName, *serverName);
    ServerSums line{*server, *zone, *tries, *failed, *mean, *span, {}};
    if (const auto load = message.find("load")) {
        const auto read = report(*load, ':', ',');
        if (!read) return counters_.passedOver(Count::BadField, *load);
        line.report = *read;
    }
    counters_.add(Count::Outcomes);
    engine_.input().sums(line);
}

void Intake::demand(const Message& message, std::optional<ProxyId> stream) {
    const auto proxy = proxyOf(message);
    const auto name = message.find("class");
    const auto tries = message.count("tries", kTxnsMost), failed = message.count("failed", kTxnsMost);
    const auto span = spanOf(message, "span_ms");
    if (!proxy || (stream && *stream != *proxy) || !name || !tries || !failed ||
        !span) // failed: of earlier tries too
        return counters_.passedOver(Count::BadField, "demand");
    const auto product = names_.product(*name);
    if (!product) return counters_.passedOver(Count::BadName, *name);
    counters_.add(Count::Demands);
    engine_.input().usage({*proxy, *product, *tries, *failed, *span});
}

/// Guards against one spoilt entry that keeps a drain beside it from being heard: the sound ones are passed on, and
/// then as changes, since who is missing may be the one that can't be read.
bool Intake::list(ListNews news, const json::Value& members) {
    std::vector<ListedServer> entries;
    bool sound = true;
    for (std::size_t k = 0; k < members.size(); ++k) {
        ListedServer one;
        std::string_view address;
        const json::Value& member = members[k];
        const auto* name = json::textOf(member, "id");
        if (const char* field = entry(member, one, address)) {
            counters_.passedOver(Count::BadEntry, "members[" + std::to_string(k) + "]" +
                                                      (name ? " '" + *name + "'" : std::string{}) +
                                                      ": the field " + field + " can't be used");
            sound = false;
            continue;
        }
        one.id = names_.listed(*name);
        if (!address.empty()) names_.moved(one.id, address);
        entries.push_back(one);
    }
    if (sound)
        engine_.input().list(news, entries);
    else if (!entries.empty())
        engine_.input().list(news == ListNews::Whole ? ListNews::Changes : news, entries);
    return sound;
}

/// The field that can't be used; none where the entry is sound. One that is gone needs no more than its name.
const char* Intake::entry(const json::Value& member, ListedServer& into, std::string_view& address) {
    static constexpr std::pair<std::string_view, ListedState> kPhases[] = {
        {"Gone", ListedState::Gone}, {"Ready", ListedState::Ready}, {"Terminating", ListedState::Draining}};
    const auto* name = json::textOf(member, "id");
    const auto* phase = json::textOf(member, "phase");
    if (!name || name->empty()) return "id";
    if (!phase) return "phase";
    const auto state = std::ranges::find(kPhases, *phase, &std::pair<std::string_view, ListedState>::first);
    if (state == std::end(kPhases)) return "phase";
    into.state = state->second;
    const bool gone = into.state == ListedState::Gone;

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

std::optional<LoadReport> Intake::report(std::string_view text, char pairMark, char separator) {
    LoadReport out;
    bool sound = true;
    eachPart(text, separator, [&](std::string_view pair) {
        while (pair.starts_with(' ')) pair.remove_prefix(1);
        const auto mark = pair.find(pairMark);
        const auto value = mark == std::string_view::npos ? std::nullopt : parseNumber(pair.substr(mark + 1));
        sound = sound && value && *value <= kLoadMost;
        if (sound) terms::placeLoad(pair.substr(0, mark), *value, out);
    });
    return sound ? std::optional(out) : std::nullopt;
}

void Intake::probed(ServerId server, ProbeStatus status, Micros delay, std::string_view body) {
    constexpr std::string_view kTextForm = "TEXT ";
    static constexpr Count kCounts[] = {Count::ProbesOk,          Count::ProbesError,
                                        Count::ProbesRejected,    Count::ProbesTimedOut,
                                        Count::ProbesUnreachable, Count::ProbesBroken};
    counters_.add(kCounts[static_cast<std::size_t>(status)]);
    while (body.ends_with('\n') || body.ends_with('\r')) body.remove_suffix(1);
    if (body.starts_with(kTextForm)) body.remove_prefix(kTextForm.size());
    const auto load = report(body, '=', ',');
    if (!load) counters_.passedOver(Count::BadField, "load of a probe");
    engine_.input().probed({server, status, delay, load.value_or(LoadReport{})});
}

} // namespace zincstack::net
