#include "config/start_file.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace zincstack::net {

namespace {

std::string plainWord(std::string text) {
    std::ranges::replace_if(text, [](char one) { return one == ' ' || one == ',' || one == '\n'; }, '_');
    return text;
}

const std::string& required(const json::Value& from, const char* name) {
    const auto* text = json::textOf(from, name);
    if (!text || text->empty())
        throw InputError("configuration: the field " + std::string(name) + " is missing or no text");
    return *text;
}
/// A limit, or `absent` where it is not told.
std::uint32_t limitOr(std::uint32_t absent, const json::Value& limits, const char* name) {
    const json::Value& value = json::member(limits, name);
    if (value.is_null()) return absent;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > UINT32_MAX)
        throw InputError("configuration: the field limits." + std::string(name) + " is no whole number: '" +
                         value.dump() + "'");
    return value.get<std::uint32_t>();
}
/// As the simulator's start text would have it.
std::string wordOf(const json::Value& value) {
    const auto* text = value.get_ptr<const std::string*>();
    return plainWord(text ? *text : value.dump());
}

std::uint64_t seedOf(const std::string& text) {
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        throw InputError("configuration: the field seed is no whole number: '" + text + "'");
    return out;
}

} // namespace

void flatten(const json::Value& value, const std::string& path, config::FlatSettings& into) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.is_null()) return;
    if (value.is_object()) {
        for (const auto& [name, item] : value.items()) flatten(item, below(name), into);
    } else if (!value.is_array()) {
        into[path] = wordOf(value);
    } else if (std::ranges::any_of(value, [](const auto& one) { return one.is_structured(); })) {
        for (std::size_t k = 0; k < value.size(); ++k) flatten(value[k], below(std::to_string(k)), into);
        into[below("count")] = std::to_string(value.size());
    } else {
        std::string joined;
        for (const auto& item : value)
            joined.append(joined.empty() && &item == &value.front() ? "" : ",") += wordOf(item);
        into[path] = joined;
    }
}

StartFile readStartFile(std::string_view text) {
    const json::Value all = json::read(text);
    StartFile out;
    out.name = required(all, "name");
    out.listen = required(all, "listen");
    out.discovery = required(all, "discovery");
    out.seed = seedOf(required(all, "seed"));
    const json::Value& limits = json::member(all, "limits");
    out.sockets = limitOr(out.sockets, limits, "sockets");
    out.memoryMb = limitOr(out.memoryMb, limits, "memory_mb");
    out.known = json::member(all, "known");
    const json::Value& terms = json::member(all, "settings");
    if (!terms.is_object()) throw InputError("configuration: the field settings is missing or no object");
    flatten(terms, "", out.flat);
    return out;
}

StartFile reloadStartFile() {
    const char* path = std::getenv("PROXY_CONFIG");
    if (!path || !*path) throw InputError("environment: PROXY_CONFIG is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw InputError("environment: PROXY_CONFIG names a file that can't be read: '" + std::string(path) +
                         "'");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return readStartFile(text);
}

StartFile loadStartFile() {
    StartFile out = reloadStartFile();
    const std::pair<const char*, std::string&> overriding[] = {
        {"PROXY_NAME", out.name}, {"PROXY_LISTEN", out.listen}, {"PROXY_DISCOVERY", out.discovery}};
    for (const auto& [variable, field] : overriding)
        if (const char* value = std::getenv(variable); value && *value) field = value;
    return out;
}

} // namespace zincstack::net
