#include "client/reconnect_backoff.h"

#include <algorithm>

namespace zincstack::client {

namespace {

constexpr unsigned kMaxDoublings = 16; // keeps the shift in range; maxDelay bounds the delay before that
constexpr int kMaxRetryAfterInMaxDelays =
    12; // a planner's Retry-After is followed up to so many times maxDelay

} // namespace

ReconnectBackoff::Attempt ReconnectBackoff::nextAttempt(Micros sessionDuration,
                                                        std::optional<Micros> retryAfter) {
    if (sessionDuration >= config_.resetAfter) failures_ = 0;
    if (retryAfter) {
        failures_ = 0;
        return {address_, std::min(*retryAfter, config_.maxDelay * kMaxRetryAfterInMaxDelays)};
    }
    address_ = (address_ + 1) % addressCount_;
    const unsigned rounds = failures_ / static_cast<unsigned>(addressCount_);
    ++failures_;
    const unsigned doublings = std::min(rounds, kMaxDoublings);
    const Micros delay = std::min(Micros(config_.initialDelay * (1LL << doublings)), config_.maxDelay);
    // The standard library's distributions differ between implementations; the engine's own numbers do not.
    const auto halfRange = static_cast<std::uint64_t>(delay.count() / 2 + 1);
    return {address_, delay / 2 + Micros(random_() % halfRange)};
}

} // namespace zincstack::client
