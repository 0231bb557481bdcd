#include "command/check.h"

#include <string_view>

#include "config/operator_config.h"
#include "config/schemas.h"
#include "config/start_file.h"
#include "config/start_settings.h"
#include "json/schema.h"

namespace zincstack::command {

namespace {

/// A start file has terms; the reader itself has the last word on them, where the schema finds nothing.
std::vector<json::Fault> faultsOfPosting(const json::Value& all, std::string_view text) {
    auto out = json::faultsOf(all, config::kPostingSchema);
    if (!out.empty()) return out;
    try {
        config::readStartSettings(net::readStartFile(text).flat);
    } catch (const InputError& error) { out.push_back({"/settings", error.what()}); }
    return out;
}

std::vector<json::Fault> faultsOfFile(const std::string& file) {
    try {
        const std::string text = config::readFile(file);
        const json::Value all = json::read(text);
        return all.contains("settings") ? faultsOfPosting(all, text) : config::findOperatorConfigErrors(text);
    } catch (const InputError& error) { return {{"", error.what()}}; }
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
