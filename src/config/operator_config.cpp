#include "config/operator_config.h"

#include <array>
#include <cmath>
#include <fstream>
#include <iterator>
#include <type_traits>
#include <utility>

#include "config/schemas.h"
#include "net/address.h"

namespace zincstack::config {

namespace {

constexpr std::size_t kMaxFileBytes = 16 * 1024 * 1024; // the largest endpoint lists take a few megabytes
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMinHeartbeatsPerLease = 2; // one lost heartbeat must not end a lease

/// The value, which is in seconds, or the default in seconds if the value is absent.
double secondsOr(Micros defaultValue, const json::Value& value) {
    return value.is_number() ? value.get<double>()
                             : static_cast<double>(defaultValue.count()) / kMicrosPerSecond;
}

/// Checks what the schema cannot express. `pubsub` already conforms to the schema.
std::vector<json::ValidationError> findPubsubErrors(const json::Value& pubsub) {
    std::vector<json::ValidationError> errors;
    const auto* listen = json::textOf(pubsub, "listen");
    if (listen && !net::parseAddress(*listen))
        errors.push_back({"/channel/listen", "not an IP address and port: '" + *listen + "'"});
    const PubsubConfig defaults;
    const double heartbeatInterval = secondsOr(defaults.heartbeatInterval, json::member(pubsub, "beat_s"));
    const double leaseDuration = secondsOr(defaults.leaseDuration, json::member(pubsub, "lease_s"));
    if (leaseDuration < kMinHeartbeatsPerLease * heartbeatInterval)
        errors.push_back({"/channel/lease_s", "must be at least twice beat_s"});
    return errors;
}

std::vector<json::ValidationError> findErrors(const json::Value& root) {
    auto errors = json::validate(root, kOperatorSchema);
    if (!errors.empty()) return errors;
    return findPubsubErrors(json::member(root, "channel"));
}

/// Sets the field from a member of the object; if the member is absent, the field keeps its value. Durations
/// are in seconds.
template <class T>
void readMember(const json::Value& object, const char* name, T& field) {
    const json::Value& value = json::member(object, name);
    if (value.is_null()) return;
    if constexpr (std::is_same_v<T, Micros>)
        field = Micros(std::llround(value.get<double>() * kMicrosPerSecond));
    else
        field = value.get<T>();
}

LogConfig readLog(const json::Value& object) {
    static constexpr std::array<std::pair<std::string_view, log::Level>, 4> kLevels{
        {{"debug", log::Level::Debug},
         {"info", log::Level::Info},
         {"warn", log::Level::Warn},
         {"critical", log::Level::Critical}}};
    LogConfig config;
    if (const auto* format = json::textOf(object, "format")) config.json = *format == "json";
    if (const auto* level = json::textOf(object, "level"))
        for (const auto& [name, value] : kLevels)
            if (name == *level) config.minLevel = value;
    return config;
}

PubsubConfig readPubsub(const json::Value& object) {
    PubsubConfig config;
    readMember(object, "listen", config.listen);
    readMember(object, "subscribers", config.maxSubscribers);
    readMember(object, "window_lines", config.windowLines);
    readMember(object, "window_bytes", config.windowBytes);
    readMember(object, "memory_bytes", config.memoryBytes);
    readMember(object, "remembered", config.maxTombstones);
    readMember(object, "beat_s", config.heartbeatInterval);
    readMember(object, "lease_s", config.leaseDuration);
    readMember(object, "stall_s", config.stallTimeout);
    readMember(object, "back_per_second", config.reconnectsPerSecond);
    return config;
}

} // namespace

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw InputError::inDocument(path, "cannot be read");
    try {
        std::string bytes{std::istreambuf_iterator<char>(file), {}};
        if (bytes.size() <= kMaxFileBytes) return bytes;
    } catch (const std::ios_base::failure&) { // a directory, for example
        throw InputError::inDocument(path, "cannot be read");
    }
    throw InputError::inDocument(path, "larger than " + std::to_string(kMaxFileBytes) + " bytes");
}

std::vector<json::ValidationError> findOperatorConfigErrors(std::string_view text) {
    try {
        return findErrors(json::read(text));
    } catch (const InputError& error) { return {{"", error.what()}}; }
}

OperatorConfig readOperatorConfig(std::string_view text) {
    const json::Value root = json::read(text);
    const auto errors = findErrors(root);
    if (!errors.empty()) throw InputError::atField(errors.front().pointer, errors.front().message);
    OperatorConfig config;
    config.log = readLog(json::member(root, "log"));
    const json::Value& pubsub = json::member(root, "channel");
    if (pubsub.is_object()) config.pubsub = readPubsub(pubsub);
    return config;
}

OperatorConfig loadOperatorConfig(const std::string& path) {
    if (path.empty()) return {};
    try {
        return readOperatorConfig(readFile(path));
    } catch (const InputError& error) { throw error.withDocument(path); }
}

} // namespace zincstack::config
