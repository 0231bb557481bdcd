// The interface between a connection and the protocol that its peer speaks.
#pragma once

#include <string_view>

namespace zincstack::net {

/// A state machine that a connection feeds with received bytes. Performs no I/O itself.
class PeerProtocol {
public:
    virtual ~PeerProtocol() = default;

    /// Processes received bytes. Returns false if the connection is to be closed; `feed` is not called again
    /// then.
    virtual bool feed(std::string_view bytes) = 0;
    /// Called at the join deadline, and again at regular intervals while the peer is provisional.
    /// `isFull`: new connections are waiting for room. Returns false if the connection is to be closed.
    virtual bool joinDeadlineExpired(bool isFull) = 0;
    /// Whether the peer still has to show that its connection is needed, for instance by identifying itself.
    virtual bool isProvisional() const = 0;
    /// Called when everything that was queued for the peer has been written.
    virtual void writeQueueDrained() {}
    /// Called when the connection has been closed.
    virtual void connectionClosed() = 0;
    /// Bytes to write before this side closes the connection; may be empty. Only as many are written as the
    /// socket accepts without blocking.
    virtual std::string_view closingMessage() const { return {}; }
};

} // namespace zincstack::net
