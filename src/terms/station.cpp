#include "terms/station.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace zincstack::net {

namespace {

std::string plainWord(std::string text) {
    std::ranges::replace_if(
        text, [](char one) { return one == ' ' || one == ',' || one == '\n'; }, '_');
    return text;
}

const std::string& required(const Json& from, std::string_view name) {
    const auto* text = from.textOf(name, Json::Kind::Text);
    if (!text || text->empty())
        throw Malformed("configuration: the field " + std::string(name) + " is missing or no text");
    return *text;
}

template <class Whole>
Whole whole(std::string_view name, std::string_view text, int base) {
    Whole out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
    if (error != std::errc{} || end != text.data() + text.size())
        throw Malformed("configuration: the field " + std::string(name) + " is no whole number: '" +
                        std::string(text) + "'");
    return out;
}

} // namespace

void flatten(const Json& value, const std::string& path, terms::FlatTerms& into) {
    const auto below = [&](std::string_view name) {
        return path.empty() ? std::string(name) : path + "." + std::string(name);
    };
    switch (value.kind) {
    case Json::Kind::Null: return;
    case Json::Kind::Object:
        for (std::size_t k = 0; k < value.items.size(); ++k)
            flatten(value.items[k], below(value.names[k]), into);
        return;
    case Json::Kind::List: {
        const bool nested = std::ranges::any_of(value.items, [](const Json& one) {
            return one.kind == Json::Kind::Object || one.kind == Json::Kind::List;
        });
        std::string joined;
        for (std::size_t k = 0; k < value.items.size(); ++k) {
            if (nested)
                flatten(value.items[k], below(std::to_string(k)), into);
            else
                joined.append(k ? "," : "") += plainWord(value.items[k].text);
        }
        if (nested)
            into[below("count")] = std::to_string(value.items.size());
        else
            into[path] = joined;
        return;
    }
    default: into[path] = plainWord(value.text);
    }
}

Station readStation(std::string_view text) {
    const Json all = readJson(text);
    Station out;
    out.name = required(all, "name");
    out.listen = required(all, "listen");
    out.discovery = required(all, "discovery");
    out.seed = whole<std::uint64_t>("seed", required(all, "seed"), 16);
    if (const Json* limits = all.find("limits")) {
        if (const auto* sockets = limits->textOf("sockets", Json::Kind::Number))
            out.sockets = whole<std::uint32_t>("limits.sockets", *sockets, 10);
        if (const auto* memory = limits->textOf("memory_mb", Json::Kind::Number))
            out.memoryMb = whole<std::uint32_t>("limits.memory_mb", *memory, 10);
    }
    if (const Json* known = all.find("known")) out.known = *known;
    const Json* terms = all.find("settings");
    if (!terms || terms->kind != Json::Kind::Object)
        throw Malformed("configuration: the field settings is missing or no object");
    flatten(*terms, "", out.flat);
    return out;
}

Station stationOfFileAnew() {
    const char* path = std::getenv("PROXY_CONFIG");
    if (!path || !*path) throw Malformed("environment: PROXY_CONFIG is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw Malformed("environment: PROXY_CONFIG names a file that can't be read: '" + std::string(path) +
                        "'");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return readStation(text);
}

Station stationOfEnvironment() {
    Station out = stationOfFileAnew();
    const std::pair<const char*, std::string&> overriding[] = {
        {"PROXY_NAME", out.name}, {"PROXY_LISTEN", out.listen}, {"PROXY_DISCOVERY", out.discovery}};
    for (const auto& [variable, field] : overriding)
        if (const char* value = std::getenv(variable); value && *value) field = value;
    return out;
}

} // namespace zincstack::net
