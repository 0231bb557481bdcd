#include "platform/message.h"

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
    const std::string_view kind = takeToken(line, ' ');
    if (kind.empty()) return {};
    bool valid = true;
    forEachToken(line, ' ', [&](std::string_view field) {
        const auto equals = field.find('=');
        valid = valid && equals != std::string_view::npos && equals != 0;
    });
    if (!valid) return {};
    return Message{kind, line};
}

std::optional<std::string_view> Message::find(std::string_view name) const {
    std::string_view rest = fields;
    for (auto field = takeToken(rest, ' '); !field.empty(); field = takeToken(rest, ' ')) {
        const auto equals = field.find('=');
        if (field.substr(0, equals) == name) return field.substr(equals + 1);
    }
    return {};
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
