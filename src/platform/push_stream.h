// The stream on which a proxy receives push messages, as far as UpdateQueue needs to know it.
#pragma once

#include <string_view>

namespace zincstack::net {

class PushStream {
public:
    virtual ~PushStream() = default;
    /// Accepts a complete message, to be written as fast as the reader reads; false if its buffer is full.
    virtual bool push(std::string_view bytes) = 0;
    /// Whether everything accepted so far has been written.
    virtual bool idle() const = 0;
    /// The proxy has opened a newer stream: this one ends.
    virtual void replaced() = 0;
};

} // namespace zincstack::net
