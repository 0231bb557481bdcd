#include "config/operator_config.h"

#include <array>
#include <cmath>
#include <fstream>
#include <iterator>

#include "config/schemas.h"
#include "net/address.h"

namespace zincstack::config {

namespace {

constexpr std::size_t kFileBytesMost = 16 * 1024 * 1024;

std::vector<json::Fault> faultsOfTree(const json::Value& all) {
    auto out = json::faultsOf(all, kOperatorSchema);
    if (!out.empty()) return out;
    const json::Value& channel = json::member(all, "channel"); // what a schema can't say
    if (const auto* listen = json::textOf(channel, "listen"); listen && !net::parseAddress(*listen))
        out.push_back({"/channel/listen", "no address: '" + *listen + "'"});
    const json::Value &beat = json::member(channel, "beat_s"), &lease = json::member(channel, "lease_s");
    const PubsubConfig usual;
    const auto secondsOf = [](const json::Value& value, Micros absent) {
        return value.is_number() ? value.get<double>() : static_cast<double>(absent.count()) / 1e6;
    };
    if (secondsOf(lease, usual.leaseDuration) < 2 * secondsOf(beat, usual.heartbeatInterval))
        out.push_back({"/channel/lease_s", "a lease shorter than two beats"});
    return out;
}

template <class T>
void take(const json::Value& from, const char* name, T& into) {
    const json::Value& value = json::member(from, name);
    if (value.is_null()) return;
    if constexpr (std::is_same_v<T, Micros>)
        into = Micros(std::llround(value.get<double>() * 1e6));
    else
        into = value.get<T>();
}

} // namespace

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw InputError(path + ": can't be read");
    try {
        std::string out{std::istreambuf_iterator<char>(file), {}};
        if (out.size() <= kFileBytesMost) return out;
    } catch (const std::ios_base::failure&) { throw InputError(path + ": can't be read"); } // a folder, say
    throw InputError(path + ": too large");
}

std::vector<json::Fault> findOperatorConfigErrors(std::string_view text) {
    try {
        return faultsOfTree(json::read(text));
    } catch (const InputError& error) { return {{"", error.what()}}; }
}

OperatorConfig readOperatorConfig(std::string_view text) {
    const json::Value all = json::read(text);
    const auto faults = faultsOfTree(all);
    if (!faults.empty()) throw InputError(faults[0].pointer + ": " + faults[0].what);
    OperatorConfig out;
    const json::Value& log = json::member(all, "log");
    static constexpr std::array<std::string_view, 4> kLevels{"debug", "info", "warn", "critical"};
    if (const auto* format = json::textOf(log, "format")) out.log.json = *format == "json";
    if (const auto* level = json::textOf(log, "level"))
        for (std::uint8_t k = 0; k < kLevels.size(); ++k)
            if (kLevels[k] == *level) out.log.least = k;
    if (const json::Value& channel = json::member(all, "channel"); channel.is_object()) {
        PubsubConfig& into = out.channel.emplace();
        take(channel, "listen", into.listen);
        take(channel, "subscribers", into.subscribers);
        take(channel, "window_lines", into.windowLines);
        take(channel, "window_bytes", into.windowBytes);
        take(channel, "memory_bytes", into.memoryBytes);
        take(channel, "remembered", into.maxTombstones);
        take(channel, "beat_s", into.heartbeatInterval);
        take(channel, "lease_s", into.leaseDuration);
        take(channel, "stall_s", into.stallTimeout);
        take(channel, "back_per_second", into.reconnectsPerSecond);
    }
    return out;
}

OperatorConfig loadOperatorConfig(const std::string& path) {
    if (path.empty()) return {};
    try {
        return readOperatorConfig(readFile(path));
    } catch (const InputError& error) {
        const std::string what = error.what();
        throw InputError(what.starts_with(path) ? what : path + ": " + what);
    }
}

} // namespace zincstack::config
