// The error of everything that is read: files, settings, messages, command lines.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace zincstack {

/// Input that can't be used. `what()` is one plain line for people; the parts are for programs.
class InputError : public std::runtime_error {
public:
    /// Where the fault is. Either part is empty where it is not known.
    struct Location {
        std::string document; ///< the file, or the kind of input
        std::string field;    ///< the setting, or the JSON pointer of the value
    };

    explicit InputError(const std::string& reason) : InputError(reason, reason, {}) {}

    /// "document: reason"; the reason names the field where there is one.
    static InputError inDocument(std::string_view document, const std::string& reason,
                                 std::string_view field = {}) {
        return {std::string(document) + ": " + reason, reason, {std::string(document), std::string(field)}};
    }
    /// "field: reason"
    static InputError atField(const std::string& field, const std::string& reason) {
        return {field + ": " + reason, reason, {{}, field}};
    }
    /// The same error, found in that document. A line that already begins with its name stays as it is.
    InputError withDocument(const std::string& document) const {
        const std::string text = what();
        const std::string line = text.starts_with(document) ? text : document + ": " + text;
        return {line, reason_, {document, location_.field}};
    }

    const std::string& reason() const { return reason_; }
    const Location& location() const { return location_; }

private:
    InputError(const std::string& line, std::string reason, Location location)
        : std::runtime_error(line), reason_(std::move(reason)), location_(std::move(location)) {}

    std::string reason_; ///< what is wrong, without the place
    Location location_;
};

} // namespace zincstack
