// The interface between a connection and the protocol that its peer speaks.
#pragma once

#include <string_view>

namespace zincstack::net {

/// A state machine that a connection feeds with bytes. Knows no socket.
class PeerProtocol {
public:
    virtual ~PeerProtocol() = default;

    /// Takes received bytes. False: the connection is to be closed and nothing more is fed.
    virtual bool feed(std::string_view bytes) = 0;
    /// The time to identify itself is over. False: the peer has not, and the connection is to be closed.
    virtual bool joinDeadlineExpired() = 0;
    /// Whether the peer has yet to say which kind of peer it is.
    virtual bool isUnidentified() const = 0;
    /// Everything that was queued for the peer has been written.
    virtual void writeQueueDrained() {}
    /// The connection is closed.
    virtual void connectionClosed() = 0;
    /// Bytes written before this side closes the connection, as far as the socket takes them at once; may be empty.
    virtual std::string_view farewell() const { return {}; }
};

} // namespace zincstack::net
