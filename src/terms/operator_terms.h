// The operator's file: what is switched on beside what the platform posts. Absent parts are off.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "planner/planner.h"
#include "terms/malformed.h"
#include "json/schema.h"

namespace zincstack::terms {

struct LogTerms {
    bool json = false;
    std::uint8_t least = 1; ///< 0 debug, 1 info, 2 warn, 3 critical
    friend bool operator==(const LogTerms&, const LogTerms&) = default;
};
struct PubsubTerms {
    std::string listen;
    std::uint32_t subscribers = 1000;
    std::size_t windowLines = 1024, windowBytes = 32 * 1024, memoryBytes = 16 * 1024 * 1024;
    std::size_t remembered = 4096;
    Micros beat = std::chrono::seconds(1), lease = std::chrono::seconds(5), stall = std::chrono::seconds(20);
    std::uint32_t backASecond = 200;
    friend bool operator==(const PubsubTerms&, const PubsubTerms&) = default;
};
struct OperatorTerms {
    LogTerms log;
    std::optional<PubsubTerms> channel;
};

/// Every fault of the text, by its place; none: it can be used.
std::vector<json::Fault> faultsOfOperatorText(std::string_view text);
/// Throws Malformed, naming the first fault and its place.
OperatorTerms readOperatorTerms(std::string_view text);
/// Reads the file; no path: everything is off. Throws Malformed, naming the file.
OperatorTerms operatorTermsOfFile(const std::string& path);
/// The bytes of a file. Throws Malformed where it can't be read, or is larger than any such file.
std::string textOfFile(const std::string& path);

} // namespace zincstack::terms
