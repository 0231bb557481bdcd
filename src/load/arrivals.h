// When txns are meant to go out: shapes of a rate over time, and arrivals drawn from them. Open loop: nothing
// here knows of answers. No I/O. The schedule depends on shape and seed alone and is the same on every machine:
// shapes are polylines, so that only the four operations and a square root are used, and chance is drawn by
// comparing whole numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "planner/planner.h"

namespace zincstack::load {

/// Txns a second over time, from zero on; straight between its points, none outside them.
class Shape {
public:
    struct Point {
        Micros at;
        double rate; ///< not below 0
    };
    Shape() = default;
    /// Points in order of time; two at one time make a step.
    explicit Shape(std::vector<Point> points);

    static Shape constant(double rate, Micros span);
    static Shape ramp(double from, double to, Micros span);
    /// A village that hears of it all at once: from nothing to the peak within `rise`, then a long tail: half of
    /// the peak after `half`, a third after twice that, a quarter after three times, until `span` is over.
    static Shape surge(Micros start, double peak, Micros rise, Micros half, Micros span);
    /// Bursts of that rate and width, one each `every`.
    static Shape bursts(double rate, Micros width, Micros every, Micros span);
    /// A day: the rate of each part of the day in turn, straight between their middles.
    static Shape day(const std::vector<double>& rates, Micros span);
    friend Shape operator+(const Shape& one, const Shape& other);

    double at(Micros time) const;
    /// Txns that are to be expected from zero to that time.
    double until(Micros time) const;
    /// When so many have come to be expected; none: they never are.
    std::optional<double> whenMicros(double many) const;
    Micros end() const { return points_.empty() ? Micros{} : points_.back().at; }
    double all() const { return sums_.empty() ? 0 : sums_.back(); }

private:
    void sumUp();
    std::vector<Point> points_;
    std::vector<double> sums_; // expected until each point
};

/// Arrivals one after another, by a shape.
class Arrivals {
public:
    enum class Kind : std::uint8_t { Even, Poisson };
    Arrivals(Shape shape, Kind kind, std::uint64_t seed)
        : shape_(std::move(shape)), kind_(kind), chance_(seed) {}
    /// The next one, no earlier than the one before; none: that was all.
    std::optional<Micros> next();

private:
    double exponential();
    const Shape shape_;
    const Kind kind_;
    std::mt19937_64 chance_;
    double due_ = 0; // expected by the next arrival
};

} // namespace zincstack::load
