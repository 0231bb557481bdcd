// Recorded days: seeded runs of one part of the program, the same on every machine and in every build. A day's
// events are the updates that were ordered or the bytes that were written, as short texts with exact numbers.
//
// The checksums of all days are stored in tests/digests (digest_reference.h). A change of the code that must not
// change what the program does leaves every checksum as it is.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "planner/planner.h"

namespace zincstack::tests {

/// Random numbers from a seed. The distributions of std:: differ between libraries, so they are not used.
class SeededNumbers {
public:
    explicit SeededNumbers(std::uint64_t seed) : engine_(seed) {}
    /// An integer from 0 to `end` - 1.
    std::uint64_t below(std::uint64_t end) { return engine_() % end; }
    /// An integer from `first` to `last`.
    std::uint64_t between(std::uint64_t first, std::uint64_t last) { return first + below(last - first + 1); }
    /// A number from 0 up to, and not including, 1.
    double fraction() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }
    bool chance(double probability) { return fraction() < probability; }
    template <class T>
    T oneOf(std::initializer_list<T> choices) {
        return choices.begin()[below(choices.size())];
    }

private:
    std::mt19937_64 engine_;
};

/// What one seeded run did.
struct RecordedDay {
    std::vector<std::string> events;
    std::map<std::string, std::size_t> coverage; ///< how often the day reached something; not compared
};

/// A kind of day, with the seeds 1 to `seeds`. Continuous integration plays the first `seedsOfTests`.
struct DayKind {
    std::string_view name;
    std::uint64_t seeds;
    std::uint64_t seedsOfTests;
    RecordedDay (*play)(std::uint64_t seed);
};
std::span<const DayKind> dayKinds();
/// Null: there is no such kind.
const DayKind* findDayKind(std::string_view name);

RecordedDay playDecisionsDay(std::uint64_t seed);
RecordedDay playPushDay(std::uint64_t seed);
RecordedDay playPubsubDay(std::uint64_t seed);
RecordedDay playSimwireDay(std::uint64_t seed);

/// The exact value, as a hexadecimal floating-point number.
std::string exactText(double value);
std::string hexText(std::string_view bytes);
/// Printable bytes as they are, all others as \xNN.
std::string escapedText(std::string_view bytes);
/// One event: the time in microseconds, a name and named values.
std::string eventText(Micros now, std::string_view name,
                      std::initializer_list<std::pair<std::string_view, std::string>> values);

} // namespace zincstack::tests
