// Recorded days: seeded simulation runs of one part of the program, which are identical on every machine and
// in every build. The events of a day are the planner's routing updates or the bytes that were written, as
// short texts with exact numbers.
//
// The checksums of all days are stored in tests/digests (digest_reference.h). A code change that is not meant
// to change the program's behaviour must leave every checksum unchanged.
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

/// A seeded pseudo-random number generator. It does not use the distributions of the standard library,
/// because they differ between implementations.
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

/// The record of one seeded run.
struct RecordedDay {
    std::vector<std::string> events;
    std::map<std::string, std::size_t> coverage; ///< how often each case occurred in the day; not compared
};

/// A kind of recorded day: the part of the program that it runs, and its seeds, which are 1 to `seeds`. The
/// tests play only the first `seedsOfTests`.
struct DayKind {
    std::string_view name;
    std::uint64_t seeds;
    std::uint64_t seedsOfTests;
    RecordedDay (*play)(std::uint64_t seed);
};
std::span<const DayKind> dayKinds();
/// Null if no kind has this name.
const DayKind* findDayKind(std::string_view name);

/// Each of these plays a day of one kind.
RecordedDay playDecisionsDay(std::uint64_t seed);
RecordedDay playPushDay(std::uint64_t seed);
RecordedDay playPubsubDay(std::uint64_t seed);
RecordedDay playSimwireDay(std::uint64_t seed);

/// The exact value as a hexadecimal floating-point number.
std::string exactText(double value);
/// The bytes as pairs of hexadecimal digits.
std::string hexText(std::string_view bytes);
/// Printable bytes other than the backslash unchanged, and all other bytes as \xNN.
std::string escapedText(std::string_view bytes);
/// One event: the time in microseconds, a name and named values.
std::string eventText(Micros now, std::string_view name,
                      std::initializer_list<std::pair<std::string_view, std::string>> values);

} // namespace zincstack::tests
