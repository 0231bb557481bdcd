#include "pubsub/wire.h"

#include <zstd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <memory>

#include "json/json.h"

namespace zincstack::pubsub {

namespace {

using json::member;
using json::writeCbor;
using Tree = json::Value;

constexpr std::size_t kCompressFrom = 512; // bytes of a body: below it the gain is not worth the time
constexpr int kCompressLevel = 1;
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kPacked = 1, kMore = 2;
constexpr std::size_t kNameMost = 255, kEntriesMost = 4 * kPartEntries, kHaveMost = 64;
constexpr int kDepthMost = 4; // of a body; none of ours is deeper than three

template <class Whole>
void put(std::string& into, std::size_t at, Whole value) {
    for (std::size_t k = 0; k < sizeof(Whole); ++k)
        into[at + k] = static_cast<char>(value >> 8 * (sizeof(Whole) - 1 - k) & 0xff);
}
template <class Whole>
Whole get(std::string_view from, std::size_t at) {
    Whole out = 0;
    for (std::size_t k = 0; k < sizeof(Whole); ++k)
        out = static_cast<Whole>(out << 8 | static_cast<unsigned char>(from[at + k]));
    return out;
}

template <auto Free>
struct Freed {
    template <class T>
    void operator()(T* one) const {
        Free(one);
    }
};
ZSTD_CCtx* packer() {
    thread_local const std::unique_ptr<ZSTD_CCtx, Freed<ZSTD_freeCCtx>> one(ZSTD_createCCtx());
    return one.get();
}
ZSTD_DCtx* unpacker() {
    thread_local const std::unique_ptr<ZSTD_DCtx, Freed<ZSTD_freeDCtx>> one(ZSTD_createDCtx());
    return one.get();
}

/// Guards against a body that unpacks to more than it says: the room is as large as that, and no larger.
bool unpack(std::string_view packed, std::size_t size, std::string& into) {
    into.resize(size);
    const std::size_t got =
        ZSTD_decompressDCtx(unpacker(), into.data(), into.size(), packed.data(), packed.size());
    return !ZSTD_isError(got) && got == size;
}

Tree treeOf(std::string_view body) {
    Tree out = json::readCbor(body, kDepthMost);
    return out.is_object() ? out : Tree();
}

std::optional<std::uint64_t> wholeOf(const Tree& value, std::uint64_t most) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) return {};
    return value.get<std::uint64_t>();
}
std::optional<double> figureOf(const Tree& value) {
    if (!value.is_number()) return {};
    const double out = value.get<double>();
    return std::isfinite(out) && out >= 0 ? std::optional(out) : std::nullopt;
}
const std::string* nameOf(const Tree& value) {
    const auto* text = value.get_ptr<const std::string*>();
    return text && !text->empty() && text->size() <= kNameMost ? text : nullptr;
}
constexpr std::uint64_t kMicrosMost = std::uint64_t{1} << 50;
std::optional<Micros> spanOf(const Tree& value) {
    const auto micros = wholeOf(value, kMicrosMost);
    return micros ? std::optional(Micros(static_cast<std::int64_t>(*micros))) : std::nullopt;
}

} // namespace

std::string writeFrame(const Frame& frame, bool mayCompress) {
    std::string out(kHeaderBytes, '\0');
    unsigned flags = frame.more ? kMore : 0;
    if (mayCompress && frame.body.size() >= kCompressFrom) {
        out.resize(kHeaderBytes + ZSTD_compressBound(frame.body.size()));
        const std::size_t size =
            ZSTD_compressCCtx(packer(), out.data() + kHeaderBytes, out.size() - kHeaderBytes,
                              frame.body.data(), frame.body.size(), kCompressLevel);
        const bool worth = !ZSTD_isError(size) && size < frame.body.size();
        out.resize(kHeaderBytes + (worth ? size : 0));
        if (worth) flags |= kPacked;
    }
    if (!(flags & kPacked)) out += frame.body;
    put(out, 0, static_cast<std::uint32_t>(out.size() - kLengthBytes));
    put(out, 4, static_cast<std::uint8_t>(frame.type));
    put(out, 5, frame.version);
    put(out, 6, frame.topic.value);
    put(out, 8, static_cast<std::uint8_t>(flags));
    put(out, 10, frame.part);
    put(out, 12, static_cast<std::uint32_t>(frame.body.size()));
    put(out, 16, frame.epoch.value);
    put(out, 24, frame.sequence.value);
    put(out, 32, frame.since.value);
    return out;
}

namespace {

std::optional<std::string> readFrame(std::string_view whole, Frame& into) {
    const unsigned flags = get<std::uint8_t>(whole, 8);
    into.type = static_cast<FrameType>(get<std::uint8_t>(whole, 4));
    into.version = get<std::uint8_t>(whole, 5);
    into.topic = {get<std::uint16_t>(whole, 6)};
    into.more = flags & kMore;
    into.part = get<std::uint16_t>(whole, 10);
    into.epoch = {get<std::uint64_t>(whole, 16)};
    into.sequence = {get<std::uint64_t>(whole, 24)};
    into.since = {get<std::uint64_t>(whole, 32)};
    const std::size_t size = get<std::uint32_t>(whole, 12);
    const auto body = whole.substr(kHeaderBytes);
    if (size > kBodyMost) return "a body of " + std::to_string(size) + " bytes";
    if (flags & kPacked) {
        if (!unpack(body, size, into.body)) return "a body that can't be unpacked";
    } else {
        if (size != body.size()) return "a body that is not as long as it says";
        into.body = body;
    }
    return {};
}

} // namespace

std::optional<std::string> FrameReader::feed(std::string_view bytes,
                                             const std::function<bool(Frame&)>& taken) {
    if (!held_.empty()) {
        held_ += bytes;
        bytes = held_;
    }
    std::string_view rest = bytes;
    while (rest.size() >= kLengthBytes) {
        // An impossible length is refused by its own four bytes, before the rest is waited for.
        const std::size_t length = get<std::uint32_t>(rest, 0);
        if (length < kHeaderBytes - kLengthBytes || length + kLengthBytes > frameMost_)
            return "a frame of " + std::to_string(length) + " bytes";
        if (rest.size() < length + kLengthBytes) break;
        Frame frame;
        if (auto fault = readFrame(rest.substr(0, length + kLengthBytes), frame)) return fault;
        rest.remove_prefix(length + kLengthBytes);
        if (!taken(frame)) return {};
    }
    if (rest.size() != held_.size()) held_ = std::string(rest); // else: nothing of it was read
    return {};
}

std::string write(const Hello& hello) {
    Tree have = Tree::array();
    for (const auto& one : hello.have) have.push_back({one.topic.value, one.epoch.value, one.sequence.value});
    Tree out{{"versions", {hello.versionLeast, hello.versionMost}},
             {"features", hello.features},
             {"zone", hello.zone},
             {"weight", hello.weight},
             {"fresh", hello.fresh},
             {"have", std::move(have)}};
    if (hello.proxy) out["proxy"] = hello.proxy->value;
    return writeCbor(out);
}

std::optional<Hello> readHello(std::string_view body) {
    const Tree all = treeOf(body);
    Hello out;
    const Tree &versions = member(all, "versions"), &have = member(all, "have");
    if (!versions.is_array() || versions.size() != 2) return {};
    const auto least = wholeOf(versions[0], 255), most = wholeOf(versions[1], 255);
    const auto features = wholeOf(member(all, "features"), UINT32_MAX);
    const auto* zone = nameOf(member(all, "zone"));
    if (!least || !most || !features || !zone) return {};
    out.versionLeast = static_cast<std::uint32_t>(*least);
    out.versionMost = static_cast<std::uint32_t>(*most);
    out.features = static_cast<std::uint32_t>(*features);
    out.zone = *zone;
    if (const Tree& proxy = member(all, "proxy"); !proxy.is_null()) {
        const auto number = wholeOf(proxy, UINT16_MAX);
        const auto weight = figureOf(member(all, "weight"));
        const auto* fresh = member(all, "fresh").get_ptr<const bool*>();
        if (!number || !weight || !fresh) return {};
        out.proxy = ProxyId{static_cast<std::uint16_t>(*number)};
        out.weight = *weight;
        out.fresh = *fresh;
    }
    if (have.is_null()) return out;
    if (!have.is_array() || have.size() > kHaveMost) return {};
    for (const Tree& one : have) {
        if (!one.is_array() || one.size() != 3) return {};
        const auto topic = wholeOf(one[0], UINT16_MAX), epoch = wholeOf(one[1], UINT64_MAX),
                   sequence = wholeOf(one[2], UINT64_MAX);
        if (!topic || !epoch || !sequence) return {};
        out.have.push_back({{static_cast<std::uint16_t>(*topic)}, {*epoch}, {*sequence}});
    }
    return out;
}

std::string write(const Welcome& welcome) {
    return writeCbor({{"version", welcome.version},
                      {"features", welcome.features},
                      {"planner", welcome.planner},
                      {"beat_us", welcome.beat.count()},
                      {"lease_us", welcome.lease.count()}});
}

std::optional<Welcome> readWelcome(std::string_view body) {
    const Tree all = treeOf(body);
    const auto version = wholeOf(member(all, "version"), 255);
    const auto features = wholeOf(member(all, "features"), UINT32_MAX);
    const auto beat = spanOf(member(all, "beat_us")), lease = spanOf(member(all, "lease_us"));
    const auto* planner = nameOf(member(all, "planner"));
    if (!version || !features || !beat || !lease || !planner || *beat <= Micros{} || *lease < *beat)
        return {};
    return Welcome{static_cast<std::uint32_t>(*version), static_cast<std::uint32_t>(*features), *planner,
                   *beat, *lease};
}

std::string write(const DisconnectNotice& parting) {
    Tree out{{"reason", parting.reason}};
    if (parting.retryAfter) out["again_us"] = parting.retryAfter->count();
    return writeCbor(out);
}

std::optional<DisconnectNotice> readParting(std::string_view body) {
    const Tree all = treeOf(body);
    const auto* reason = nameOf(member(all, "reason"));
    if (!reason) return {};
    return DisconnectNotice{*reason, spanOf(member(all, "again_us"))};
}

std::string write(const DemandRecord& line) {
    return writeCbor({{"product", line.requestClass},
                      {"txns", line.requests},
                      {"voided", line.unanswered},
                      {"span_us", line.interval.count()}});
}

std::optional<DemandRecord> readUsage(std::string_view body) {
    const Tree all = treeOf(body);
    const auto* product = nameOf(member(all, "product"));
    const auto txns = wholeOf(member(all, "txns"), UINT32_MAX),
               voided = wholeOf(member(all, "voided"), UINT32_MAX);
    const auto span = spanOf(member(all, "span_us"));
    if (!product || !txns || !voided || !span) return {};
    return DemandRecord{*product, static_cast<std::uint32_t>(*txns), static_cast<std::uint32_t>(*voided),
                        *span};
}

std::string write(const Heads& heads) {
    Tree list = Tree::array();
    for (const auto& [topic, head] : heads) list.push_back({topic.value, head.value});
    return writeCbor({{"heads", std::move(list)}});
}

std::optional<Heads> readHeads(std::string_view body) {
    const Tree all = treeOf(body);
    const Tree& list = member(all, "heads");
    if (!list.is_array() || list.size() > kHaveMost) return {};
    Heads out;
    for (const Tree& one : list) {
        if (!one.is_array() || one.size() != 2) return {};
        const auto topic = wholeOf(one[0], UINT16_MAX), head = wholeOf(one[1], UINT64_MAX);
        if (!topic || !head) return {};
        out.emplace_back(TopicId{static_cast<std::uint16_t>(*topic)}, Sequence{*head});
    }
    return out;
}

namespace {

/// A member of the body for each kind of entry: name and figure, for levels with the way of trying again.
constexpr std::pair<const char*, Key::Kind> kKinds[] = {
    {"lines", Key::Kind::Line}, {"levels", Key::Kind::Level}, {"out", Key::Kind::Out}};

} // namespace

std::string write(const TopicBody& body) {
    Tree out = Tree::object();
    if (!body.products.empty()) out["products"] = body.products;
    for (const auto& [key, value] : body.entries) {
        Tree& place = out[kKinds[static_cast<std::size_t>(key.kind)].first];
        if (key.kind == Key::Kind::Level)
            place[key.name] = {value.figure, static_cast<int>(value.tries)};
        else if (value.figure == std::floor(value.figure) && value.figure < 1e9)
            place[key.name] = static_cast<std::uint32_t>(value.figure);
        else
            place[key.name] = value.figure;
    }
    return writeCbor(out);
}

std::optional<TopicBody> readTopic(std::string_view body) {
    const Tree all = treeOf(body);
    if (!all.is_object()) return {};
    TopicBody out;
    if (const Tree& products = member(all, "products"); products.is_array())
        for (const Tree& one : products) {
            const auto* name = nameOf(one);
            if (!name || out.products.size() >= 64) return {};
            out.products.push_back(*name);
        }
    for (const auto& [name, kind] : kKinds) {
        const Tree& place = member(all, name);
        if (place.is_null()) continue;
        if (!place.is_object() || out.entries.size() + place.size() > kEntriesMost) return {};
        for (const auto& [key, value] : place.items()) {
            if (key.empty() || key.size() > kNameMost) return {};
            const bool level = kind == Key::Kind::Level;
            if (level && (!value.is_array() || value.size() != 2)) return {};
            const auto figure = figureOf(level ? value[0] : value);
            const auto tries = level ? wholeOf(value[1], 3) : std::optional<std::uint64_t>(0);
            if (!figure || !tries) return {};
            out.entries.push_back({{kind, key}, {*figure, static_cast<RetryPolicy>(*tries)}});
        }
    }
    return out;
}

} // namespace zincstack::pubsub
