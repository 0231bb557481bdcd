// Runs many planners for the simulator: takes one batch of events and returns one reply of actions. Only
// translates between the simulator's protocol and the planner's interface; the planners make all decisions.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "planner/planner.h"
#include "simwire/codec.h"
#include "simwire/event_codes.h"
#include "simwire/planner_instance.h"

namespace zincstack::simwire {

/// Owns the planner instances, the endpoint lists that events refer to by number, and the reply.
class Host {
public:
    /// Receives warnings for the operator, for example about an unknown event code.
    using Notice = std::function<void(std::string_view)>;
    explicit Host(Notice notice);
    ~Host() = default;
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    /// Handles all events of a batch, lets the affected planners decide, and returns their actions. The reply
    /// stays valid until the next call. Throws InputError if the batch is malformed.
    std::span<const std::byte> processBatch(const BatchHeader& header, std::span<const std::byte> body);

private:
    struct EventHandler;
    /// Returns nullptr if the code is unknown.
    static const EventHandler* findHandler(std::uint8_t code);

    void handleEvent(std::uint8_t code, std::span<const std::byte> fields, std::size_t offset);
    /// Gives a notice the first time that a code occurs.
    void reportUnknownEvent(std::uint8_t code, std::size_t offset);
    /// Lets each planner that had an event in the batch decide, in the order of their first events.
    void decide();

    // One handler for each event. It reads all fields of the event and passes them to the planner.
    void handleDemandReport(FieldReader& reader);
    void handleTimerExpired(FieldReader& reader);
    void handleProxyLeft(FieldReader& reader);
    void handleBarrierAcknowledged(FieldReader& reader);
    void handleOpenInstance(FieldReader& reader);
    void handleProxyJoined(FieldReader& reader);
    void handleCloseInstance(FieldReader& reader);
    void handleEndpointList(FieldReader& reader);
    void handleProbeCompleted(FieldReader& reader);
    void handleEndpointUpdate(FieldReader& reader);
    void handleLoadReport(FieldReader& reader);
    // These handlers validate the fields and ignore them.
    void handleRangeHeld(FieldReader& reader);
    void handleRangeLeased(FieldReader& reader);
    void handleRangeLoad(FieldReader& reader);
    void handlePeerMessage(FieldReader& reader);

    /// Returns an open instance and, at its first event of the batch, calls beginBatch() on its planner.
    /// Throws InputError if the instance is not open.
    PlannerInstance& instanceInBatch(std::uint32_t number, const FieldReader& reader);

    Notice notice_;
    Micros clock_{};
    ReplyWriter reply_;
    std::map<std::uint32_t, std::unique_ptr<PlannerInstance>> instances_;
    std::vector<std::uint32_t> instancesInBatch_; // in the order of their first event of the batch
    std::array<std::vector<EndpointUpdate>, kEndpointListSlots> endpointLists_;
    std::array<bool, 256> unknownEventsReported_{}; // by code
};

} // namespace zincstack::simwire
