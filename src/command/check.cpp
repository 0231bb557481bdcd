#include "command/check.h"

#include <string_view>

#include "config/operator_config.h"
#include "config/schemas.h"
#include "config/start_file.h"
#include "config/start_settings.h"
#include "json/schema.h"

namespace zincstack::command {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUnusableInput = 2;

/// If the file conforms to the schema, the settings are also read as a planner reads them.
std::vector<json::ValidationError> findStartFileErrors(const json::Value& root, std::string_view text) {
    auto errors = json::validate(root, config::kPostingSchema);
    if (!errors.empty()) return errors;
    try {
        config::readStartSettings(config::parseStartFile(text).settings);
    } catch (const InputError& error) { errors.push_back({"/settings", error.what()}); }
    return errors;
}

/// A file that has the member "settings" is a start file, any other an operator's file.
std::vector<json::ValidationError> findFileErrors(const std::string& file) {
    try {
        const std::string text = config::readFile(file);
        const json::Value root = json::read(text);
        return root.contains("settings") ? findStartFileErrors(root, text)
                                         : config::findOperatorConfigErrors(text);
    } catch (const InputError& error) { return {{"", error.what()}}; }
}

} // namespace

int check(const CheckOptions& options, std::ostream& out) {
    int exitCode = kExitOk;
    for (const auto& file : options.files) {
        const auto errors = findFileErrors(file);
        if (errors.empty()) {
            out << file << ": valid\n";
            continue;
        }
        exitCode = kExitUnusableInput;
        for (const auto& [pointer, message] : errors)
            out << file << ": " << (pointer.empty() ? "/" : pointer) << ": " << message << "\n";
    }
    return exitCode;
}

} // namespace zincstack::command
