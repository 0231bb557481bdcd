#include "simwire/host.h"

#include <string>

#include "config/start_settings.h"
#include "simwire/event_fields.h"

namespace zincstack::simwire {

namespace {

/// Codes count from 1 without a gap, so that an event's handler is found by its place.
constexpr bool isOrderedByCode(const auto& handlers) {
    for (std::size_t place = 0; place < handlers.size(); ++place)
        if (static_cast<std::size_t>(handlers[place].code) != place + 1) return false;
    return true;
}

} // namespace

/// What the host does with an event. The wire's name of it begins the messages on its faults.
struct Host::EventHandler {
    EventCode code;
    std::string_view wireName;
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

std::span<const std::byte> Host::play(const BatchHeader& header, std::span<const std::byte> body) {
    clock_ = header.clock;
    reply_.clear();
    std::size_t position = 0;
    for (std::uint32_t number = 0; number < header.records; ++number) {
        const std::size_t offset = kBatchHeaderBytes + position;
        const std::string name = "record " + std::to_string(number); // the reader only refers to it
        FieldReader reader(name, body.subspan(position), offset);
        const auto code = reader.integer<std::uint8_t>("code");
        const auto size = reader.integer<std::uint32_t>("length");
        handleEvent(code, reader.bytes("fields", size), offset + kRecordHeaderBytes);
        position += kRecordHeaderBytes + size;
    }
    if (position != body.size())
        throw InputError("batch.length at offset 4: " + std::to_string(body.size() - position) +
                         " bytes are left after the last record");
    decide();
    return reply_.finish();
}

/// An instance may stand in the list twice, when it was opened again within the batch; it decides once.
void Host::decide() {
    for (const std::uint32_t number : inBatch_) {
        const auto found = instances_.find(number);
        if (found == instances_.end() || !found->second->isInBatch) continue;
        found->second->isInBatch = false;
        found->second->run([](Planner& planner) { planner.decide(); });
    }
    inBatch_.clear();
}

PlannerInstance& Host::instanceInBatch(std::uint32_t number, const FieldReader& reader) {
    const auto found = instances_.find(number);
    if (found == instances_.end())
        reader.fail("Who", "instance " + std::to_string(number) + " was never opened");
    PlannerInstance& instance = *found->second;
    if (instance.isInBatch) return instance;
    instance.isInBatch = true;
    inBatch_.push_back(number);
    instance.run([this](Planner& planner) { planner.beginBatch(clock_); });
    return instance;
}

void Host::handleEvent(std::uint8_t code, std::span<const std::byte> fields, std::size_t offset) {
    const EventHandler* handler = findHandler(code);
    if (!handler) return noticeUnknownEvent(code, offset);
    FieldReader reader(handler->wireName, fields, offset);
    (this->*handler->handle)(reader);
}

void Host::noticeUnknownEvent(std::uint8_t code, std::size_t offset) {
    if (unknownEventsNoticed_[code]) return;
    notice_("event code " + std::to_string(code) + " is not known, skipped at offset " +
            std::to_string(offset));
    unknownEventsNoticed_[code] = true;
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
        planner.proxyJoined(join.proxy, join.zone, join.usualRate, join.hasOnlyBootstrapTable);
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
    const BarrierAcknowledgement reply = readBarrierAcknowledgement(reader);
    instanceInBatch(number, reader).run([&](Planner& planner) {
        planner.barrierAcknowledged(reply.proxy, reply.barrier);
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
        reader.fail("Table", "no list has the number " + std::to_string(number));
    readEndpointList(reader, endpointLists_[number]);
}

void Host::handleEndpointUpdate(FieldReader& reader) {
    const auto number = readInstance(reader);
    const EndpointListUpdate update = readEndpointListUpdate(reader);
    const auto listNumber = reader.integer<std::uint16_t>("Table");
    std::span<const EndpointUpdate> entries;
    if (update != EndpointListUpdate::PollFailed) {
        if (listNumber >= endpointLists_.size())
            reader.fail("Table", "no list has the number " + std::to_string(listNumber));
        entries = endpointLists_[listNumber];
    }
    reader.expectEnd();
    instanceInBatch(number, reader).run([&](Planner& planner) { planner.updateEndpoints(update, entries); });
}

void Host::handleLoadReport(FieldReader& reader) {
    const auto number = readInstance(reader);
    EndpointLoadReport report = readEndpointSums(reader);
    PlannerInstance& instance = instanceInBatch(number, reader); // its settings name the columns that follow
    report.load = readLoadReport(reader, instance.reportColumns());
    reader.expectEnd();
    instance.run([&](Planner& planner) { planner.reportLoad(report); });
}

void Host::handleProbeCompleted(FieldReader& reader) {
    const auto number = readInstance(reader);
    ProbeResult result = readProbeOutcome(reader);
    PlannerInstance& instance = instanceInBatch(number, reader); // its settings name the columns that follow
    result.load = readLoadReport(reader, instance.reportColumns());
    reader.expectEnd();
    instance.run([&](Planner& planner) { planner.probeCompleted(result); });
}

// ---- events that no decision uses ------------------------------------------------------------------------

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
