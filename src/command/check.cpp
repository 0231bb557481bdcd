#include "command/check.h"

#include <string_view>

#include "terms/operator_terms.h"
#include "terms/schemas.h"
#include "terms/start_terms.h"
#include "terms/station.h"
#include "json/schema.h"

namespace zincstack::command {

namespace {

/// A start file has terms; the reader itself has the last word on them, where the schema finds nothing.
std::vector<json::Fault> faultsOfPosting(const json::Value& all, std::string_view text) {
    auto out = json::faultsOf(all, terms::kPostingSchema);
    if (!out.empty()) return out;
    try {
        terms::readStartTerms(net::readStation(text).flat);
    } catch (const Malformed& error) { out.push_back({"/settings", error.what()}); }
    return out;
}

std::vector<json::Fault> faultsOfFile(const std::string& file) {
    try {
        const std::string text = terms::textOfFile(file);
        const json::Value all = json::read(text);
        return all.contains("settings") ? faultsOfPosting(all, text) : terms::faultsOfOperatorText(text);
    } catch (const Malformed& error) { return {{"", error.what()}}; }
}

} // namespace

int check(const Check& order, std::ostream& out) {
    int code = 0;
    for (const auto& file : order.files) {
        const auto faults = faultsOfFile(file);
        for (const auto& [pointer, what] : faults)
            out << file << ": " << (pointer.empty() ? "/" : pointer) << ": " << what << "\n";
        if (faults.empty())
            out << file << ": can be used\n";
        else
            code = 2;
    }
    return code;
}

} // namespace zincstack::command
