#include "terms/start_terms.h"

#include <charconv>
#include <cmath>

namespace zincstack::terms {

namespace {

class Terms {
public:
    explicit Terms(const FlatTerms& values) : values_(values) {}
    const std::string* find(const std::string& path) const {
        const auto at = values_.find(path);
        return at == values_.end() ? nullptr : &at->second;
    }
    const std::string& word(const std::string& path) const {
        const auto* value = find(path);
        if (!value) throw Malformed("start terms: the required term " + path + " is missing");
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
            throw Malformed("start terms: " + path + " is no count up to " + std::to_string(most));
        return static_cast<std::uint32_t>(value);
    }
    bool flagOrFalse(const std::string& path) const {
        const auto* value = find(path);
        return value && flag(path, *value);
    }
    static bool flag(const std::string& path, std::string_view value) {
        if (value != "true" && value != "false")
            throw Malformed("start terms: " + path + " is neither true nor false: '" + std::string(value) +
                            "'");
        return value == "true";
    }

private:
    static double parse(const std::string& path, const std::string& value) {
        double out = 0;
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
        if (error != std::errc{} || end != value.data() + value.size() || !std::isfinite(out) || out < 0 ||
            out > 1e12)
            throw Malformed("start terms: " + path + " is no usable number: '" + value + "'");
        return out;
    }
    const FlatTerms& values_;
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
T translate(StartTerms& out, const std::string& path, const std::string& word,
            std::initializer_list<std::pair<std::string_view, T>> words, T unknown) {
    for (const auto& [name, value] : words)
        if (name == word) return value;
    out.notices.push_back("start terms: " + path + " has a word that is not known: '" + word + "'");
    return unknown;
}

} // namespace

FlatTerms splitText(std::string_view text) {
    FlatTerms out;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const auto equals = line.find('=');
        if (line.empty()) continue;
        if (equals == std::string_view::npos)
            throw Malformed("start terms: no '=' in line '" + std::string(line.substr(0, 60)) + "'");
        out.emplace(line.substr(0, equals), line.substr(equals + 1));
    }
    return out;
}

StartTerms readStartTerms(const FlatTerms& flat) {
    const Terms terms(flat);
    StartTerms out;
    out.zoneNames = commaList(&terms.word("Zones"));
    out.fleet.zones = static_cast<std::uint8_t>(std::min<std::size_t>(out.zoneNames.size(), 255));
    out.fleet.planners = terms.count("Balancers", 1e6);
    out.fleet.weightsListed = terms.word("WeightKind") != "none";
    out.fleet.listMustBeAsked = terms.word("Discovery") == "subscribe";
    out.fleet.mayProbe = terms.flagOrFalse("Allowed.MayProbe");
    out.fleet.sumsPeriod = terms.timeOrZero("Extra.PeriodS");
    out.fleet.sliced = terms.numberOr("Extra.Ranges", 0) > 0;

    out.forwarders.count = terms.count("Extra.DataPlaneSize", 65536);
    out.forwarders.standingLines = static_cast<std::uint32_t>(terms.numberOr("Extra.Standing", 0));
    if (const auto* word = terms.find("Extra.ThrottleBy"))
        out.forwarders.throttle = translate<Throttle>(
            out, "Extra.ThrottleBy", *word,
            {{"ratio", Throttle::Share}, {"rps", Throttle::Rate}, {"none", Throttle::None}}, Throttle::None);

    out.channel.linesPerSecond = terms.number("Extra.EgressPerS");
    out.channel.headLines = terms.number("Extra.Envelope");
    out.channel.queueMost = terms.number("Extra.QueueCap");
    out.channel.messagesMost = static_cast<std::uint32_t>(terms.numberOr("Extra.UpdateCap", 0));
    out.channel.messagesOver = terms.timeOrZero("Extra.UpdateWindowS");
    out.channel.meanTransit = terms.timeOrZero("Extra.PushDelayS");
    out.channel.worstTransit = terms.timeOrZero("Extra.WorstTransitS");

    out.guards.bareMost = terms.time("Extra.BlackholeS");
    out.guards.drainGrace = terms.time("Contract.DrainGraceS");
    out.guards.coldShare = terms.number("Contract.StartCapacity");
    out.guards.coldSpan = terms.time("Contract.ColdS");
    out.guards.fallMultiple = terms.number("Contract.FallMultiple");
    out.guards.fallSpan = terms.time("Contract.OverloadForS");
    out.guards.goneBinds = !terms.flagOrFalse("Contract.OnlyDrainingBinds");

    const auto products = terms.count("Classes.count", 16);
    if (products == 0) throw Malformed("start terms: Classes.count is 0, and a planner needs a product");
    const auto ownZone = commaList(terms.find("Extra.ZoneBound"));
    const auto writes = commaList(terms.find("Extra.ClassWrites"));
    for (std::uint32_t at = 0; at < products; ++at) {
        const std::string path = "Classes." + std::to_string(at) + ".";
        ProductTerms product;
        product.slaTime = terms.time(path + "AimS");
        product.expiry = terms.time(path + "DeadlineS");
        product.revenue = terms.number(path + "Worth");
        product.lateRevenue = terms.numberOr(path + "LateWorth", 0);
        const auto* effect =
            terms.find(path + "Effect"); // absent is as unknown: it may have run, so never again
        product.repeatable = translate<Repeatable>(out, path + "Effect", effect ? *effect : "",
                                                   {{"retryable", Repeatable::InquiryLike},
                                                    {"dedup", Repeatable::Referenced},
                                                    {"fragile", Repeatable::OnceOnly}},
                                                   Repeatable::OnceOnly);
        product.ownZoneOnly = at < ownZone.size() && Terms::flag("Extra.ZoneBound", ownZone[at]);
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

void placeLoad(std::string_view name, double value, LoadReport& into) {
    static constexpr std::pair<std::string_view, std::optional<double> LoadReport::*> kPlaces[] = {
        {"busy", &LoadReport::busyShare},
        {"util", &LoadReport::busyShare},
        {"q", &LoadReport::waiting},
        {"queue", &LoadReport::waiting},
        {"rif", &LoadReport::held},
        {"inflight", &LoadReport::held},
        {"lat_ms", &LoadReport::serviceMillis},
        {"latency_ms", &LoadReport::serviceMillis}};
    for (const auto& [known, place] : kPlaces)
        if (known == name) into.*place = value;
}

} // namespace zincstack::terms
