#include "client/reconnect_backoff.h"

#include <algorithm>

namespace zincstack::client {

namespace {

/// Keeps the shift in range. `ReconnectConfig::maxDelay` normally caps the delay after fewer doublings.
constexpr unsigned kMaxDoublings = 16;
/// Upper limit of the delay that a planner can request, as a multiple of `ReconnectConfig::maxDelay`.
constexpr int kMaxRetryAfterInMaxDelays = 12;

} // namespace

ReconnectBackoff::Attempt ReconnectBackoff::nextAttempt(Micros sessionDuration,
                                                        std::optional<Micros> retryAfter) {
    if (sessionDuration >= config_.resetAfter) failures_ = 0;
    if (retryAfter) {
        failures_ = 0;
        return {plannerIndex_, std::min(*retryAfter, config_.maxDelay * kMaxRetryAfterInMaxDelays)};
    }
    plannerIndex_ = (plannerIndex_ + 1) % plannerCount_;
    const unsigned rounds = failures_ / static_cast<unsigned>(plannerCount_);
    ++failures_;
    const unsigned doublings = std::min(rounds, kMaxDoublings);
    const Micros delay = std::min(Micros(config_.initialDelay * (1LL << doublings)), config_.maxDelay);
    // The output of std::mt19937 is the same on every platform; that of the standard distributions is not.
    const auto halfRange = static_cast<std::uint64_t>(delay.count() / 2 + 1);
    return {plannerIndex_, delay / 2 + Micros(random_() % halfRange)};
}

} // namespace zincstack::client
