// When the requests of an open-loop load generator are to be sent. Open loop: nothing here depends on answers.
//
// The schedule depends on the profile and the seed alone and is the same on every machine: chance is drawn by
// comparing integers. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>

#include "load/rate_profile.h"

namespace zincstack::load {

/// Times of arrivals one after another, by a rate profile.
class ArrivalSchedule {
public:
    enum class Process : std::uint8_t { Even, Poisson };
    ArrivalSchedule(RateProfile profile, Process process, std::uint64_t seed)
        : profile_(std::move(profile)), process_(process), random_(seed) {}
    /// The next arrival, no earlier than the one before; none: there are no more.
    std::optional<Micros> next();

private:
    /// A draw from the exponential distribution of mean 1.
    double drawExponential();

    const RateProfile profile_;
    const Process process_;
    std::mt19937_64 random_;
    double expected_ = 0; // requests that are expected by the next arrival
};

} // namespace zincstack::load
