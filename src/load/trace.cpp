#include "load/trace.h"

#include <zstd.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>

#include "json/json.h"

namespace zincstack::load {

namespace {

constexpr std::string_view kHead = "at_us,product,caller";
constexpr std::string_view kPacked = "\x28\xb5\x2f\xfd"; // how zstd's frames begin (RFC 8878)
constexpr std::size_t kLineMost = 4096;

/// Guards against a text that unpacks to more than any trace: it is unpacked in pieces up to that.
std::optional<std::string> unpack(std::string_view packed) {
    const std::unique_ptr<ZSTD_DStream, decltype(&ZSTD_freeDStream)> stream(ZSTD_createDStream(),
                                                                            ZSTD_freeDStream);
    std::string out, piece(ZSTD_DStreamOutSize(), '\0');
    ZSTD_inBuffer in{packed.data(), packed.size(), 0};
    std::size_t left = 1;
    while (in.pos < in.size || left != 0) {
        ZSTD_outBuffer into{piece.data(), piece.size(), 0};
        left = ZSTD_decompressStream(stream.get(), &into, &in);
        if (ZSTD_isError(left) || out.size() + into.pos > kTraceTextMost) return {};
        if (in.pos == in.size && into.pos == 0 && left != 0) return {}; // cut off
        out.append(piece, 0, into.pos);
    }
    return out;
}

std::optional<std::uint64_t> wholeOf(std::string_view text) {
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(out) : std::nullopt;
}

struct Fields {
    std::string at, product, caller;
};
/// What is wrong with the line, or nothing.
std::string split(std::string_view line, TraceForm form, Fields& into) {
    if (form == TraceForm::Csv) {
        const auto first = line.find(','), second = line.find(',', first + 1);
        if (first == std::string_view::npos || second == std::string_view::npos ||
            line.find(',', second + 1) != std::string_view::npos)
            return "not three fields";
        into = {std::string(line.substr(0, first)), std::string(line.substr(first + 1, second - first - 1)),
                std::string(line.substr(second + 1))};
        return {};
    }
    try {
        const json::Value all = json::read(line, 2);
        const json::Value &at = json::member(all, "at_us"), &caller = json::member(all, "caller");
        const auto* product = json::textOf(all, "product");
        if (!product) return "no product";
        into = {at.dump(), *product, caller.is_null() ? "0" : caller.dump()};
        return {};
    } catch (const InputError& fault) { return fault.what(); }
}

} // namespace

Trace readTrace(std::string_view text, const std::vector<std::string>& products, std::size_t faultsMost) {
    Trace out;
    const auto fault = [&](std::size_t line, std::string what) {
        if (out.faults.size() < faultsMost) out.faults.push_back({line, std::move(what)});
    };
    std::optional<std::string> unpacked;
    if (text.starts_with(kPacked)) {
        unpacked = unpack(text);
        if (!unpacked) return fault(0, "can't be unpacked, or is larger than any trace"), out;
        text = *unpacked;
    }
    const TraceForm form = text.starts_with('{') ? TraceForm::JsonLines : TraceForm::Csv;
    Micros last{};
    for (std::size_t number = 1; !text.empty(); ++number) {
        const auto end = text.find('\n');
        auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (line.ends_with('\r')) line.remove_suffix(1);
        if (line.empty() || (number == 1 && line == kHead)) continue;
        Fields fields;
        if (line.size() > kLineMost) {
            fault(number, "a line of " + std::to_string(line.size()) + " bytes");
            continue;
        }
        if (auto what = split(line, form, fields); !what.empty()) {
            fault(number, std::move(what));
            continue;
        }
        const auto at = wholeOf(fields.at), caller = wholeOf(fields.caller);
        const auto product = std::ranges::find(products, fields.product);
        if (!at || *at > static_cast<std::uint64_t>(kTraceMost.count()))
            fault(number, "no usable time: '" + fields.at.substr(0, 40) + "'");
        else if (Micros(static_cast<std::int64_t>(*at)) < last)
            fault(number, "earlier than the line before: " + fields.at);
        else if (product == products.end())
            fault(number, "no such product: '" + fields.product.substr(0, 40) + "'");
        else if (!caller)
            fault(number, "no usable caller: '" + fields.caller.substr(0, 40) + "'");
        else {
            last = Micros(static_cast<std::int64_t>(*at));
            out.txns.push_back({last, {static_cast<std::uint16_t>(product - products.begin())}, *caller});
        }
    }
    if (out.txns.empty() && out.faults.empty()) fault(0, "no txn at all");
    return out;
}

std::string writeTrace(const std::vector<Recorded>& txns, const std::vector<std::string>& products,
                       TraceForm form, bool compressed) {
    std::string out;
    if (form == TraceForm::Csv) out.append(kHead) += '\n';
    for (const auto& [at, product, caller] : txns) {
        const std::string time = std::to_string(at.count()), number = std::to_string(caller);
        const std::string& name = products[product.value];
        out += form == TraceForm::Csv ? time + "," + name + "," + number + "\n"
                                      : "{\"at_us\":" + time + ",\"product\":" + json::Value(name).dump() +
                                            ",\"caller\":" + number + "}\n";
    }
    if (!compressed) return out;
    std::string packed(ZSTD_compressBound(out.size()), '\0');
    packed.resize(ZSTD_compress(packed.data(), packed.size(), out.data(), out.size(), 3));
    return packed;
}

} // namespace zincstack::load
