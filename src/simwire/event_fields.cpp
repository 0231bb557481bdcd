#include "simwire/event_fields.h"

#include <array>
#include <limits>

#include "config/start_settings.h"

namespace zincstack::simwire {

namespace {

constexpr std::uint64_t kMaxBarrier = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t kEndpointEntryBytes = 24;

/// Indexed by the value of the field Form.
constexpr std::array kListUpdates = {EndpointListUpdate::Cached, EndpointListUpdate::PollFailed,
                                     EndpointListUpdate::Delta, EndpointListUpdate::Snapshot};
constexpr auto kLastEndpointState = static_cast<std::uint8_t>(EndpointState::Draining);
constexpr auto kLastProbeStatus = static_cast<std::uint16_t>(ProbeStatus::ProtocolError);

EndpointUpdate readEndpointEntry(FieldReader& reader) {
    EndpointUpdate entry;
    entry.id = reader.endpoint("NodesList.Server");
    const auto state = reader.integer<std::uint8_t>("NodesList.State");
    if (state > kLastEndpointState)
        reader.fail("NodesList.State", "unknown endpoint state " + std::to_string(state));
    entry.state = static_cast<EndpointState>(state);
    entry.startedAt = reader.duration("NodesList.ReadyAtS");
    entry.weight = reader.float32("NodesList.Share");
    if (entry.weight < 0)
        reader.fail("NodesList.Share", "weight is negative: " + std::to_string(entry.weight));
    entry.pod = {reader.integer<std::uint16_t>("NodesList.Pod")};
    reader.integer<std::uint16_t>("NodesList.GenerationHw");
    entry.zone = {reader.integer<std::uint8_t>("NodesList.Locality")};
    return entry;
}

} // namespace

std::uint32_t readInstance(FieldReader& reader) { return reader.integer<std::uint32_t>("Who"); }

ProxyJoin readProxyJoin(FieldReader& reader) {
    ProxyJoin join;
    join.proxy = {reader.integer<std::uint16_t>("Proxy")};
    join.zone = {reader.integer<std::uint8_t>("Locality")};
    join.expectedRate = reader.float32("Share");
    join.hasOnlyBootstrapTable = reader.boolean("Flag");
    reader.expectEnd();
    return join;
}

BarrierAcknowledgement readBarrierAcknowledgement(FieldReader& reader) {
    BarrierAcknowledgement acknowledgement;
    acknowledgement.proxy = {reader.integer<std::uint16_t>("Proxy")};
    const auto number = reader.integer<std::uint64_t>("Epoch");
    if (number > kMaxBarrier)
        reader.fail("Epoch", "barrier number " + std::to_string(number) + " is above 65535");
    acknowledgement.barrier = {static_cast<std::uint16_t>(number)};
    reader.duration("DelaySeenS");
    reader.expectEnd();
    return acknowledgement;
}

DemandReport readDemandReport(FieldReader& reader) {
    DemandReport report;
    report.requests = reader.integer<std::uint32_t>("TriesN");
    report.proxy = {reader.integer<std::uint16_t>("Proxy")};
    report.requestClass = {reader.integer<std::uint16_t>("Band")};
    report.interval = reader.duration("ElapsedS");
    report.unanswered = reader.integer<std::uint32_t>("Unanswered");
    reader.expectEnd();
    return report;
}

void readEndpointList(FieldReader& reader, std::vector<EndpointUpdate>& entries) {
    const auto count = reader.integer<std::uint32_t>("NodesList");
    if (reader.remaining() != std::size_t{count} * kEndpointEntryBytes)
        reader.fail("NodesList", std::to_string(count) + " entries need " +
                                     std::to_string(std::size_t{count} * kEndpointEntryBytes) +
                                     " bytes, got " + std::to_string(reader.remaining()));
    entries.clear();
    for (std::uint32_t number = 0; number < count; ++number) entries.push_back(readEndpointEntry(reader));
}

EndpointListUpdate readEndpointListUpdate(FieldReader& reader) {
    const auto form = reader.integer<std::uint8_t>("Form");
    if (form >= kListUpdates.size())
        reader.fail("Form", "unknown kind of endpoint list " + std::to_string(form));
    reader.integer<std::uint64_t>("Epoch");
    return kListUpdates[form];
}

EndpointLoadReport readLoadReportHeader(FieldReader& reader) {
    EndpointLoadReport report;
    report.proxyZone = {reader.integer<std::uint8_t>("Locality")};
    report.endpoint = reader.endpoint("Server");
    report.attempts = reader.integer<std::uint32_t>("TriesN");
    report.failures = reader.integer<std::uint32_t>("Unanswered");
    report.meanLatency = reader.duration("DelaySeenS");
    report.interval = reader.duration("ElapsedS");
    return report;
}

ProbeResult readProbeResultHeader(FieldReader& reader) {
    ProbeResult result;
    result.endpoint = reader.endpoint("Server");
    const auto status = reader.integer<std::uint16_t>("Status");
    if (status > kLastProbeStatus) reader.fail("Status", "unknown probe status " + std::to_string(status));
    result.status = static_cast<ProbeStatus>(status);
    result.latency = reader.duration("DelaySeenS");
    return result;
}

LoadReport readLoadReport(FieldReader& reader, const std::vector<std::string>& columns) {
    LoadReport report;
    const auto count = reader.integer<std::uint8_t>("Report");
    for (std::uint8_t column = 0; column < count; ++column) {
        const double value = reader.float32("Report");
        if (column < columns.size()) config::setLoadField(columns[column], value, report);
    }
    return report;
}

} // namespace zincstack::simwire
