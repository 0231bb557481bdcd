// A proxy's push stream that keeps what is written to it.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "platform/push_stream.h"

namespace zincstack::tests {

struct CapturingStream : net::PushStream {
    std::string received;
    bool isSlow = false; ///< accepts nothing, as if its buffer were full
    bool wasReplaced = false;

    bool push(std::string_view bytes) override {
        if (!isSlow) received += bytes;
        return !isSlow;
    }
    bool idle() const override { return !isSlow; }
    void replaced() override { wasReplaced = true; }

    std::string take() { return std::exchange(received, {}); }
};

} // namespace zincstack::tests
