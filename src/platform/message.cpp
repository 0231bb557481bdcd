#include "platform/message.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace zincstack::net {

namespace {

constexpr double kMaxMillis = 1e12; // keeps the value in microseconds within 64 bits

} // namespace

std::optional<double> parseNumber(std::string_view text) {
    const char* const textBegin = text.data();
    const char* const textEnd = textBegin + text.size();
    double number = 0;
    const auto [end, error] = std::from_chars(textBegin, textEnd, number);
    if (error != std::errc{} || end != textEnd || !std::isfinite(number) || number < 0) return {};
    return number;
}

std::optional<Message> parseMessage(std::string_view line) {
    Message message;
    bool valid = true;
    forEachToken(line, ' ', [&](std::string_view word) {
        const auto equals = word.find('=');
        if (message.kind.empty())
            message.kind = word;
        else if (equals == std::string_view::npos || equals == 0)
            valid = false;
        else
            message.fields.push_back({word.substr(0, equals), word.substr(equals + 1)});
    });
    if (!valid || message.kind.empty()) return {};
    return message;
}

std::optional<std::string_view> Message::find(std::string_view name) const {
    const auto found = std::ranges::find(fields, name, &Field::name);
    if (found == fields.end()) return {};
    return found->value;
}

std::optional<double> Message::number(std::string_view name) const {
    const auto text = find(name);
    return text ? parseNumber(*text) : std::nullopt;
}

std::optional<std::uint32_t> Message::count(std::string_view name, std::uint32_t max) const {
    const auto value = number(name);
    if (!value || *value > max || *value != std::floor(*value)) return {};
    return static_cast<std::uint32_t>(*value);
}

std::optional<Micros> Message::millis(std::string_view name) const {
    const auto value = number(name);
    if (!value || *value > kMaxMillis) return {};
    return Micros(std::llround(*value * 1e3));
}

std::optional<bool> Message::flag(std::string_view name) const {
    const auto value = count(name, 1);
    if (!value) return {};
    return *value == 1;
}

} // namespace zincstack::net
