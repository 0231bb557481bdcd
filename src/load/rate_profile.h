// The request rate of an open-loop load generator over time. No I/O.
//
// A profile is a polyline, so that only the four operations and a square root are used and the schedule drawn from it
// is the same on every machine.
#pragma once

#include <optional>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

/// Requests a second over time, from zero on: straight between its points, none outside them.
class RateProfile {
public:
    struct Point {
        Micros time;
        double rate; ///< requests a second, not below 0
    };
    RateProfile() = default;
    /// Points in order of time; two at one time make a step.
    explicit RateProfile(std::vector<Point> points);

    static RateProfile constant(double rate, Micros duration);
    static RateProfile ramp(double initialRate, double finalRate, Micros duration);
    /// A flash crowd: from nothing to `peak` within `riseTime`, then a long tail: half of the peak after `halfLife`, a
    /// third after twice that, a quarter after three times, until `duration` is over.
    static RateProfile surge(Micros start, double peak, Micros riseTime, Micros halfLife, Micros duration);
    /// Bursts of that rate and width, one each `interval`.
    static RateProfile bursts(double rate, Micros width, Micros interval, Micros duration);
    /// A day: the rate of each part of the day in turn, straight between their middles.
    static RateProfile day(const std::vector<double>& rates, Micros duration);
    friend RateProfile operator+(const RateProfile& one, const RateProfile& other);

    double rateAt(Micros time) const;
    /// Requests that are expected from zero to that time.
    double expectedUntil(Micros time) const;
    /// When so many requests have come to be expected, in microseconds; none: they never are.
    std::optional<double> microsUntilExpected(double count) const;
    Micros end() const { return points_.empty() ? Micros{} : points_.back().time; }
    double expectedTotal() const { return expectedUntilPoint_.empty() ? 0 : expectedUntilPoint_.back(); }

private:
    /// The rates just before a time and just after it, which differ at a step.
    struct StepRates {
        double before = 0;
        double after = 0;
    };
    StepRates ratesAround(Micros time) const;

    std::vector<Point> points_;
    std::vector<double> expectedUntilPoint_; // by point
};

} // namespace zincstack::load
