#include "load/arrival_schedule.h"

namespace zincstack::load {

namespace {

/// A fraction below 1 with all 53 bits that a double can hold.
double toFraction(std::uint64_t draw) {
    constexpr unsigned kDroppedBits = 11;
    constexpr double kTwoToThe53 = 9007199254740992.0;
    return static_cast<double>(draw >> kDroppedBits) / kTwoToThe53;
}

} // namespace

/// By comparisons alone (J. von Neumann, "Various techniques used in connection with random digits", 1951): the
/// length of a falling run of uniform draws is odd with the chance that makes its first draw exponential.
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
    expected_ += process_ == Process::Even ? 1 : drawExponential();
    const auto time = profile_.microsUntilExpected(expected_);
    if (!time) return {};
    return Micros(static_cast<std::int64_t>(*time));
}

} // namespace zincstack::load
