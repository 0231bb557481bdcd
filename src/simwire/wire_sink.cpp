#include "simwire/wire_sink.h"

#include <string>
#include <string_view>

#include "simwire/event_codes.h"

namespace zincstack::simwire {

void WireSink::setWeight(TableId table, EndpointId endpoint, double weight) {
    reply_.record(ActionCode::SetWeight, instance_, endpoint, table.value, static_cast<float>(weight));
}

void WireSink::assignTable(ProxyId proxy, RequestClassSet classes, TableId table) {
    reply_.record(ActionCode::AssignTable, instance_, classes, table.value, proxy.value);
}

void WireSink::setExcluded(EndpointId endpoint, bool excluded) {
    reply_.record(ActionCode::SetExcluded, instance_, endpoint, static_cast<std::uint8_t>(excluded));
}

void WireSink::setAdmission(std::optional<TableId> table, RequestClassSet classes, double level,
                            RetryPolicy retryPolicy) {
    reply_.record(ActionCode::SetAdmission, instance_, table ? table->value : kAllTables, classes,
                  static_cast<float>(level), static_cast<std::uint8_t>(retryPolicy));
}

void WireSink::requestBarrier(BarrierId barrier, bool everyProxy) {
    reply_.record(ActionCode::RequestBarrier, instance_, static_cast<std::uint8_t>(everyProxy),
                  std::uint64_t{barrier.value});
}

void WireSink::probe(EndpointId endpoint) { reply_.record(ActionCode::Probe, instance_, endpoint); }

void WireSink::subscribeToEndpoints() {
    reply_.record(ActionCode::SubscribeToEndpoints, instance_, std::uint8_t{1});
}

void WireSink::scheduleWakeUp(Micros delay) {
    const double delaySeconds = static_cast<double>(delay.count()) / 1e6;
    reply_.record(ActionCode::ScheduleWakeUp, instance_, kWakeUpTag, delaySeconds);
}

void WireSink::report(const PlannerEvent& event) {
    const std::string line = eventText(event);
    reply_.record(ActionCode::Log, instance_, std::string_view(line));
}

} // namespace zincstack::simwire
