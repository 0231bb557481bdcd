// The request rate of an open-loop load generator over time. No I/O.
//
// A profile is a polyline, so that the four basic operations and a square root suffice and the schedule drawn
// from it is the same on every machine.
#pragma once

#include <optional>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

/// Request rate over time, starting at time zero: linear between its points, zero outside them.
class RateProfile {
public:
    struct Point {
        Micros time;
        double rate; ///< requests per second, not negative
    };
    RateProfile() = default;
    /// Points in order of time. Two points at the same time form a step.
    explicit RateProfile(std::vector<Point> points);

    static RateProfile constant(double rate, Micros duration);
    static RateProfile ramp(double initialRate, double finalRate, Micros duration);
    /// A flash crowd: the rate rises from zero to `peak` within `riseTime`, followed by a long tail until
    /// `duration`: half of the peak after `halfLife`, a third after 2 * `halfLife`, a quarter after
    /// 3 * `halfLife`.
    static RateProfile surge(Micros start, double peak, Micros riseTime, Micros halfLife, Micros duration);
    /// Bursts of the given rate and width, one per `interval`.
    static RateProfile bursts(double rate, Micros width, Micros interval, Micros duration);
    /// A day split into equal intervals: `rates` holds the rate at the middle of each, with linear
    /// transitions between.
    static RateProfile day(const std::vector<double>& rates, Micros duration);
    /// The sum of the two rates at each time.
    friend RateProfile operator+(const RateProfile& one, const RateProfile& other);

    double rateAt(Micros time) const;
    /// The number of requests expected from time zero to `time`.
    double expectedUntil(Micros time) const;
    /// The time in microseconds at which the expected number of requests reaches `count`; std::nullopt if it
    /// never does.
    std::optional<double> microsUntilExpected(double count) const;
    Micros end() const { return points_.empty() ? Micros{} : points_.back().time; }
    double expectedTotal() const { return expectedUntilPoint_.empty() ? 0 : expectedUntilPoint_.back(); }

private:
    /// The rates just before and just after a time, which differ at a step.
    struct StepRates {
        double before = 0;
        double after = 0;
    };
    StepRates ratesAround(Micros time) const;

    std::vector<Point> points_;
    std::vector<double> expectedUntilPoint_; // parallel to points_
};

} // namespace zincstack::load
