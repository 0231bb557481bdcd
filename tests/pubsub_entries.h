// Builders of pub-sub entries and frames for tests.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pubsub/frame.h"
#include "pubsub/topic_log.h"

namespace zincstack::tests {

using Weights = std::map<std::string, double>;

/// Returns the entry that sets the weight of endpoint `s-<number>`; weight 0 removes the endpoint.
inline pubsub::Entry weightEntry(int number, double weight) {
    return {{pubsub::Key::Kind::Weight, "s-" + std::to_string(number)}, {weight, {}}};
}

/// Applies weight entries to a map of weights by endpoint name.
inline void applyTo(Weights& weights, const std::vector<pubsub::Entry>& entries) {
    for (const auto& [key, value] : entries)
        if (value.number > 0)
            weights[key.name] = value.number;
        else
            weights.erase(key.name);
}

/// Returns a frame with different values in the topic, epoch, sequence and since fields.
inline pubsub::Frame frameOf(pubsub::FrameType type, std::string body = {}) {
    pubsub::Frame frame{type};
    frame.topic = {3};
    frame.epoch = {7};
    frame.sequence = {9};
    frame.since = {8};
    frame.body = std::move(body);
    return frame;
}

} // namespace zincstack::tests
