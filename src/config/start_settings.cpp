#include "config/start_settings.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace zincstack::config {

namespace {

constexpr std::size_t kMaxZones = 255; // largest value of FleetConfig::zoneCount
constexpr double kMaxPlanners = 1e6;
constexpr double kMaxProxies = 65536;           // number of values of ProxyId
constexpr double kMaxRequestClasses = 16;       // capacity of RequestClassSet
constexpr std::size_t kMaxQuotedLineBytes = 60; // of an invalid line, in an error message

FleetConfig readFleet(const SettingsReader& reader, std::size_t zones) {
    FleetConfig fleet;
    fleet.zoneCount = static_cast<std::uint8_t>(std::min(zones, kMaxZones));
    fleet.plannerCount = reader.count("Balancers", kMaxPlanners);
    fleet.hasEndpointWeights = reader.text("WeightKind") != "none";
    fleet.mustSubscribeToEndpoints = reader.text("Discovery") == "subscribe";
    fleet.probingAllowed = reader.flagOrFalse("Allowed.MayProbe");
    fleet.reportInterval = reader.durationOrZero("Extra.PeriodS");
    fleet.sharded = reader.numberOrZero("Extra.Ranges") > 0;
    return fleet;
}

ProxyFleetConfig readProxies(SettingsReader& reader) {
    ProxyFleetConfig proxies;
    proxies.proxyCount = reader.count("Extra.DataPlaneSize", kMaxProxies);
    proxies.bootstrapTableSize = static_cast<std::uint32_t>(reader.numberOrZero("Extra.Standing"));
    if (const auto* keyword = reader.find("Extra.ThrottleBy"))
        proxies.throttleMode = reader.mapKeyword<ThrottleMode>(
            "Extra.ThrottleBy", *keyword,
            {{"ratio", ThrottleMode::Fraction}, {"rps", ThrottleMode::Rate}, {"none", ThrottleMode::None}},
            ThrottleMode::None);
    return proxies;
}

ControlChannelLimits readControlChannel(const SettingsReader& reader) {
    ControlChannelLimits limits;
    limits.linesPerSecond = reader.number("Extra.EgressPerS");
    limits.messageOverheadLines = reader.number("Extra.Envelope");
    limits.maxQueuedLines = reader.number("Extra.QueueCap");
    limits.maxMessagesPerProxy = static_cast<std::uint32_t>(reader.numberOrZero("Extra.UpdateCap"));
    limits.messageWindow = reader.durationOrZero("Extra.UpdateWindowS");
    limits.meanTransitTime = reader.durationOrZero("Extra.PushDelayS");
    limits.worstTransitTime = reader.durationOrZero("Extra.WorstTransitS");
    return limits;
}

SafetyLimits readSafetyLimits(const SettingsReader& reader) {
    SafetyLimits limits;
    limits.maxTimeWithoutEndpoint = reader.duration("Extra.BlackholeS");
    limits.drainGracePeriod = reader.duration("Contract.DrainGraceS");
    limits.coldCapacityFraction = reader.number("Contract.StartCapacity");
    limits.warmUpDuration = reader.duration("Contract.ColdS");
    limits.overloadFactor = reader.number("Contract.FallMultiple");
    limits.overloadDuration = reader.duration("Contract.OverloadForS");
    limits.removalIsBinding = !reader.flagOrFalse("Contract.OnlyDrainingBinds");
    return limits;
}

/// Reads the settings of one request class, except those that are lists with an item for each class.
RequestClassConfig readRequestClass(SettingsReader& reader, const std::string& path) {
    RequestClassConfig requestClass;
    requestClass.latencyObjective = reader.duration(path + "AimS");
    requestClass.deadline = reader.duration(path + "DeadlineS");
    requestClass.priorityWeight = reader.number(path + "Worth");
    requestClass.latePriorityWeight = reader.numberOrZero(path + "LateWorth");
    // If the setting is absent or unknown, a request may have had an effect, so it must not be sent twice.
    const auto* effect = reader.find(path + "Effect");
    requestClass.idempotency =
        reader.mapKeyword<Idempotency>(path + "Effect", effect ? *effect : std::string_view{},
                                       {{"retryable", Idempotency::Idempotent},
                                        {"dedup", Idempotency::IdempotencyKeyed},
                                        {"fragile", Idempotency::NonIdempotent}},
                                       Idempotency::NonIdempotent);
    return requestClass;
}

void readRequestClasses(SettingsReader& reader, StartSettings& settings) {
    const auto classCount = reader.count("Classes.count", kMaxRequestClasses);
    if (classCount == 0)
        throw settingsError("Classes.count is 0; at least one request class is required", "Classes.count");
    const auto zoneLocal = reader.list("Extra.ZoneBound");
    const auto writes = reader.list("Extra.ClassWrites");
    for (std::uint32_t index = 0; index < classCount; ++index) {
        const std::string path = "Classes." + std::to_string(index) + ".";
        RequestClassConfig requestClass = readRequestClass(reader, path);
        requestClass.zoneLocal =
            index < zoneLocal.size() && SettingsReader::parseFlag("Extra.ZoneBound", zoneLocal[index]);
        requestClass.writes =
            index >= writes.size() || SettingsReader::parseFlag("Extra.ClassWrites", writes[index]);
        settings.requestClasses.push_back(requestClass);
        const auto* name = reader.find(path + "Name");
        settings.requestClassNames.push_back(name ? *name : std::to_string(index));
    }
}

} // namespace

FlatSettings splitText(std::string_view text) {
    FlatSettings settings;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (line.empty()) continue;
        const auto equals = line.find('=');
        if (equals == std::string_view::npos)
            throw settingsError("no '=' in line '" + std::string(line.substr(0, kMaxQuotedLineBytes)) + "'");
        settings.emplace(line.substr(0, equals), line.substr(equals + 1));
    }
    return settings;
}

StartSettings readStartSettings(const FlatSettings& flatSettings) {
    SettingsReader reader(flatSettings);
    StartSettings settings;
    settings.zoneNames = reader.requiredList("Zones");
    settings.fleet = readFleet(reader, settings.zoneNames.size());
    settings.proxies = readProxies(reader);
    settings.controlChannel = readControlChannel(reader);
    settings.safetyLimits = readSafetyLimits(reader);
    readRequestClasses(reader, settings);
    settings.reportColumns = reader.list("Reporting.Columns");
    settings.tick = reader.durationOrZero("TickS");
    settings.connectTimeout = reader.durationOrZero("Allowed.ConnectTimeoutS");
    settings.notices = reader.takeNotices();
    return settings;
}

void setLoadField(std::string_view name, double value, LoadReport& report) {
    using Field = std::optional<double> LoadReport::*;
    static constexpr std::pair<std::string_view, Field> kFields[] = {
        {"busy", &LoadReport::utilization},
        {"util", &LoadReport::utilization},
        {"q", &LoadReport::queueLength},
        {"queue", &LoadReport::queueLength},
        {"rif", &LoadReport::inFlight},
        {"inflight", &LoadReport::inFlight},
        {"lat_ms", &LoadReport::serviceTimeMillis},
        {"latency_ms", &LoadReport::serviceTimeMillis}};
    for (const auto& [known, field] : kFields)
        if (known == name) report.*field = value;
}

} // namespace zincstack::config
