#include "load/trace.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>
#include <variant>

#include "load/compression.h"
#include "json/json.h"

namespace zincstack::load {

namespace {

constexpr std::string_view kCsvHeader = "at_us,product,caller";
constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::size_t kMaxQuotedBytes = 40; // of an invalid value, in an error message
constexpr int kMaxJsonDepth = 2;

struct LineError {
    TraceErrorKind kind;
    std::string what;
};
/// The fields of a line as text, not yet validated.
struct LineFields {
    std::string at;
    std::string className;
    std::string caller;
};
using FieldsOrError = std::variant<LineFields, LineError>;
using RequestOrError = std::variant<RecordedRequest, LineError>;

std::optional<std::uint64_t> parseUnsigned(std::string_view text) {
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size()) return {};
    return out;
}

std::string quote(const std::string& text) { return "'" + text.substr(0, kMaxQuotedBytes) + "'"; }

FieldsOrError splitCsv(std::string_view line) {
    LineError notThreeFields{TraceErrorKind::InvalidSyntax, "expected three fields: at_us,product,caller"};
    const auto first = line.find(',');
    if (first == std::string_view::npos) return notThreeFields;
    const auto second = line.find(',', first + 1);
    if (second == std::string_view::npos) return notThreeFields;
    if (line.find(',', second + 1) != std::string_view::npos) return notThreeFields;
    return LineFields{std::string(line.substr(0, first)),
                      std::string(line.substr(first + 1, second - first - 1)),
                      std::string(line.substr(second + 1))};
}

FieldsOrError splitJson(std::string_view line) {
    try {
        const json::Value object = json::read(line, kMaxJsonDepth);
        const json::Value& at = json::member(object, "at_us");
        const json::Value& caller = json::member(object, "caller");
        const auto* className = json::textOf(object, "product");
        if (!className)
            return LineError{TraceErrorKind::InvalidSyntax, "the field product is missing or not a string"};
        return LineFields{at.dump(), *className, caller.is_null() ? "0" : caller.dump()};
    } catch (const InputError& error) { return LineError{TraceErrorKind::InvalidSyntax, error.what()}; }
}

/// Removes the first line from the text and returns it without its line ending.
std::string_view takeLine(std::string_view& text) {
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    return line;
}

/// Reads the lines of one trace in order.
class TraceReader {
public:
    TraceReader(TraceFormat format, const std::vector<std::string>& classNames, std::size_t maxErrors)
        : format_(format), classNames_(classNames), maxErrors_(maxErrors) {}

    Trace read(std::string_view text) {
        for (std::size_t number = 1; !text.empty(); ++number) {
            const std::string_view line = takeLine(text);
            const bool isHeader = number == 1 && line == kCsvHeader;
            if (!line.empty() && !isHeader) readLine(number, line);
        }
        if (trace_.requests.empty() && trace_.errors.empty())
            addError(0, {TraceErrorKind::Empty, "the trace contains no requests"});
        return std::move(trace_);
    }

private:
    void readLine(std::size_t number, std::string_view line) {
        RequestOrError parsed = parseLine(line);
        if (auto* error = std::get_if<LineError>(&parsed)) return addError(number, std::move(*error));
        trace_.requests.push_back(std::get<RecordedRequest>(parsed));
        lastAt_ = trace_.requests.back().at;
    }
    RequestOrError parseLine(std::string_view line) const {
        if (line.size() > kMaxLineBytes)
            return LineError{TraceErrorKind::LineTooLong, "line of " + std::to_string(line.size()) +
                                                              " bytes is longer than " +
                                                              std::to_string(kMaxLineBytes)};
        FieldsOrError fields = format_ == TraceFormat::Csv ? splitCsv(line) : splitJson(line);
        if (auto* error = std::get_if<LineError>(&fields)) return std::move(*error);
        return parseFields(std::get<LineFields>(fields));
    }
    RequestOrError parseFields(const LineFields& fields) const {
        const auto micros = parseUnsigned(fields.at);
        if (!micros || *micros > static_cast<std::uint64_t>(kMaxTraceTime.count()))
            return LineError{TraceErrorKind::BadTime, "at_us is not a whole number from 0 to " +
                                                          std::to_string(kMaxTraceTime.count()) + ": " +
                                                          quote(fields.at)};
        const Micros at(static_cast<std::int64_t>(*micros));
        if (at < lastAt_)
            return LineError{TraceErrorKind::TimeBackwards,
                             "earlier than the previous request: " + fields.at};
        const auto name = std::ranges::find(classNames_, fields.className);
        if (name == classNames_.end())
            return LineError{TraceErrorKind::UnknownClass, "unknown product: " + quote(fields.className)};
        const auto caller = parseUnsigned(fields.caller);
        if (!caller)
            return LineError{TraceErrorKind::BadCaller,
                             "caller is not a whole number of at most 64 bits: " + quote(fields.caller)};
        const RequestClassId requestClass{static_cast<std::uint16_t>(name - classNames_.begin())};
        return RecordedRequest{at, requestClass, *caller};
    }
    void addError(std::size_t line, LineError error) {
        if (trace_.errors.size() < maxErrors_)
            trace_.errors.push_back({error.kind, line, std::move(error.what)});
    }

    const TraceFormat format_;
    const std::vector<std::string>& classNames_;
    const std::size_t maxErrors_;
    Trace trace_;
    Micros lastAt_{}; // time of the last request read
};

/// Appends one line of the trace.
void appendRequest(std::string& out, const RecordedRequest& request, const std::string& className,
                   TraceFormat format) {
    const std::string at = std::to_string(request.at.count());
    const std::string caller = std::to_string(request.caller);
    if (format == TraceFormat::Csv) {
        out += at + "," + className + "," + caller + "\n";
        return;
    }
    const std::string quotedName = json::Value(className).dump();
    out += "{\"at_us\":" + at + ",\"product\":" + quotedName + ",\"caller\":" + caller + "}\n";
}

} // namespace

Trace readTrace(std::string_view text, const std::vector<std::string>& classNames, std::size_t maxErrors) {
    std::optional<std::string> decompressed;
    if (isCompressed(text)) {
        decompressed = decompress(text, kMaxTraceTextBytes);
        if (!decompressed) {
            Trace trace;
            if (maxErrors > 0)
                trace.errors.push_back({TraceErrorKind::NotDecompressible, 0,
                                        "cannot be decompressed, or is larger than " +
                                            std::to_string(kMaxTraceTextBytes) + " bytes"});
            return trace;
        }
        text = *decompressed;
    }
    const TraceFormat format = text.starts_with('{') ? TraceFormat::JsonLines : TraceFormat::Csv;
    return TraceReader(format, classNames, maxErrors).read(text);
}

std::string writeTrace(const std::vector<RecordedRequest>& requests,
                       const std::vector<std::string>& classNames, TraceFormat format, bool compressed) {
    std::string out;
    if (format == TraceFormat::Csv) out.append(kCsvHeader) += '\n';
    for (const RecordedRequest& request : requests)
        appendRequest(out, request, classNames[request.requestClass.value], format);
    return compressed ? compress(out) : out;
}

} // namespace zincstack::load
