// Log names and text format of planner events.
#include "planner/planner_event.h"

namespace zincstack {

namespace {

std::string field(std::string_view name, const std::string& value) {
    return " " + std::string(name) + "=" + value;
}

template <class EndpointEvent>
std::string endpointFields(const EndpointEvent& event) {
    return field("endpoint", std::to_string(event.endpoint.value)) +
           field("attempts", std::to_string(event.attempts)) +
           field("failures", std::to_string(event.failures));
}

template <class SheddingEvent>
std::string sheddingFields(const SheddingEvent& event) {
    return field("demand", std::to_string(event.demand)) +
           field("best_capacity", std::to_string(event.bestCapacity)) +
           field("overload", std::to_string(event.overload));
}

struct EventNames {
    std::string_view operator()(const EndpointEjected&) const { return "endpoint_ejected"; }
    std::string_view operator()(const EndpointReadmitted&) const { return "endpoint_readmitted"; }
    std::string_view operator()(const LoadSheddingStarted&) const { return "load_shedding_started"; }
    std::string_view operator()(const LoadSheddingStopped&) const { return "load_shedding_stopped"; }
    std::string_view operator()(const UpdateDeadlock&) const { return "update_deadlock"; }
    std::string_view operator()(const WarmUpLimitStarted&) const { return "warm_up_limit_started"; }
    std::string_view operator()(const WarmUpLimitStopped&) const { return "warm_up_limit_stopped"; }
};

struct EventFields {
    std::string operator()(const EndpointEjected& event) const { return endpointFields(event); }
    std::string operator()(const EndpointReadmitted& event) const { return endpointFields(event); }
    std::string operator()(const LoadSheddingStarted& event) const { return sheddingFields(event); }
    std::string operator()(const LoadSheddingStopped& event) const { return sheddingFields(event); }
    std::string operator()(const UpdateDeadlock& event) const {
        return field("table", std::to_string(event.table.value)) +
               field("rate_limit_fraction", std::to_string(event.rateLimitFraction));
    }
    std::string operator()(const WarmUpLimitStarted& event) const {
        return field("table", std::to_string(event.table.value)) +
               field("admitted_fraction", std::to_string(event.admittedFraction));
    }
    std::string operator()(const WarmUpLimitStopped& event) const {
        return field("table", std::to_string(event.table.value));
    }
};

} // namespace

std::string_view eventName(const PlannerEvent& event) { return std::visit(EventNames{}, event); }

std::string eventText(const PlannerEvent& event) {
    return std::string(eventName(event)) + std::visit(EventFields{}, event);
}

} // namespace zincstack
