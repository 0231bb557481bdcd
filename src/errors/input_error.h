// The exception for invalid input of any kind: files, settings, messages and command lines.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace zincstack {

/// Thrown for input that cannot be used. `what()` is one line for people; `reason()` and `location()` give
/// its parts to programs.
class InputError : public std::runtime_error {
public:
    /// The place of the error. Either part is empty if it is not known.
    struct Location {
        std::string document; ///< the file name or the kind of input
        std::string field;    ///< the name of the setting or the JSON pointer of the value
    };

    explicit InputError(const std::string& reason) : InputError(reason, reason, {}) {}

    /// The message is "document: reason". If there is a field, the reason must name it.
    static InputError inDocument(std::string_view document, const std::string& reason,
                                 std::string_view field = {}) {
        return {std::string(document) + ": " + reason, reason, {std::string(document), std::string(field)}};
    }
    /// The message is "field: reason".
    static InputError atField(const std::string& field, const std::string& reason) {
        return {field + ": " + reason, reason, {{}, field}};
    }
    /// Returns the same error located in `document`. The message is not changed if it already begins with
    /// that name.
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

    std::string reason_; ///< the message without the location
    Location location_;
};

} // namespace zincstack
