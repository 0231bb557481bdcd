#include "platform/input_translator.h"

#include <string>
#include <utility>
#include <vector>

#include "config/start_settings.h"
#include "platform/endpoint_entry.h"

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

// Larger values are treated as corrupt, because they would dominate the planner's sums.
constexpr std::uint32_t kMaxRequestsPerReport = 10'000'000;
constexpr double kMaxLoadValue = 1e9;
constexpr Micros kMaxDuration = 10min;

constexpr std::uint32_t kMaxId = 65535; // ids of proxies and barriers have 16 bits

std::optional<Micros> readDuration(const Message& message, std::string_view name) {
    const auto duration = message.millis(name);
    return duration && *duration <= kMaxDuration ? duration : std::nullopt;
}

struct RequestCounts {
    std::uint32_t total = 0;
    std::uint32_t failed = 0;
};

std::optional<RequestCounts> readRequestCounts(const Message& message) {
    const auto total = message.count("tries", kMaxRequestsPerReport);
    const auto failed = message.count("failed", kMaxRequestsPerReport);
    if (!total || !failed) return {};
    return RequestCounts{*total, *failed};
}

/// The fields of an `outcomes` message, with names that are not yet replaced by ids.
struct OutcomeFields {
    std::string_view zone;
    std::string_view endpoint;
    RequestCounts attempts;
    Micros meanLatency{};
    Micros interval{};
};

std::optional<OutcomeFields> readOutcomes(const Message& message) {
    const auto zone = message.find("zone");
    const auto endpoint = message.find("server");
    const auto attempts = readRequestCounts(message);
    const auto interval = readDuration(message, "span_ms");
    if (!zone || !endpoint || !attempts || !interval || attempts->failed > attempts->total) return {};
    // The mean latency is that of successful attempts, and may be missing if there were none.
    const bool hasLatency = message.find("mean_ms") || attempts->total > attempts->failed;
    const auto meanLatency = hasLatency ? readDuration(message, "mean_ms") : Micros{};
    if (!meanLatency) return {};
    return OutcomeFields{*zone, *endpoint, *attempts, *meanLatency, *interval};
}

/// The fields of a `demand` message, with names that are not yet replaced by ids.
struct DemandFields {
    std::string_view requestClass;
    RequestCounts requests; ///< `failed` may exceed `total`: it can include requests of earlier intervals
    Micros interval{};
};

std::optional<DemandFields> readDemand(const Message& message) {
    const auto requestClass = message.find("class");
    const auto requests = readRequestCounts(message);
    const auto interval = readDuration(message, "span_ms");
    if (!requestClass || !requests || !interval) return {};
    return DemandFields{*requestClass, *requests, *interval};
}

/// Parses a list of names and numbers such as `queue:7,util:0.61`, where `separator` is the character between
/// the name and the number. Returns std::nullopt if an element is invalid. Unknown names are ignored.
std::optional<LoadReport> parseLoadReport(std::string_view text, char separator) {
    LoadReport report;
    bool valid = true;
    forEachToken(text, ',', [&](std::string_view pair) {
        while (pair.starts_with(' ')) pair.remove_prefix(1);
        const auto end = pair.find(separator);
        const auto value = end == std::string_view::npos ? std::nullopt : parseNumber(pair.substr(end + 1));
        valid = valid && value && *value <= kMaxLoadValue;
        if (valid) config::setLoadField(pair.substr(0, end), *value, report);
    });
    return valid ? std::optional(report) : std::nullopt;
}

/// Parses the body of a probe's response, such as `TEXT inflight=7, queue=2`. The prefix and the line end are
/// optional.
std::optional<LoadReport> parseProbeBody(std::string_view body) {
    constexpr std::string_view kPrefix = "TEXT ";
    while (body.ends_with('\n') || body.ends_with('\r')) body.remove_suffix(1);
    if (body.starts_with(kPrefix)) body.remove_prefix(kPrefix.size());
    return parseLoadReport(body, '=');
}

Counter counterOf(ProbeStatus status) {
    static constexpr Counter kCounters[] = {Counter::ProbesOk,          Counter::ProbesError,
                                            Counter::ProbesRejected,    Counter::ProbesTimedOut,
                                            Counter::ProbesUnreachable, Counter::ProbesBroken};
    return kCounters[static_cast<std::size_t>(status)];
}

} // namespace

InputTranslator::InputTranslator(BatchRunner& batches, UpdateQueue& updates, NameRegistry& names,
                                 Counters& counters, std::uint32_t proxyCount)
    : batches_(batches), updates_(updates), names_(names), counters_(counters), proxyCount_(proxyCount) {}

std::optional<ProxyId> InputTranslator::readProxy(const Message& message) const {
    const auto proxy = message.count("proxy", kMaxId);
    if (!proxy || *proxy >= proxyCount_) return {};
    return ProxyId{static_cast<std::uint16_t>(*proxy)};
}

std::optional<ZoneId> InputTranslator::handleAgent(const Message& message, PushStream& stream) {
    const auto name = message.find("zone");
    const auto zone = name ? names_.zone(*name) : std::nullopt;
    if (!zone) {
        counters_.recordIgnored(Counter::BadName, "agent: field 'zone' is missing or names an unknown zone");
        return {};
    }
    counters_.add(Counter::Agents);
    collectors_.joined(*zone, stream);
    return zone;
}

std::optional<ProxyId> InputTranslator::handleHello(const Message& message, PushStream& stream) {
    const auto proxy = readProxy(message);
    const auto zoneName = message.find("zone");
    const auto zone = zoneName ? names_.zone(*zoneName) : std::nullopt;
    const auto weight = message.number("weight");
    const auto fresh = message.flag("fresh");
    if (!proxy || !zone || !weight || !fresh) {
        const bool unknownZone = proxy && zoneName && !zone;
        if (unknownZone)
            counters_.recordIgnored(Counter::BadName, "hello: unknown zone '" + std::string(*zoneName) + "'");
        else
            counters_.recordIgnored(Counter::BadField, "hello: missing or invalid field");
        return {};
    }
    if (updates_.hasNewerSession(*proxy, stream)) {
        counters_.recordIgnored(Counter::Stale, "hello: the proxy has joined on a newer connection");
        return {};
    }
    counters_.add(Counter::Hellos);
    if (updates_.sessionOpened(*proxy, *zone, stream)) counters_.add(Counter::Takeovers);
    batches_.openBatch().proxyJoined(*proxy, *zone, *weight, *fresh);
    return proxy;
}

void InputTranslator::streamClosed(ProxyId proxy, const PushStream& stream) {
    if (!updates_.sessionClosed(proxy, stream)) return;
    counters_.add(Counter::StreamsEnded);
    batches_.openBatch().proxyLeft(proxy);
}

void InputTranslator::streamActive(ProxyId proxy, const PushStream& stream) {
    updates_.inputReceived(proxy, stream, batches_.now());
}

void InputTranslator::handleAck(const Message& message, ProxyId proxy, const PushStream& stream) {
    const auto namedProxy = readProxy(message);
    const auto mark = message.count("mark", kMaxId);
    const bool valid = mark && namedProxy && *namedProxy == proxy && readDuration(message, "took_ms");
    if (!valid)
        counters_.recordIgnored(Counter::BadField,
                                "ack: missing or invalid field, or not this stream's proxy");
    if (!updates_.ownsSession(proxy, stream)) return counters_.add(Counter::Stale);
    if (!valid) return updates_.unusableAcknowledgementReceived(proxy);
    const BarrierId barrier{static_cast<std::uint16_t>(*mark)};
    if (!updates_.barrierAcknowledged(proxy, barrier)) {
        counters_.recordIgnored(Counter::BadMark, "ack: no unacknowledged message has this mark");
        return updates_.unusableAcknowledgementReceived(proxy);
    }
    counters_.add(Counter::Acks);
    batches_.openBatch().barrierAcknowledged(proxy, barrier);
}

/// Always returns false.
bool InputTranslator::ignore(Counter counter, std::string_view detail) {
    counters_.recordIgnored(counter, detail);
    return false;
}

bool InputTranslator::handleOutcomes(const Message& message) {
    const auto fields = readOutcomes(message);
    if (!fields) return ignore(Counter::BadField, "outcomes: missing or invalid field");
    const auto zone = names_.zone(fields->zone);
    const auto endpoint = names_.endpoint(fields->endpoint);
    if (!zone || !endpoint)
        return ignore(Counter::BadName, "outcomes: unknown zone '" + std::string(fields->zone) +
                                            "' or endpoint '" + std::string(fields->endpoint) + "'");
    EndpointLoadReport report{
        *endpoint,        *zone, fields->attempts.total, fields->attempts.failed, fields->meanLatency,
        fields->interval, {}};
    if (const auto text = message.find("load")) {
        const auto load = parseLoadReport(*text, ':');
        if (!load)
            return ignore(Counter::BadField, "outcomes: invalid load report '" + std::string(*text) + "'");
        report.load = *load;
    }
    counters_.add(Counter::Outcomes);
    batches_.openBatch().reportLoad(report);
    return true;
}

bool InputTranslator::handleDemand(const Message& message, std::optional<ProxyId> sender) {
    const auto proxy = readProxy(message);
    const auto fields = readDemand(message);
    const bool namesAnotherProxy = sender && proxy && *sender != *proxy;
    if (!proxy || namesAnotherProxy || !fields)
        return ignore(Counter::BadField, "demand: missing or invalid field, or not this stream's proxy");
    const auto requestClass = names_.requestClass(fields->requestClass);
    if (!requestClass)
        return ignore(Counter::BadName,
                      "demand: unknown request class '" + std::string(fields->requestClass) + "'");
    counters_.add(Counter::Demands);
    batches_.openBatch().reportDemand(
        {*proxy, *requestClass, fields->requests.total, fields->requests.failed, fields->interval});
    return true;
}

bool InputTranslator::updateEndpoints(EndpointListUpdate kind, const json::Value& members) {
    std::vector<EndpointUpdate> updates;
    bool allValid = true;
    for (std::size_t k = 0; k < members.size(); ++k) {
        const auto parsed = parseEndpointEntry(members[k], names_);
        if (const auto* invalid = std::get_if<InvalidField>(&parsed)) {
            recordInvalidEntry(k, members[k], invalid->name);
            allValid = false;
            continue;
        }
        const auto& entry = std::get<EndpointEntry>(parsed);
        EndpointUpdate update = entry.update;
        update.id = names_.registerEndpoint(entry.name);
        if (!entry.address.empty()) names_.setAddress(update.id, entry.address);
        updates.push_back(update);
    }
    if (allValid)
        batches_.openBatch().updateEndpoints(kind, updates);
    else if (!updates.empty())
        batches_.openBatch().updateEndpoints(
            kind == EndpointListUpdate::Snapshot ? EndpointListUpdate::Delta : kind, updates);
    return allValid;
}

void InputTranslator::recordInvalidEntry(std::size_t index, const json::Value& member,
                                         std::string_view invalidField) {
    std::string text = "members[" + std::to_string(index) + "]";
    if (const auto* name = json::textOf(member, "id")) text += " '" + *name + "'";
    text.append(": field '").append(invalidField).append("' is missing or invalid");
    counters_.recordIgnored(Counter::BadEntry, text);
}

void InputTranslator::probeCompleted(EndpointId endpoint, ProbeStatus status, Micros latency,
                                     std::string_view body) {
    counters_.add(counterOf(status));
    const auto load = parseProbeBody(body);
    if (!load)
        counters_.recordIgnored(Counter::BadField,
                                "probe response: load report expected, such as 'inflight=7, queue=2'");
    batches_.openBatch().probeCompleted({endpoint, status, latency, load.value_or(LoadReport{})});
}

} // namespace zincstack::net
