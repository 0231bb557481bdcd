#include "config/start_file.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <limits>

namespace zincstack::config {

namespace {

constexpr int kSeedBase = 16;

InputError startFileError(const std::string& field, const std::string& fault) {
    return InputError::inDocument("configuration", "the field " + field + " is " + fault, field);
}

InputError environmentError(const std::string& reason) {
    return InputError::inDocument("environment", reason, "PROXY_CONFIG");
}

const std::string& requireText(const json::Value& object, const char* name) {
    const auto* text = json::textOf(object, name);
    if (!text || text->empty()) throw startFileError(name, "missing or not a non-empty string");
    return *text;
}

std::uint32_t limitOr(std::uint32_t defaultValue, const json::Value& limits, const char* name) {
    const json::Value& value = json::member(limits, name);
    if (value.is_null()) return defaultValue;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
        throw startFileError("limits." + std::string(name),
                             "not a whole number of at most 32 bits: '" + value.dump() + "'");
    return value.get<std::uint32_t>();
}

std::uint64_t parseSeed(const std::string& text) {
    std::uint64_t seed = 0;
    const char* const textEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), textEnd, seed, kSeedBase);
    if (error != std::errc{} || end != textEnd)
        throw startFileError("seed", "not a hexadecimal number of at most 64 bits: '" + text + "'");
    return seed;
}

/// A scalar in the format of the simulator's start text: its separators (space, comma, line feed) are
/// replaced by '_'.
std::string scalarText(const json::Value& value) {
    const auto* string = value.get_ptr<const std::string*>();
    std::string text = string ? *string : value.dump();
    std::ranges::replace_if(
        text, [](char character) { return character == ' ' || character == ',' || character == '\n'; }, '_');
    return text;
}

std::string joinScalars(const json::Value& array) {
    std::string joined;
    for (const auto& item : array) {
        const bool isFirst = &item == &array.front();
        if (!isFirst) joined += ",";
        joined += scalarText(item);
    }
    return joined;
}

std::string childPath(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "." + name;
}

} // namespace

void flatten(const json::Value& value, const std::string& path, FlatSettings& settings) {
    if (value.is_null()) return;
    if (value.is_object()) {
        for (const auto& [name, item] : value.items()) flatten(item, childPath(path, name), settings);
    } else if (!value.is_array()) {
        settings[path] = scalarText(value);
    } else if (std::ranges::any_of(value, [](const auto& item) { return item.is_structured(); })) {
        for (std::size_t index = 0; index < value.size(); ++index)
            flatten(value[index], childPath(path, std::to_string(index)), settings);
        settings[childPath(path, "count")] = std::to_string(value.size());
    } else {
        settings[path] = joinScalars(value);
    }
}

StartFile parseStartFile(std::string_view text) {
    const json::Value root = json::read(text);
    StartFile file;
    file.name = requireText(root, "name");
    file.listen = requireText(root, "listen");
    file.discovery = requireText(root, "discovery");
    file.seed = parseSeed(requireText(root, "seed"));
    const json::Value& limits = json::member(root, "limits");
    file.maxDescriptors = limitOr(file.maxDescriptors, limits, "sockets");
    file.memoryMegabytes = limitOr(file.memoryMegabytes, limits, "memory_mb");
    file.cachedEndpoints = json::member(root, "known");
    const json::Value& settings = json::member(root, "settings");
    if (!settings.is_object()) throw startFileError("settings", "missing or not an object");
    flatten(settings, "", file.settings);
    return file;
}

StartFile reloadStartFile() {
    const char* path = std::getenv("PROXY_CONFIG");
    if (!path || !*path) throw environmentError("PROXY_CONFIG is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw environmentError("PROXY_CONFIG names a file that cannot be read: '" + std::string(path) + "'");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return parseStartFile(text);
}

StartFile loadStartFile() {
    struct Override {
        const char* variable;
        std::string& field;
    };
    StartFile file = reloadStartFile();
    const Override overrides[] = {
        {"PROXY_NAME", file.name}, {"PROXY_LISTEN", file.listen}, {"PROXY_DISCOVERY", file.discovery}};
    for (const auto& [variable, field] : overrides)
        if (const char* value = std::getenv(variable); value && *value) field = value;
    return file;
}

} // namespace zincstack::config
