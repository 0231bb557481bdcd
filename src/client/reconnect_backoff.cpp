#include "client/reconnect_backoff.h"

#include <algorithm>

namespace zincstack::client {

namespace {

constexpr unsigned kDoublingsMost = 16;

} // namespace

ReconnectBackoff::Call ReconnectBackoff::next(Micros held, std::optional<Micros> again) {
    if (held >= terms_.resetAfter) failures_ = 0;
    if (again) {
        failures_ = 0;
        return {address_, std::min(*again, terms_.maxDelay * 12)};
    }
    address_ = (address_ + 1) % addresses_;
    const unsigned doublings = std::min(failures_++ / static_cast<unsigned>(addresses_), kDoublingsMost);
    const Micros wait = std::min(Micros(terms_.initialDelay * (1LL << doublings)), terms_.maxDelay);
    // std's distributions differ between libraries; the engine's own numbers do not.
    return {address_, wait / 2 + Micros(chance_() % static_cast<std::uint64_t>(wait.count() / 2 + 1))};
}

} // namespace zincstack::client
