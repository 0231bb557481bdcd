#include "load/arrival_schedule.h"

namespace zincstack::load {

namespace {

/// Maps a draw to a fraction in [0, 1) with the 53 bits of a double's significand.
double toFraction(std::uint64_t draw) {
    constexpr unsigned kDroppedBits = 11;
    constexpr double kTwoToThe53 = 9007199254740992.0;
    return static_cast<double>(draw >> kDroppedBits) / kTwoToThe53;
}

} // namespace

/// Uses comparisons alone (J. von Neumann, "Various techniques used in connection with random digits", 1951):
/// a falling run of uniform draws that starts with x has odd length with probability exp(-x). The first draw
/// of the first odd run is the fractional part, and the number of even runs before it is the whole part.
double ArrivalSchedule::drawExponential() {
    for (std::uint64_t wholePart = 0;; ++wholePart) {
        const std::uint64_t first = random_();
        std::uint64_t last = first;
        bool isOdd = true;
        for (std::uint64_t draw = random_(); draw < last; draw = random_()) {
            last = draw;
            isOdd = !isOdd;
        }
        if (isOdd) return static_cast<double>(wholePart) + toFraction(first);
    }
}

std::optional<Micros> ArrivalSchedule::next() {
    expectedCount_ += process_ == Process::Even ? 1 : drawExponential();
    const auto time = profile_.microsUntilExpected(expectedCount_);
    if (!time) return {};
    return Micros(static_cast<std::int64_t>(*time));
}

} // namespace zincstack::load
