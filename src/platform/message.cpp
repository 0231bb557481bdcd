#include "platform/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace zincstack::net {

std::optional<double> parseNumber(std::string_view text) {
    double out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(out) || out < 0) return {};
    return out;
}

std::optional<Message> parseMessage(std::string_view line) {
    Message out;
    bool whole = true;
    eachPart(line, ' ', [&](std::string_view word) {
        const auto equals = word.find('=');
        if (out.kind.empty())
            out.kind = word;
        else if (equals == std::string_view::npos || equals == 0)
            whole = false;
        else
            out.words.emplace_back(word.substr(0, equals), word.substr(equals + 1));
    });
    if (!whole || out.kind.empty()) return {};
    return out;
}

std::optional<std::string_view> Message::find(std::string_view name) const {
    const auto at = std::ranges::find(words, name, &decltype(words)::value_type::first);
    if (at == words.end()) return {};
    return at->second;
}

std::optional<double> Message::number(std::string_view name) const {
    const auto text = find(name);
    return text ? parseNumber(*text) : std::nullopt;
}

std::optional<std::uint32_t> Message::count(std::string_view name, std::uint32_t most) const {
    const auto value = number(name);
    if (!value || *value > most || *value != std::floor(*value)) return {};
    return static_cast<std::uint32_t>(*value);
}

std::optional<Micros> Message::millis(std::string_view name) const {
    constexpr double kMillisMost = 1e12;
    const auto value = number(name);
    if (!value || *value > kMillisMost) return {};
    return Micros(std::llround(*value * 1e3));
}

std::optional<bool> Message::flag(std::string_view name) const {
    const auto value = count(name, 1);
    if (!value) return {};
    return *value == 1;
}

} // namespace zincstack::net
