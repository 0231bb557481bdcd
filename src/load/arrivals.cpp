#include "load/arrivals.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zincstack::load {

namespace {

double micros(Micros span) { return static_cast<double>(span.count()); }

} // namespace

Shape::Shape(std::vector<Point> points) : points_(std::move(points)) { sumUp(); }

void Shape::sumUp() {
    sums_.assign(points_.size(), 0);
    for (std::size_t k = 1; k < points_.size(); ++k)
        sums_[k] = sums_[k - 1] + (points_[k - 1].rate + points_[k].rate) / 2 *
                                      micros(points_[k].at - points_[k - 1].at) / 1e6;
}

Shape Shape::constant(double rate, Micros span) { return Shape({{Micros{}, rate}, {span, rate}}); }
Shape Shape::ramp(double from, double to, Micros span) { return Shape({{Micros{}, from}, {span, to}}); }

Shape Shape::surge(Micros start, double peak, Micros rise, Micros half, Micros span) {
    std::vector<Point> points{{Micros{}, 0}, {start, 0}, {start + rise, peak}};
    for (Micros since = half / 4; start + rise + since < span; since += std::max(half / 4, since / 2))
        points.push_back({start + rise + since, peak / (1 + micros(since) / micros(half))});
    points.push_back({std::max(span, start + rise),
                      peak / (1 + micros(std::max(span - start - rise, Micros{})) / micros(half))});
    return Shape(std::move(points));
}

Shape Shape::bursts(double rate, Micros width, Micros every, Micros span) {
    std::vector<Point> points{{Micros{}, 0}};
    for (Micros at = every; at + width <= span; at += every)
        for (const Point& point :
             {Point{at, 0}, Point{at, rate}, Point{at + width, rate}, Point{at + width, 0}})
            points.push_back(point);
    points.push_back({span, 0});
    return Shape(std::move(points));
}

Shape Shape::day(const std::vector<double>& rates, Micros span) {
    std::vector<Point> points;
    if (rates.empty()) return Shape();
    const auto parts = static_cast<std::int64_t>(rates.size());
    points.push_back({Micros{}, rates.front()});
    for (std::int64_t k = 0; k < parts; ++k)
        points.push_back({span * (2 * k + 1) / (2 * parts), rates[static_cast<std::size_t>(k)]});
    points.push_back({span, rates.back()});
    return Shape(std::move(points));
}

/// At each time of either, what both come to just before it and just after.
Shape operator+(const Shape& one, const Shape& other) {
    std::vector<Micros> times;
    for (const Shape* shape : {&one, &other})
        for (const auto& point : shape->points_) times.push_back(point.at);
    std::ranges::sort(times);
    times.erase(std::unique(times.begin(), times.end()), times.end());
    const auto sides = [](const Shape& shape, Micros time) -> std::pair<double, double> {
        const auto& points = shape.points_;
        const auto from = std::ranges::lower_bound(points, time, {}, &Shape::Point::at);
        const auto to = std::ranges::upper_bound(points, time, {}, &Shape::Point::at);
        if (from == to) return {shape.at(time), shape.at(time)};
        // Outside its points there is none, so the ends are steps.
        return {from == points.begin() ? 0 : from->rate, to == points.end() ? 0 : (to - 1)->rate};
    };
    std::vector<Shape::Point> points;
    for (const Micros time : times) {
        const auto [before, after] = sides(one, time);
        const auto [before2, after2] = sides(other, time);
        if (!points.empty() || before + before2 > 0) points.push_back({time, before + before2});
        points.push_back({time, after + after2});
    }
    return Shape(std::move(points));
}

double Shape::at(Micros time) const {
    const auto next = std::ranges::upper_bound(points_, time, {}, &Point::at);
    if (next == points_.begin() || points_.empty()) return 0;
    if (next == points_.end()) return points_.back().at == time ? points_.back().rate : 0;
    const Point &from = *(next - 1), &to = *next;
    return from.rate + (to.rate - from.rate) * micros(time - from.at) / micros(to.at - from.at);
}

double Shape::until(Micros time) const {
    const auto next = std::ranges::upper_bound(points_, time, {}, &Point::at);
    if (next == points_.begin()) return 0;
    if (next == points_.end()) return all();
    const auto k = static_cast<std::size_t>(next - points_.begin()) - 1;
    return sums_[k] + (points_[k].rate + at(time)) / 2 * micros(time - points_[k].at) / 1e6;
}

std::optional<double> Shape::whenMicros(double many) const {
    const auto next = std::ranges::lower_bound(sums_, many);
    if (next == sums_.end() || points_.size() < 2) return {};
    const auto k = static_cast<std::size_t>(std::max<std::ptrdiff_t>(next - sums_.begin(), 1)) - 1;
    const Point &from = points_[k], &to = points_[k + 1];
    const double span = micros(to.at - from.at) / 1e6, missing = many - sums_[k];
    if (missing <= 0 || span <= 0) return micros(from.at);
    // missing = rate * t + slope / 2 * t * t, for t; in a form that loses nothing where the slope is small.
    const double slope = (to.rate - from.rate) / span;
    const double root = std::sqrt(std::max(from.rate * from.rate + 2 * slope * missing, 0.0));
    const double time = 2 * missing / (from.rate + root);
    return micros(from.at) + std::clamp(time, 0.0, span) * 1e6;
}

/// By comparisons alone (J. von Neumann, "Various techniques used in connection with random digits", 1951): the
/// length of a falling run of uniform draws is odd with the chance that makes its first draw exponential.
double Arrivals::exponential() {
    for (std::uint64_t whole = 0;; ++whole) {
        const std::uint64_t first = chance_();
        std::uint64_t last = first;
        bool odd = true;
        for (std::uint64_t draw = chance_(); draw < last; draw = chance_()) last = draw, odd = !odd;
        if (odd) return static_cast<double>(whole) + static_cast<double>(first >> 11) / 9007199254740992.0;
    }
}

std::optional<Micros> Arrivals::next() {
    due_ += kind_ == Kind::Even ? 1 : exponential();
    const auto when = shape_.whenMicros(due_);
    if (!when) return {};
    return Micros(static_cast<std::int64_t>(*when));
}

} // namespace zincstack::load
