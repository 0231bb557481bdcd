// The send times of an open-loop load generator. Open loop: the schedule does not depend on responses.
//
// The schedule depends on the profile and the seed alone and is the same on every machine, because random
// values are drawn by comparing integers. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>

#include "load/rate_profile.h"

namespace zincstack::load {

/// Generates arrival times that follow a rate profile.
class ArrivalSchedule {
public:
    /// Even: one arrival per expected request. Poisson: exponentially distributed gaps.
    enum class Process : std::uint8_t { Even, Poisson };
    ArrivalSchedule(RateProfile profile, Process process, std::uint64_t seed)
        : profile_(std::move(profile)), process_(process), random_(seed) {}
    /// The next arrival, no earlier than the previous one; std::nullopt after the last arrival.
    std::optional<Micros> next();

private:
    /// A random value from the exponential distribution with mean 1.
    double drawExponential();

    const RateProfile profile_;
    const Process process_;
    std::mt19937_64 random_;
    double expectedCount_ = 0; // requests expected by the time of the last arrival
};

} // namespace zincstack::load
