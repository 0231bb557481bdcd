// Typed access to flat settings, with errors that name the setting.
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

/// Settings as path=value pairs; the path of a nested value is joined with dots.
using FlatSettings = std::map<std::string, std::string, std::less<>>;

/// Reads single settings. Every function throws InputError where a setting that it requires is missing or where a
/// value can't be used. Words that are not known are no errors: they are collected as notices.
class SettingsReader {
public:
    /// `settings` must outlive the reader.
    explicit SettingsReader(const FlatSettings& settings) : settings_(settings) {}

    /// Null where the setting is absent.
    const std::string* find(const std::string& path) const;
    const std::string& text(const std::string& path) const;
    double number(const std::string& path) const;
    double numberOrZero(const std::string& path) const;
    /// The setting in seconds.
    Micros duration(const std::string& path) const;
    Micros durationOrZero(const std::string& path) const;
    /// A whole number up to `maximum`.
    std::uint32_t count(const std::string& path, double maximum) const;
    bool flagOrFalse(const std::string& path) const;
    /// Comma-separated words; empty where the setting is absent.
    std::vector<std::string> list(const std::string& path) const;
    std::vector<std::string> requiredList(const std::string& path) const;

    /// A flag that was read elsewhere, as an entry of the list at `path`.
    static bool parseFlag(const std::string& path, std::string_view value);

    /// The value that stands for a word; a word that is not known gets `unknown` and a notice.
    template <class T>
    T translate(const std::string& path, std::string_view word,
                std::initializer_list<std::pair<std::string_view, T>> words, T unknown) {
        for (const auto& [name, value] : words)
            if (name == word) return value;
        noteUnknownWord(path, word);
        return unknown;
    }

    /// The notices of all words that were not known so far, in the order in which they were met.
    std::vector<std::string> takeNotices() { return std::move(notices_); }

private:
    void noteUnknownWord(const std::string& path, std::string_view word);

    const FlatSettings& settings_;
    std::vector<std::string> notices_;
};

/// An error in the settings; `field` is the path of the setting that `reason` names.
InputError settingsError(const std::string& reason, std::string_view field = {});

} // namespace zincstack::config
