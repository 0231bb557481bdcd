// A push stream that records the bytes written to it.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "platform/push_stream.h"

namespace zincstack::tests {

/// Stands for the connection to a proxy.
struct CapturingStream : net::PushStream {
    std::string received;
    bool isSlow = false; ///< rejects messages, as if the write queue were full
    bool wasReplaced = false;

    bool push(std::string_view bytes) override {
        if (!isSlow) received += bytes;
        return !isSlow;
    }
    bool idle() const override { return !isSlow; }
    void onReplaced() override { wasReplaced = true; }

    /// Returns the bytes recorded since the last call.
    std::string take() { return std::exchange(received, {}); }
};

} // namespace zincstack::tests
