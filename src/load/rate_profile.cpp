#include "load/rate_profile.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zincstack::load {

namespace {

constexpr double kMicrosPerSecond = 1e6;

double micros(Micros duration) { return static_cast<double>(duration.count()); }

} // namespace

RateProfile::RateProfile(std::vector<Point> points)
    : points_(std::move(points)), expectedUntilPoint_(points_.size(), 0) {
    for (std::size_t k = 1; k < points_.size(); ++k) {
        const Point& from = points_[k - 1];
        const Point& target = points_[k];
        expectedUntilPoint_[k] = expectedUntilPoint_[k - 1] + (from.rate + target.rate) / 2 *
                                                                  micros(target.time - from.time) /
                                                                  kMicrosPerSecond;
    }
}

RateProfile RateProfile::constant(double rate, Micros duration) {
    return RateProfile({{Micros{}, rate}, {duration, rate}});
}

RateProfile RateProfile::ramp(double initialRate, double finalRate, Micros duration) {
    return RateProfile({{Micros{}, initialRate}, {duration, finalRate}});
}

RateProfile RateProfile::surge(Micros start, double peak, Micros riseTime, Micros halfLife, Micros duration) {
    std::vector<Point> points{{Micros{}, 0}, {start, 0}, {start + riseTime, peak}};
    const auto rateAfter = [&](Micros sincePeak) {
        return peak / (1 + micros(sincePeak) / micros(halfLife));
    };
    const Micros firstStep = halfLife / 4;
    for (Micros sincePeak = firstStep; start + riseTime + sincePeak < duration;
         sincePeak += std::max(firstStep, sincePeak / 2))
        points.push_back({start + riseTime + sincePeak, rateAfter(sincePeak)});
    points.push_back(
        {std::max(duration, start + riseTime), rateAfter(std::max(duration - start - riseTime, Micros{}))});
    return RateProfile(std::move(points));
}

RateProfile RateProfile::bursts(double rate, Micros width, Micros interval, Micros duration) {
    std::vector<Point> points{{Micros{}, 0}};
    for (Micros start = interval; start + width <= duration; start += interval) {
        points.push_back({start, 0});
        points.push_back({start, rate});
        points.push_back({start + width, rate});
        points.push_back({start + width, 0});
    }
    points.push_back({duration, 0});
    return RateProfile(std::move(points));
}

RateProfile RateProfile::day(const std::vector<double>& rates, Micros duration) {
    if (rates.empty()) return {};
    const auto intervals = static_cast<std::int64_t>(rates.size());
    std::vector<Point> points{{Micros{}, rates.front()}};
    for (std::int64_t index = 0; index < intervals; ++index)
        points.push_back(
            {duration * (2 * index + 1) / (2 * intervals), rates[static_cast<std::size_t>(index)]});
    points.push_back({duration, rates.back()});
    return RateProfile(std::move(points));
}

RateProfile::StepRates RateProfile::ratesAround(Micros time) const {
    const auto from = std::ranges::lower_bound(points_, time, {}, &Point::time);
    const auto end = std::ranges::upper_bound(points_, time, {}, &Point::time);
    if (from == end) return {rateAt(time), rateAt(time)};
    // The rate is zero outside the points, so the first and the last point are steps.
    StepRates rates;
    rates.before = from == points_.begin() ? 0 : from->rate;
    rates.after = end == points_.end() ? 0 : (end - 1)->rate;
    return rates;
}

RateProfile operator+(const RateProfile& one, const RateProfile& other) {
    std::vector<Micros> times;
    for (const RateProfile* profile : {&one, &other})
        for (const auto& point : profile->points_) times.push_back(point.time);
    std::ranges::sort(times);
    const auto duplicates = std::ranges::unique(times);
    times.erase(duplicates.begin(), duplicates.end());
    std::vector<RateProfile::Point> points;
    for (const Micros time : times) {
        const auto ofOne = one.ratesAround(time);
        const auto ofOther = other.ratesAround(time);
        const double before = ofOne.before + ofOther.before;
        if (!points.empty() || before > 0) points.push_back({time, before});
        points.push_back({time, ofOne.after + ofOther.after});
    }
    return RateProfile(std::move(points));
}

double RateProfile::rateAt(Micros time) const {
    const auto next = std::ranges::upper_bound(points_, time, {}, &Point::time);
    if (next == points_.begin() || points_.empty()) return 0;
    if (next == points_.end()) return points_.back().time == time ? points_.back().rate : 0;
    const Point& from = *(next - 1);
    const Point& target = *next;
    return from.rate + (target.rate - from.rate) * micros(time - from.time) / micros(target.time - from.time);
}

double RateProfile::expectedUntil(Micros time) const {
    const auto next = std::ranges::upper_bound(points_, time, {}, &Point::time);
    if (next == points_.begin()) return 0;
    if (next == points_.end()) return expectedTotal();
    const auto last = static_cast<std::size_t>(next - points_.begin()) - 1;
    const Point& from = points_[last];
    return expectedUntilPoint_[last] +
           (from.rate + rateAt(time)) / 2 * micros(time - from.time) / kMicrosPerSecond;
}

std::optional<double> RateProfile::microsUntilExpected(double count) const {
    const auto next = std::ranges::lower_bound(expectedUntilPoint_, count);
    if (next == expectedUntilPoint_.end() || points_.size() < 2) return {};
    const auto reached = std::max<std::ptrdiff_t>(next - expectedUntilPoint_.begin(), 1);
    const auto segment = static_cast<std::size_t>(reached) - 1;
    const Point& from = points_[segment];
    const Point& target = points_[segment + 1];
    const double duration = micros(target.time - from.time) / kMicrosPerSecond;
    const double missing = count - expectedUntilPoint_[segment];
    if (missing <= 0 || duration <= 0) return micros(from.time);
    // missing = rate * t + slope / 2 * t * t, solved for t in a form that does not lose precision if the
    // slope is small.
    const double slope = (target.rate - from.rate) / duration;
    const double root = std::sqrt(std::max(from.rate * from.rate + 2 * slope * missing, 0.0));
    const double time = 2 * missing / (from.rate + root);
    return micros(from.time) + std::clamp(time, 0.0, duration) * kMicrosPerSecond;
}

} // namespace zincstack::load
