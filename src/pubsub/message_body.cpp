#include "pubsub/message_body.h"

#include <array>
#include <cmath>

#include "json/json.h"

namespace zincstack::pubsub {

namespace {

using json::member;
using json::Value;
using json::writeCbor;

constexpr std::size_t kMaxNameBytes = 255;
constexpr std::size_t kMaxTopics = 64;         // in one Hello or Beat
constexpr std::size_t kMaxRequestClasses = 64; // served by one table
constexpr std::size_t kMaxEntriesPerBody = 4 * kMaxEntriesPerPart;
constexpr std::uint64_t kMaxVersion = 255;
constexpr std::uint64_t kMaxRetryPolicy = 3; // largest value of RetryPolicy
constexpr std::uint64_t kMaxDurationMicros = std::uint64_t{1} << 50;
constexpr int kMaxDepth = 4; // nesting depth of a body; valid bodies have at most three levels

/// Decodes a CBOR map; null if the body is not a map.
Value decodeMap(std::string_view body) {
    Value out = json::readCbor(body, kMaxDepth);
    if (!out.is_object()) return nullptr;
    return out;
}

// The functions below convert a value, and return std::nullopt or null if it has the wrong type or is out of
// range.

std::optional<std::uint64_t> unsignedOf(const Value& value, std::uint64_t maxValue) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxValue) return {};
    return value.get<std::uint64_t>();
}

std::optional<std::uint32_t> unsigned32Of(const Value& value, std::uint64_t maxValue = UINT32_MAX) {
    const auto number = unsignedOf(value, maxValue);
    return number ? std::optional(static_cast<std::uint32_t>(*number)) : std::nullopt;
}

std::optional<double> nonNegativeOf(const Value& value) {
    if (!value.is_number()) return {};
    const double out = value.get<double>();
    return std::isfinite(out) && out >= 0 ? std::optional(out) : std::nullopt;
}

const std::string* nameOf(const Value& value) {
    const auto* text = value.get_ptr<const std::string*>();
    return text && !text->empty() && text->size() <= kMaxNameBytes ? text : nullptr;
}

std::optional<Micros> durationOf(const Value& value) {
    const auto micros = unsignedOf(value, kMaxDurationMicros);
    return micros ? std::optional(Micros(static_cast<std::int64_t>(*micros))) : std::nullopt;
}

std::optional<TopicId> topicIdOf(const Value& value) {
    const auto number = unsignedOf(value, UINT16_MAX);
    return number ? std::optional(TopicId{static_cast<std::uint16_t>(*number)}) : std::nullopt;
}

std::optional<Sequence> sequenceOf(const Value& value) {
    const auto number = unsignedOf(value, UINT64_MAX);
    return number ? std::optional(Sequence{*number}) : std::nullopt;
}

/// Decodes the members that describe a proxy. Without the member `proxy` the client is an observer, and the
/// others are ignored. Returns false if a member is missing or malformed.
bool decodeProxy(const Value& map, Hello& hello) {
    const Value& proxy = member(map, "proxy");
    if (proxy.is_null()) return true;
    const auto number = unsignedOf(proxy, UINT16_MAX);
    const auto weight = nonNegativeOf(member(map, "weight"));
    const auto* fresh = member(map, "fresh").get_ptr<const bool*>();
    if (!number || !weight || !fresh) return false;
    hello.proxy = ProxyId{static_cast<std::uint16_t>(*number)};
    hello.weight = *weight;
    hello.onlyBootstrapTable = *fresh;
    return true;
}

bool decodePositions(const Value& list, std::vector<TopicPosition>& positions) {
    if (list.is_null()) return true;
    if (!list.is_array() || list.size() > kMaxTopics) return false;
    for (const Value& item : list) {
        if (!item.is_array() || item.size() != 3) return false;
        const auto topic = topicIdOf(item[0]);
        const auto epoch = unsignedOf(item[1], UINT64_MAX);
        const auto sequence = sequenceOf(item[2]);
        if (!topic || !epoch || !sequence) return false;
        positions.push_back({*topic, {*epoch}, *sequence});
    }
    return true;
}

/// Member of a topic body that holds the entries of one kind, as a map from names to values.
struct EntryMap {
    const char* member;
    Key::Kind kind;
};
constexpr std::array<EntryMap, 3> kEntryMaps{
    {{"lines", Key::Kind::Weight}, {"levels", Key::Kind::Admission}, {"out", Key::Kind::Exclusion}}};

Value encodeEntryValue(const Entry& entry) {
    constexpr double kMaxInteger = 1e9; // larger values are encoded as floating point
    const auto& [key, value] = entry;
    if (key.kind == Key::Kind::Admission) return {value.number, static_cast<int>(value.retryPolicy)};
    if (value.number == std::floor(value.number) && value.number < kMaxInteger)
        return static_cast<std::uint32_t>(value.number);
    return value.number;
}

std::optional<EntryValue> decodeEntryValue(Key::Kind kind, const Value& value) {
    if (kind != Key::Kind::Admission) {
        const auto number = nonNegativeOf(value);
        return number ? std::optional(EntryValue{*number, RetryPolicy::Never}) : std::nullopt;
    }
    if (!value.is_array() || value.size() != 2) return {};
    const auto number = nonNegativeOf(value[0]);
    const auto policy = unsignedOf(value[1], kMaxRetryPolicy);
    if (!number || !policy) return {};
    return EntryValue{*number, static_cast<RetryPolicy>(*policy)};
}

bool decodeEntries(const Value& map, Key::Kind kind, std::vector<Entry>& entries) {
    if (map.is_null()) return true;
    if (!map.is_object() || entries.size() + map.size() > kMaxEntriesPerBody) return false;
    for (const auto& [name, encoded] : map.items()) {
        if (name.empty() || name.size() > kMaxNameBytes) return false;
        const auto value = decodeEntryValue(kind, encoded);
        if (!value) return false;
        entries.push_back({{kind, name}, *value});
    }
    return true;
}

bool decodeRequestClasses(const Value& list, std::vector<std::string>& requestClasses) {
    if (!list.is_array()) return true;
    for (const Value& item : list) {
        const auto* name = nameOf(item);
        if (!name || requestClasses.size() >= kMaxRequestClasses) return false;
        requestClasses.push_back(*name);
    }
    return true;
}

} // namespace

std::string encode(const Hello& hello) {
    Value positions = Value::array();
    for (const auto& [topic, epoch, sequence] : hello.positions)
        positions.push_back({topic.value, epoch.value, sequence.value});
    Value out{{"versions", {hello.minVersion, hello.maxVersion}},
              {"features", hello.features},
              {"zone", hello.zone},
              {"weight", hello.weight},
              {"fresh", hello.onlyBootstrapTable},
              {"have", std::move(positions)}};
    if (hello.proxy) out["proxy"] = hello.proxy->value;
    return writeCbor(out);
}

std::optional<Hello> decodeHello(std::string_view body) {
    const Value map = decodeMap(body);
    const Value& versions = member(map, "versions");
    if (!versions.is_array() || versions.size() != 2) return {};
    const auto minVersion = unsigned32Of(versions[0], kMaxVersion);
    const auto maxVersion = unsigned32Of(versions[1], kMaxVersion);
    const auto features = unsigned32Of(member(map, "features"));
    const auto* zone = nameOf(member(map, "zone"));
    if (!minVersion || !maxVersion || !features || !zone) return {};
    Hello out;
    out.minVersion = *minVersion;
    out.maxVersion = *maxVersion;
    out.features = *features;
    out.zone = *zone;
    if (!decodeProxy(map, out) || !decodePositions(member(map, "have"), out.positions)) return {};
    return out;
}

std::string encode(const Welcome& welcome) {
    return writeCbor({{"version", welcome.version},
                      {"features", welcome.features},
                      {"planner", welcome.planner},
                      {"beat_us", welcome.heartbeatInterval.count()},
                      {"lease_us", welcome.leaseDuration.count()}});
}

std::optional<Welcome> decodeWelcome(std::string_view body) {
    const Value map = decodeMap(body);
    const auto version = unsigned32Of(member(map, "version"), kMaxVersion);
    const auto features = unsigned32Of(member(map, "features"));
    const auto heartbeat = durationOf(member(map, "beat_us"));
    const auto lease = durationOf(member(map, "lease_us"));
    const auto* planner = nameOf(member(map, "planner"));
    if (!version || !features || !heartbeat || !lease || !planner) return {};
    if (*heartbeat <= Micros{} || *lease < *heartbeat) return {};
    return Welcome{*version, *features, *planner, *heartbeat, *lease};
}

std::string encode(const DisconnectNotice& notice) {
    Value out{{"reason", notice.reason}};
    if (notice.retryAfter) out["again_us"] = notice.retryAfter->count();
    return writeCbor(out);
}

std::optional<DisconnectNotice> decodeDisconnectNotice(std::string_view body) {
    const Value map = decodeMap(body);
    const auto* reason = nameOf(member(map, "reason"));
    if (!reason) return {};
    return DisconnectNotice{*reason, durationOf(member(map, "again_us"))};
}

std::string encode(const DemandRecord& demand) {
    return writeCbor({{"product", demand.requestClass},
                      {"txns", demand.requests},
                      {"voided", demand.unanswered},
                      {"span_us", demand.interval.count()}});
}

std::optional<DemandRecord> decodeDemandRecord(std::string_view body) {
    const Value map = decodeMap(body);
    const auto* requestClass = nameOf(member(map, "product"));
    const auto requests = unsigned32Of(member(map, "txns"));
    const auto unanswered = unsigned32Of(member(map, "voided"));
    const auto interval = durationOf(member(map, "span_us"));
    if (!requestClass || !requests || !unanswered || !interval) return {};
    return DemandRecord{*requestClass, *requests, *unanswered, *interval};
}

std::string encode(const TopicHeads& heads) {
    Value list = Value::array();
    for (const auto& [topic, head] : heads) list.push_back({topic.value, head.value});
    return writeCbor({{"heads", std::move(list)}});
}

std::optional<TopicHeads> decodeTopicHeads(std::string_view body) {
    const Value map = decodeMap(body);
    const Value& list = member(map, "heads");
    if (!list.is_array() || list.size() > kMaxTopics) return {};
    TopicHeads out;
    for (const Value& item : list) {
        if (!item.is_array() || item.size() != 2) return {};
        const auto topic = topicIdOf(item[0]);
        const auto head = sequenceOf(item[1]);
        if (!topic || !head) return {};
        out.push_back({*topic, *head});
    }
    return out;
}

std::string encode(const TopicBody& body) {
    Value out = Value::object();
    if (!body.requestClasses.empty()) out["products"] = body.requestClasses;
    for (const Entry& entry : body.entries) {
        const EntryMap& map = kEntryMaps[static_cast<std::size_t>(entry.key.kind)];
        out[map.member][entry.key.name] = encodeEntryValue(entry);
    }
    return writeCbor(out);
}

std::optional<TopicBody> decodeTopicBody(std::string_view body) {
    const Value map = decodeMap(body);
    if (!map.is_object()) return {};
    TopicBody out;
    if (!decodeRequestClasses(member(map, "products"), out.requestClasses)) return {};
    for (const auto& [name, kind] : kEntryMaps)
        if (!decodeEntries(member(map, name), kind, out.entries)) return {};
    return out;
}

} // namespace zincstack::pubsub
