// Typed access to settings that are stored as path=value pairs; errors name the path of the setting.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "errors/input_error.h"
#include "planner/planner.h"

namespace zincstack::config {

/// Settings as path=value pairs. The names in the path of a nested value are joined with dots.
using FlatSettings = std::map<std::string, std::string, std::less<>>;

/// Reads single settings. Every function throws InputError if a required setting is missing or a value is
/// invalid. An unknown keyword is not an error: it is recorded as a notice.
class SettingsReader {
public:
    /// `settings` must outlive the reader.
    explicit SettingsReader(const FlatSettings& settings) : settings_(settings) {}

    /// nullptr if the setting is absent.
    const std::string* find(const std::string& path) const;
    const std::string& text(const std::string& path) const;
    /// A finite number from 0 to 1e12.
    double number(const std::string& path) const;
    double numberOrZero(const std::string& path) const;
    /// A duration; the setting is in seconds.
    Micros duration(const std::string& path) const;
    Micros durationOrZero(const std::string& path) const;
    /// A whole number from 0 to `maximum`.
    std::uint32_t count(const std::string& path, double maximum) const;
    bool flagOrFalse(const std::string& path) const;
    /// Comma-separated items; empty if the setting is absent.
    std::vector<std::string> list(const std::string& path) const;
    std::vector<std::string> requiredList(const std::string& path) const;

    /// Parses a flag that is an item of the list at `path`.
    static bool parseFlag(const std::string& path, std::string_view value);

    /// The value that a keyword stands for. For an unknown keyword: `unknown`, and a notice is recorded.
    template <class T>
    T mapKeyword(const std::string& path, std::string_view keyword,
                 std::initializer_list<std::pair<std::string_view, T>> keywords, T unknown) {
        for (const auto& [name, value] : keywords)
            if (name == keyword) return value;
        noteUnknownKeyword(path, keyword);
        return unknown;
    }

    /// The notices on all unknown keywords so far, in the order in which they were read.
    std::vector<std::string> takeNotices() { return std::move(notices_); }

private:
    void noteUnknownKeyword(const std::string& path, std::string_view keyword);

    const FlatSettings& settings_;
    std::vector<std::string> notices_;
};

/// An error in the settings. `field` is the path of the setting that `reason` names, if any.
InputError settingsError(const std::string& reason, std::string_view field = {});

} // namespace zincstack::config
