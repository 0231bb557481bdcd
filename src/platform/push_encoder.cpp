#include "platform/push_encoder.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace zincstack::net {

namespace {

constexpr std::size_t kRowBytesMost = 512 * 1024; // of one part, so that a line stays well under its limit

std::string numberText(double value) {
    std::array<char, 64> room{};
    const auto end = std::to_chars(room.data(), room.data() + room.size(), static_cast<float>(value),
                                   std::chars_format::fixed)
                         .ptr;
    return {room.data(), end};
}

std::string listText(const std::set<EndpointId>& servers, const NameRegistry& names) {
    std::string out;
    for (const auto& one : servers) out.append(out.empty() ? "" : ",").append(names.nameOf(one));
    return out;
}

/// ` for=a+b`, or nothing where all products are meant.
std::string forText(RequestClassSet products, const NameRegistry& names) {
    std::string out;
    bool all = true;
    for (std::uint16_t p = 0; p < names.requestClassCount(); ++p) {
        if (products >> p & 1U)
            out.append(out.empty() ? " for=" : "+").append(names.nameOf(RequestClassId{p}));
        else
            all = false;
    }
    return all ? std::string{} : out;
}

std::string levelText(const routing::AdmissionLimit& level) {
    return " gate=" + numberText(level.limit) +
           " again=" + std::to_string(static_cast<int>(level.retryPolicy));
}

/// Products of the same level, each level once.
std::vector<std::pair<routing::AdmissionLimit, RequestClassSet>>
groupsOf(const routing::AdmissionLimits& levels) {
    std::vector<std::pair<routing::AdmissionLimit, RequestClassSet>> groups;
    for (const auto& [product, level] : levels) {
        const auto bit = static_cast<RequestClassSet>(1U << product.value);
        const auto same =
            std::ranges::find(groups, level, &std::pair<routing::AdmissionLimit, RequestClassSet>::first);
        if (same == groups.end())
            groups.emplace_back(level, bit);
        else
            same->second = static_cast<RequestClassSet>(same->second | bit);
    }
    return groups;
}

} // namespace

std::size_t linesOf(const routing::AdmissionLimits& levels) { return groupsOf(levels).size(); }

EncodedPush encodePush(const PushMessage& message, const NameRegistry& names) {
    std::vector<std::string> parts;
    LineCounts lines;
    for (const auto& table : message.tables) {
        std::string rows;
        bool whole = table.whole;
        const std::string products = forText(table.products, names);
        const auto flush = [&] {
            if (rows.empty() && !whole) return;
            parts.push_back(products + (whole ? " replace=1" : "") + (rows.empty() ? "" : " rows=" + rows));
            lines.framing += whole;
            whole = false;
            rows.clear();
        };
        for (const auto& [server, weight] : table.lines) {
            rows.append(rows.empty() ? "" : ",").append(names.nameOf(server)) += ":" + numberText(weight);
            ++lines.rows;
            if (rows.size() > kRowBytesMost) flush();
        }
        flush();
        for (const auto& [level, of] : groupsOf(table.levels)) {
            parts.push_back(forText(of, names) + levelText(level));
            ++lines.levels;
        }
    }
    std::string last;
    if (!message.shut.empty()) last += " drop=" + listText(message.shut, names);
    if (!message.let.empty()) last += " undrop=" + listText(message.let, names);
    if (message.mark) last += " stamp=" + std::to_string(message.mark->value);
    lines.withdrawals += message.shut.size();
    lines.readmissions += message.let.size();
    lines.framing += message.mark ? 1 : 0;
    if (parts.empty()) parts.emplace_back();
    parts.back() += last;

    std::string out;
    for (std::size_t k = 0; k < parts.size(); ++k)
        out += "push" + parts[k] + (k + 1 < parts.size() ? " part=1\r\n" : "\r\n");
    return {std::move(out), lines, parts.size()};
}

} // namespace zincstack::net
