#include "platform/endpoint_entry.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>

namespace zincstack::net {

namespace {

constexpr double kMaxStartMillis = 1e13; // keeps the value in microseconds within 64 bits
constexpr double kMaxPod = 65535;

struct PhaseName {
    std::string_view name;
    EndpointState state;
};
constexpr PhaseName kPhases[] = {{"Gone", EndpointState::Removed},
                                 {"Ready", EndpointState::Ready},
                                 {"Terminating", EndpointState::Draining}};

std::optional<EndpointState> parsePhase(const json::Value& member) {
    const auto* text = json::textOf(member, "phase");
    if (!text) return {};
    const auto* const found = std::ranges::find(kPhases, *text, &PhaseName::name);
    return found == std::end(kPhases) ? std::nullopt : std::optional(found->state);
}

std::optional<ZoneId> parseZone(const json::Value& member, const NameRegistry& names) {
    const auto* text = json::textOf(member, "locality");
    return text ? names.zone(*text) : std::nullopt;
}

/// Returns `defaultValue` if the field is missing or null, and std::nullopt if it is anything other than a
/// finite, non-negative number.
std::optional<double> parseNumber(const json::Value& member, const char* field, double defaultValue) {
    const json::Value& value = json::member(member, field);
    if (value.is_null()) return defaultValue;
    const double number = value.is_number() ? value.get<double>() : -1;
    return std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace

std::variant<EndpointEntry, InvalidField> parseEndpointEntry(const json::Value& member,
                                                             const NameRegistry& names) {
    EndpointEntry entry;
    const auto* name = json::textOf(member, "id");
    if (!name || name->empty()) return InvalidField{"id"};
    entry.name = *name;
    const auto state = parsePhase(member);
    if (!state) return InvalidField{"phase"};
    entry.update.state = *state;
    const bool removed = *state == EndpointState::Removed;

    const auto* address = json::textOf(member, "host_port");
    if (!address && !removed) return InvalidField{"host_port"};
    if (address) entry.address = *address;
    const auto zone = parseZone(member, names);
    if (!zone && !removed) return InvalidField{"locality"};
    if (zone) entry.update.zone = *zone;

    const auto startedAtMillis = parseNumber(member, "up_since_ms", 0);
    if (!startedAtMillis || *startedAtMillis > kMaxStartMillis) return InvalidField{"up_since_ms"};
    const auto weight = parseNumber(member, "size", 1);
    if (!weight) return InvalidField{"size"};
    const auto pod = parseNumber(member, "cell", 0);
    if (!pod || *pod > kMaxPod) return InvalidField{"cell"};
    entry.update.startedAt = Micros(std::llround(*startedAtMillis * 1e3));
    entry.update.weight = *weight;
    entry.update.pod = {static_cast<std::uint16_t>(*pod)};
    return entry;
}

} // namespace zincstack::net
