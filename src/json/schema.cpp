#include "json/schema.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <iterator>

namespace zincstack::json {

namespace {

void appendEscaped(std::string_view name, std::string& pointer) {
    for (const char character : name) {
        if (character == '~')
            pointer += "~0";
        else if (character == '/')
            pointer += "~1";
        else
            pointer += character;
    }
}

/// Converts the library's context, of the form <root>[a][b], to a JSON pointer.
std::string toJsonPointer(const std::vector<std::string>& context) {
    std::string pointer;
    for (const std::string_view part : context) {
        if (part == "<root>") continue;
        const bool bracketed = part.starts_with('[') && part.ends_with(']');
        pointer += '/';
        appendEscaped(bracketed ? part.substr(1, part.size() - 2) : part, pointer);
    }
    return pointer;
}

/// Whether the error only states that a nested value is invalid, which has an error of its own.
bool isReportedByNestedError(const ValidationError& error, const std::vector<ValidationError>& all) {
    if (!error.message.starts_with("Failed to validate")) return false;
    return std::ranges::any_of(
        all, [&](const ValidationError& other) { return other.pointer.starts_with(error.pointer + "/"); });
}

} // namespace

std::vector<ValidationError> validate(const Value& value, std::string_view schema) {
    const Value schemaTree = read(schema);
    valijson::Schema parsedSchema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaTree),
                                            parsedSchema);
    valijson::ValidationResults results;
    valijson::Validator().validate(parsedSchema, valijson::adapters::NlohmannJsonAdapter(value), &results);
    std::vector<ValidationError> all;
    for (valijson::ValidationResults::Error error; results.popError(error);)
        all.push_back({toJsonPointer(error.context), error.description});
    std::vector<ValidationError> errors;
    std::ranges::copy_if(all, std::back_inserter(errors),
                         [&](const ValidationError& error) { return !isReportedByNestedError(error, all); });
    std::ranges::stable_sort(errors, {}, &ValidationError::pointer);
    return errors;
}

} // namespace zincstack::json
