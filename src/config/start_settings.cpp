#include "config/start_settings.h"

#include <charconv>
#include <cmath>

namespace zincstack::config {

namespace {

class Terms {
public:
    explicit Terms(const FlatSettings& values) : values_(values) {}
    const std::string* find(const std::string& path) const {
        const auto at = values_.find(path);
        return at == values_.end() ? nullptr : &at->second;
    }
    const std::string& word(const std::string& path) const {
        const auto* value = find(path);
        if (!value) throw InputError("start terms: the required term " + path + " is missing");
        return *value;
    }
    double number(const std::string& path) const { return parse(path, word(path)); }
    double numberOr(const std::string& path, double absent) const {
        const auto* value = find(path);
        return value ? parse(path, *value) : absent;
    }
    Micros time(const std::string& path) const { return Micros(std::llround(number(path) * 1e6)); }
    Micros timeOrZero(const std::string& path) const { return Micros(std::llround(numberOr(path, 0) * 1e6)); }
    std::uint32_t count(const std::string& path, double most) const {
        const double value = number(path);
        if (value > most || value != std::floor(value))
            throw InputError("start terms: " + path + " is no count up to " + std::to_string(most));
        return static_cast<std::uint32_t>(value);
    }
    bool flagOrFalse(const std::string& path) const {
        const auto* value = find(path);
        return value && flag(path, *value);
    }
    static bool flag(const std::string& path, std::string_view value) {
        if (value != "true" && value != "false")
            throw InputError("start terms: " + path + " is neither true nor false: '" + std::string(value) +
                             "'");
        return value == "true";
    }

private:
    static double parse(const std::string& path, const std::string& value) {
        double out = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
        if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(out) || out < 0 ||
            out > 1e12)
            throw InputError("start terms: " + path + " is no usable number: '" + value + "'");
        return out;
    }
    const FlatSettings& values_;
};

std::vector<std::string> commaList(const std::string* text) {
    std::vector<std::string> out;
    if (!text || text->empty()) return out;
    std::size_t from = 0;
    for (std::size_t comma; (comma = text->find(',', from)) != std::string::npos; from = comma + 1)
        out.push_back(text->substr(from, comma - from));
    out.push_back(text->substr(from));
    return out;
}

/// The value that stands for a word; a word that is not known gets `unknown` and a notice.
template <class T>
T translate(StartSettings& out, const std::string& path, const std::string& word,
            std::initializer_list<std::pair<std::string_view, T>> words, T unknown) {
    for (const auto& [name, value] : words)
        if (name == word) return value;
    out.notices.push_back("start terms: " + path + " has a word that is not known: '" + word + "'");
    return unknown;
}

} // namespace

FlatSettings splitText(std::string_view text) {
    FlatSettings out;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const auto equals = line.find('=');
        if (line.empty()) continue;
        if (equals == std::string_view::npos)
            throw InputError("start terms: no '=' in line '" + std::string(line.substr(0, 60)) + "'");
        out.emplace(line.substr(0, equals), line.substr(equals + 1));
    }
    return out;
}

StartSettings readStartSettings(const FlatSettings& flat) {
    const Terms terms(flat);
    StartSettings out;
    out.zoneNames = commaList(&terms.word("Zones"));
    out.fleet.zoneCount = static_cast<std::uint8_t>(std::min<std::size_t>(out.zoneNames.size(), 255));
    out.fleet.plannerCount = terms.count("Balancers", 1e6);
    out.fleet.hasEndpointWeights = terms.word("WeightKind") != "none";
    out.fleet.mustSubscribeToEndpoints = terms.word("Discovery") == "subscribe";
    out.fleet.probingAllowed = terms.flagOrFalse("Allowed.MayProbe");
    out.fleet.reportInterval = terms.timeOrZero("Extra.PeriodS");
    out.fleet.sharded = terms.numberOr("Extra.Ranges", 0) > 0;

    out.forwarders.proxyCount = terms.count("Extra.DataPlaneSize", 65536);
    out.forwarders.bootstrapTableSize = static_cast<std::uint32_t>(terms.numberOr("Extra.Standing", 0));
    if (const auto* word = terms.find("Extra.ThrottleBy"))
        out.forwarders.throttleMode = translate<ThrottleMode>(
            out, "Extra.ThrottleBy", *word,
            {{"ratio", ThrottleMode::Fraction}, {"rps", ThrottleMode::Rate}, {"none", ThrottleMode::None}},
            ThrottleMode::None);

    out.channel.linesPerSecond = terms.number("Extra.EgressPerS");
    out.channel.messageOverheadLines = terms.number("Extra.Envelope");
    out.channel.maxQueuedLines = terms.number("Extra.QueueCap");
    out.channel.maxMessagesPerProxy = static_cast<std::uint32_t>(terms.numberOr("Extra.UpdateCap", 0));
    out.channel.messageWindow = terms.timeOrZero("Extra.UpdateWindowS");
    out.channel.meanTransitTime = terms.timeOrZero("Extra.PushDelayS");
    out.channel.worstTransitTime = terms.timeOrZero("Extra.WorstTransitS");

    out.guards.maxTimeWithoutEndpoint = terms.time("Extra.BlackholeS");
    out.guards.drainGracePeriod = terms.time("Contract.DrainGraceS");
    out.guards.coldCapacityFraction = terms.number("Contract.StartCapacity");
    out.guards.warmUpDuration = terms.time("Contract.ColdS");
    out.guards.overloadFactor = terms.number("Contract.FallMultiple");
    out.guards.overloadDuration = terms.time("Contract.OverloadForS");
    out.guards.removalIsBinding = !terms.flagOrFalse("Contract.OnlyDrainingBinds");

    const auto products = terms.count("Classes.count", 16);
    if (products == 0) throw InputError("start terms: Classes.count is 0, and a planner needs a product");
    const auto ownZone = commaList(terms.find("Extra.ZoneBound"));
    const auto writes = commaList(terms.find("Extra.ClassWrites"));
    for (std::uint32_t at = 0; at < products; ++at) {
        const std::string path = "Classes." + std::to_string(at) + ".";
        RequestClassConfig product;
        product.latencyObjective = terms.time(path + "AimS");
        product.deadline = terms.time(path + "DeadlineS");
        product.priorityWeight = terms.number(path + "Worth");
        product.latePriorityWeight = terms.numberOr(path + "LateWorth", 0);
        const auto* effect =
            terms.find(path + "Effect"); // absent is as unknown: it may have run, so never again
        product.idempotency = translate<Idempotency>(out, path + "Effect", effect ? *effect : "",
                                                     {{"retryable", Idempotency::Idempotent},
                                                      {"dedup", Idempotency::IdempotencyKeyed},
                                                      {"fragile", Idempotency::NonIdempotent}},
                                                     Idempotency::NonIdempotent);
        product.zoneLocal = at < ownZone.size() && Terms::flag("Extra.ZoneBound", ownZone[at]);
        product.writes = at >= writes.size() || Terms::flag("Extra.ClassWrites", writes[at]);
        out.products.push_back(product);
        const auto* name = terms.find(path + "Name");
        out.productNames.push_back(name ? *name : std::to_string(at));
    }
    out.reportColumns = commaList(terms.find("Reporting.Columns"));
    out.tick = terms.timeOrZero("TickS");
    out.connectTimeout = terms.timeOrZero("Allowed.ConnectTimeoutS");
    return out;
}

void setLoadField(std::string_view name, double value, LoadReport& into) {
    static constexpr std::pair<std::string_view, std::optional<double> LoadReport::*> kPlaces[] = {
        {"busy", &LoadReport::utilization},
        {"util", &LoadReport::utilization},
        {"q", &LoadReport::queueLength},
        {"queue", &LoadReport::queueLength},
        {"rif", &LoadReport::inFlight},
        {"inflight", &LoadReport::inFlight},
        {"lat_ms", &LoadReport::serviceTimeMillis},
        {"latency_ms", &LoadReport::serviceTimeMillis}};
    for (const auto& [known, place] : kPlaces)
        if (known == name) into.*place = value;
}

} // namespace zincstack::config
