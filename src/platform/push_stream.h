// The interface through which UpdateQueue writes push messages to a proxy.
#pragma once

#include <string_view>

namespace zincstack::net {

/// The sending side of a proxy's connection.
class PushStream {
public:
    virtual ~PushStream() = default;
    /// Queues a complete message, which is written as fast as the proxy reads. Returns false, and queues
    /// nothing, if the write queue has no room for it.
    virtual bool push(std::string_view bytes) = 0;
    /// Whether everything that was queued has been written.
    virtual bool idle() const = 0;
    /// Called when the proxy has opened a newer stream, which ends this one.
    virtual void onReplaced() = 0;
};

} // namespace zincstack::net
