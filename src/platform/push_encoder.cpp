#include "platform/push_encoder.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace zincstack::net {

namespace {

/// A part ends once its weights exceed this size. This keeps each line well below kMaxLineBytes.
constexpr std::size_t kMaxWeightBytesPerPart = 512 * 1024;

std::string formatNumber(double value) {
    std::array<char, 64> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), static_cast<float>(value),
                                      std::chars_format::fixed);
    return {buffer.data(), result.ptr};
}

std::string formatNames(const std::set<EndpointId>& endpoints, const NameRegistry& names) {
    std::string out;
    for (const EndpointId endpoint : endpoints)
        out.append(out.empty() ? "" : ",").append(names.nameOf(endpoint));
    return out;
}

/// Returns ` for=a+b`, or an empty string if the set contains all request classes.
std::string formatRequestClasses(RequestClassSet requestClasses, const NameRegistry& names) {
    std::string out;
    bool all = true;
    const auto count = static_cast<std::uint16_t>(names.requestClassCount());
    for (std::uint16_t k = 0; k < count; ++k) {
        if (routing::contains(requestClasses, {k}))
            out.append(out.empty() ? " for=" : "+").append(names.nameOf(RequestClassId{k}));
        else
            all = false;
    }
    return all ? std::string{} : out;
}

std::string formatLimit(const routing::AdmissionLimit& limit) {
    return " gate=" + formatNumber(limit.limit) +
           " again=" + std::to_string(static_cast<int>(limit.retryPolicy));
}

/// An admission limit and the request classes that share it.
struct SharedLimit {
    routing::AdmissionLimit limit;
    RequestClassSet requestClasses = 0;
};

/// Returns each distinct limit once, with the request classes that it applies to.
std::vector<SharedLimit> groupByLimit(const routing::AdmissionLimits& limits) {
    std::vector<SharedLimit> groups;
    for (const auto& [requestClass, limit] : limits) {
        const RequestClassSet single = routing::setOf(requestClass);
        const auto group = std::ranges::find(groups, limit, &SharedLimit::limit);
        if (group == groups.end())
            groups.push_back({limit, single});
        else
            group->requestClasses = routing::unionOf(group->requestClasses, single);
    }
    return groups;
}

/// Builds the parts of one message and counts their lines.
class PartWriter {
public:
    explicit PartWriter(const NameRegistry& names) : names_(names) {}

    void addTable(const TableUpdate& table) {
        addWeights(table);
        for (const SharedLimit& group : groupByLimit(table.admission)) {
            parts_.push_back(formatRequestClasses(group.requestClasses, names_) + formatLimit(group.limit));
            ++lines_.admissionLimits;
        }
    }

    /// Appends the fields that do not belong to a table to the last part: exclusions, readmissions and the
    /// barrier.
    void addTrailer(const PushMessage& message) {
        std::string trailer;
        if (!message.exclusions.empty()) trailer += " drop=" + formatNames(message.exclusions, names_);
        if (!message.readmissions.empty()) trailer += " undrop=" + formatNames(message.readmissions, names_);
        if (message.barrier) trailer += " stamp=" + std::to_string(message.barrier->value);
        lines_.exclusions += message.exclusions.size();
        lines_.readmissions += message.readmissions.size();
        lines_.framing += message.barrier ? 1 : 0;
        if (parts_.empty()) parts_.emplace_back();
        parts_.back() += trailer;
    }

    EncodedPush finish() const {
        std::string bytes;
        for (std::size_t k = 0; k < parts_.size(); ++k)
            bytes += "push" + parts_[k] + (k + 1 < parts_.size() ? " part=1\r\n" : "\r\n");
        return {std::move(bytes), lines_, parts_.size()};
    }

private:
    /// Adds the table's weights, in several parts if necessary. Only the first part of a replaced table has
    /// the field `replace=1`, because the proxy discards the old table when it reads that field.
    void addWeights(const TableUpdate& table) {
        const std::string requestClasses = formatRequestClasses(table.requestClasses, names_);
        bool replacesTable = table.replacesTable;
        std::string weights;
        for (const auto& [endpoint, weight] : table.weights) {
            weights.append(weights.empty() ? "" : ",").append(names_.nameOf(endpoint));
            weights += ":" + formatNumber(weight);
            ++lines_.weights;
            if (weights.size() <= kMaxWeightBytesPerPart) continue;
            addPart(requestClasses, std::exchange(replacesTable, false), std::exchange(weights, {}));
        }
        if (!weights.empty() || replacesTable) addPart(requestClasses, replacesTable, weights);
    }

    void addPart(const std::string& requestClasses, bool replacesTable, const std::string& weights) {
        std::string part = requestClasses;
        if (replacesTable) part += " replace=1";
        if (!weights.empty()) part += " rows=" + weights;
        parts_.push_back(std::move(part));
        lines_.framing += replacesTable ? 1 : 0;
    }

    const NameRegistry& names_;
    std::vector<std::string> parts_;
    LineCounts lines_;
};

} // namespace

std::size_t countAdmissionLines(const routing::AdmissionLimits& limits) {
    return groupByLimit(limits).size();
}

EncodedPush encodePush(const PushMessage& message, const NameRegistry& names) {
    PartWriter writer(names);
    for (const TableUpdate& table : message.tables) writer.addTable(table);
    writer.addTrailer(message);
    return writer.finish();
}

} // namespace zincstack::net
