// A generator of rate profiles for property tests.
#pragma once

#include <rapidcheck.h>

#include "load/rate_profile.h"

namespace zincstack::tests {

/// A random profile of any kind, 10 to 60 seconds long.
inline load::RateProfile anyRateProfile() {
    using namespace std::chrono_literals;
    using load::RateProfile;
    const Micros duration = std::chrono::seconds(*rc::gen::inRange(10, 60));
    const double rate = *rc::gen::inRange(1, 200);
    RateProfile out = RateProfile::constant(rate, duration);
    switch (*rc::gen::inRange(0, 5)) {
    case 0: return out;
    case 1: return RateProfile::ramp(0, rate, duration);
    case 2: return out + RateProfile::surge(duration / 4, 5 * rate, 2s, 5s, duration);
    case 3: return out + RateProfile::bursts(3 * rate, 500ms, 3s, duration);
    default: return RateProfile::day({rate, 3 * rate, 0, 2 * rate}, duration) + out;
    }
}

} // namespace zincstack::tests
