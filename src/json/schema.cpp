#include "json/schema.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <algorithm>

namespace zincstack::json {

namespace {

/// The library names a place as <root>[a][b]; ours are JSON pointers.
std::string pointerOf(const std::vector<std::string>& context) {
    std::string out;
    for (const auto& part : context) {
        if (part == "<root>") continue;
        std::string name = part;
        if (name.starts_with('[') && name.ends_with(']')) name = name.substr(1, name.size() - 2);
        out += '/';
        for (const char one : name)
            if (one == '~')
                out += "~0";
            else if (one == '/')
                out += "~1";
            else
                out += one;
    }
    return out;
}

} // namespace

std::vector<Fault> faultsOf(const Value& value, std::string_view schema) {
    const Value source = read(schema);
    valijson::Schema parsed;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(source), parsed);
    valijson::ValidationResults results;
    valijson::Validator().validate(parsed, valijson::adapters::NlohmannJsonAdapter(value), &results);
    std::vector<Fault> out;
    for (valijson::ValidationResults::Error error; results.popError(error);)
        out.push_back({pointerOf(error.context), error.description});
    // That a place failed since one below it did says nothing more.
    std::erase_if(out, [&](const Fault& one) {
        return one.what.starts_with("Failed to validate") &&
               std::ranges::any_of(out, [&](const Fault& other) {
                   return other.pointer.size() > one.pointer.size() &&
                          other.pointer.starts_with(one.pointer + "/");
               });
    });
    std::ranges::stable_sort(out, {}, &Fault::pointer);
    return out;
}

} // namespace zincstack::json
