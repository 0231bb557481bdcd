#include "simwire/host.h"

#include <string>

#include "config/start_settings.h"
#include "simwire/event_fields.h"

namespace zincstack::simwire {

namespace {

/// True if the codes run from 1 without gaps, so that a code is the index of its handler plus 1.
constexpr bool isOrderedByCode(const auto& handlers) {
    for (std::size_t index = 0; index < handlers.size(); ++index)
        if (static_cast<std::size_t>(handlers[index].code) != index + 1) return false;
    return true;
}

} // namespace

/// Handler of one kind of event. Error messages about the event begin with its protocol name.
struct Host::EventHandler {
    EventCode code;
    std::string_view protocolName;
    void (Host::*handle)(FieldReader&);
};

const Host::EventHandler* Host::findHandler(std::uint8_t code) {
    static constexpr std::array<EventHandler, 15> kHandlers{{
        {EventCode::DemandReport, "INTAKE", &Host::handleDemandReport},
        {EventCode::RangeHeld, "HELD", &Host::handleRangeHeld},
        {EventCode::TimerExpired, "TIMEOUT_FIRED", &Host::handleTimerExpired},
        {EventCode::ProxyLeft, "LEFT", &Host::handleProxyLeft},
        {EventCode::BarrierAcknowledged, "TOOK_EFFECT", &Host::handleBarrierAcknowledged},
        {EventCode::RangeLeased, "LEASED", &Host::handleRangeLeased},
        {EventCode::OpenInstance, "OPEN_INSTANCE", &Host::handleOpenInstance},
        {EventCode::ProxyJoined, "DIALLED_IN", &Host::handleProxyJoined},
        {EventCode::CloseInstance, "HALT", &Host::handleCloseInstance},
        {EventCode::EndpointList, "POOL", &Host::handleEndpointList},
        {EventCode::RangeLoad, "RANGE_LOAD", &Host::handleRangeLoad},
        {EventCode::ProbeCompleted, "PROBE_DONE", &Host::handleProbeCompleted},
        {EventCode::EndpointUpdate, "TARGETS", &Host::handleEndpointUpdate},
        {EventCode::LoadReport, "OBSERVED", &Host::handleLoadReport},
        {EventCode::PeerMessage, "NEIGHBOUR_SAYS", &Host::handlePeerMessage},
    }};
    static_assert(isOrderedByCode(kHandlers));
    return code == 0 || code > kHandlers.size() ? nullptr : &kHandlers[code - 1];
}

Host::Host(Notice notice) : notice_(std::move(notice)) {}

std::span<const std::byte> Host::processBatch(const BatchHeader& header, std::span<const std::byte> body) {
    clock_ = header.clock;
    reply_.clear();
    std::size_t position = 0;
    for (std::uint32_t number = 0; number < header.records; ++number) {
        const std::size_t offset = kBatchHeaderBytes + position;
        const std::string name = "record " + std::to_string(number); // must outlive the reader
        FieldReader reader(name, body.subspan(position), offset);
        const auto code = reader.integer<std::uint8_t>("code");
        const auto size = reader.integer<std::uint32_t>("length");
        handleEvent(code, reader.bytes("fields", size), offset + kRecordHeaderBytes);
        position += kRecordHeaderBytes + size;
    }
    if (position != body.size())
        throw InputError("batch.length at offset 4: " + std::to_string(body.size() - position) +
                         " unexpected bytes after the last record");
    decide();
    return reply_.finish();
}

/// An instance that was reopened within the batch is listed twice but decides only once.
void Host::decide() {
    for (const std::uint32_t number : instancesInBatch_) {
        const auto found = instances_.find(number);
        if (found == instances_.end() || !found->second->isInBatch) continue;
        found->second->isInBatch = false;
        found->second->run([](Planner& planner) { planner.decide(); });
    }
    instancesInBatch_.clear();
}

PlannerInstance& Host::instanceInBatch(std::uint32_t number, const FieldReader& reader) {
    const auto found = instances_.find(number);
    if (found == instances_.end()) reader.fail("Who", "instance " + std::to_string(number) + " is not open");
    PlannerInstance& instance = *found->second;
    if (instance.isInBatch) return instance;
    instance.isInBatch = true;
    instancesInBatch_.push_back(number);
    instance.run([this](Planner& planner) { planner.beginBatch(clock_); });
    return instance;
}

void Host::handleEvent(std::uint8_t code, std::span<const std::byte> fields, std::size_t offset) {
    const EventHandler* handler = findHandler(code);
    if (!handler) return reportUnknownEvent(code, offset);
    FieldReader reader(handler->protocolName, fields, offset);
    (this->*handler->handle)(reader);
}

void Host::reportUnknownEvent(std::uint8_t code, std::size_t offset) {
    if (unknownEventsReported_[code]) return;
    notice_("unknown event code " + std::to_string(code) + " at offset " + std::to_string(offset) +
            "; skipping all events of this code");
    unknownEventsReported_[code] = true;
}

// ---- instances -------------------------------------------------------------------------------------------

void Host::handleOpenInstance(FieldReader& reader) {
    const auto number = readInstance(reader);
    const auto seed = reader.integer<std::uint64_t>("RandomSeed");
    const auto size = reader.integer<std::uint32_t>("Env");
    const auto bytes = reader.bytes("Env", size);
    reader.expectEnd();
    const std::string_view text(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    const auto settings = config::readStartSettings(config::splitText(text));
    for (const auto& line : settings.notices) notice_(line);
    instances_[number] = std::make_unique<PlannerInstance>(reply_, number, seed, settings);
    instanceInBatch(number, reader);
}

void Host::handleCloseInstance(FieldReader& reader) {
    const auto number = readInstance(reader);
    reader.expectEnd();
    instances_.erase(number);
}

void Host::handleTimerExpired(FieldReader& reader) {
    const auto number = readInstance(reader);
    reader.integer<std::uint64_t>("Tag");
    reader.expectEnd();
    instanceInBatch(number, reader).run([](Planner& planner) { planner.timerExpired(); });
}

// ---- proxies ---------------------------------------------------------------------------------------------

void Host::handleProxyJoined(FieldReader& reader) {
    const auto number = readInstance(reader);
    const ProxyJoin join = readProxyJoin(reader);
    instanceInBatch(number, reader).run([&](Planner& planner) {
        planner.proxyJoined(join.proxy, join.zone, join.expectedRate, join.hasOnlyBootstrapTable);
    });
}

void Host::handleProxyLeft(FieldReader& reader) {
    const auto number = readInstance(reader);
    const ProxyId proxy{reader.integer<std::uint16_t>("Proxy")};
    reader.expectEnd();
    instanceInBatch(number, reader).run([&](Planner& planner) { planner.proxyLeft(proxy); });
}

void Host::handleBarrierAcknowledged(FieldReader& reader) {
    const auto number = readInstance(reader);
    const BarrierAcknowledgement acknowledgement = readBarrierAcknowledgement(reader);
    instanceInBatch(number, reader).run([&](Planner& planner) {
        planner.barrierAcknowledged(acknowledgement.proxy, acknowledgement.barrier);
    });
}

void Host::handleDemandReport(FieldReader& reader) {
    const auto number = readInstance(reader);
    const DemandReport report = readDemandReport(reader);
    instanceInBatch(number, reader).run([&](Planner& planner) { planner.reportDemand(report); });
}

// ---- endpoints -------------------------------------------------------------------------------------------

void Host::handleEndpointList(FieldReader& reader) {
    const auto number = reader.integer<std::uint16_t>("Table");
    if (number >= endpointLists_.size())
        reader.fail("Table", "endpoint list " + std::to_string(number) + " does not exist, the last is " +
                                 std::to_string(endpointLists_.size() - 1));
    readEndpointList(reader, endpointLists_[number]);
}

void Host::handleEndpointUpdate(FieldReader& reader) {
    const auto number = readInstance(reader);
    const EndpointListUpdate update = readEndpointListUpdate(reader);
    const auto listNumber = reader.integer<std::uint16_t>("Table");
    std::span<const EndpointUpdate> entries;
    if (update != EndpointListUpdate::PollFailed) {
        if (listNumber >= endpointLists_.size())
            reader.fail("Table", "endpoint list " + std::to_string(listNumber) +
                                     " does not exist, the last is " +
                                     std::to_string(endpointLists_.size() - 1));
        entries = endpointLists_[listNumber];
    }
    reader.expectEnd();
    instanceInBatch(number, reader).run([&](Planner& planner) { planner.updateEndpoints(update, entries); });
}

void Host::handleLoadReport(FieldReader& reader) {
    const auto number = readInstance(reader);
    EndpointLoadReport report = readLoadReportHeader(reader);
    PlannerInstance& instance = instanceInBatch(number, reader); // provides the column names
    report.load = readLoadReport(reader, instance.reportColumns());
    reader.expectEnd();
    instance.run([&](Planner& planner) { planner.reportLoad(report); });
}

void Host::handleProbeCompleted(FieldReader& reader) {
    const auto number = readInstance(reader);
    ProbeResult result = readProbeResultHeader(reader);
    PlannerInstance& instance = instanceInBatch(number, reader); // provides the column names
    result.load = readLoadReport(reader, instance.reportColumns());
    reader.expectEnd();
    instance.run([&](Planner& planner) { planner.probeCompleted(result); });
}

// ---- events that are validated and ignored ----------------------------------------------------------------

void Host::handleRangeHeld(FieldReader& reader) {
    const auto number = readInstance(reader);
    reader.float32("Share");
    reader.integer<std::uint16_t>("Sheet");
    reader.endpoint("Server");
    reader.expectEnd();
    instanceInBatch(number, reader);
}

void Host::handleRangeLeased(FieldReader& reader) {
    const auto number = readInstance(reader);
    reader.integer<std::uint16_t>("Sheet");
    reader.boolean("Flag");
    reader.expectEnd();
    instanceInBatch(number, reader);
}

void Host::handleRangeLoad(FieldReader& reader) {
    const auto number = readInstance(reader);
    reader.integer<std::uint16_t>("Band");
    reader.integer<std::uint32_t>("Unanswered");
    reader.integer<std::uint32_t>("TriesN");
    reader.duration("ElapsedS");
    reader.integer<std::uint16_t>("Sheet");
    reader.expectEnd();
    instanceInBatch(number, reader);
}

void Host::handlePeerMessage(FieldReader& reader) {
    const auto number = readInstance(reader);
    reader.integer<std::uint32_t>("OriginPeer");
    const auto size = reader.integer<std::uint16_t>("Content");
    reader.bytes("Content", size);
    reader.expectEnd();
    instanceInBatch(number, reader);
}

} // namespace zincstack::simwire
