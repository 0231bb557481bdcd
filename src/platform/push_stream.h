// The interface through which push messages are written to a peer, and by which its connection is closed.
#pragma once

#include <cstdint>
#include <string_view>

namespace zincstack::net {

/// The sending side of the connection of a proxy or collector. Nothing is pushed to a collector.
class PushStream {
public:
    virtual ~PushStream() = default;
    /// Queues a complete message, which is written as fast as the proxy reads. Returns false, and queues
    /// nothing, if the write queue has no room for it.
    virtual bool push(std::string_view bytes) = 0;
    /// Whether everything that was queued has been written.
    virtual bool idle() const = 0;
    /// Called when newer connections have taken this one's place, which ends it.
    virtual void onReplaced() = 0;
    /// Increases from connection to connection in the order in which they were accepted.
    virtual std::uint64_t acceptOrder() const { return 0; }
};

} // namespace zincstack::net
