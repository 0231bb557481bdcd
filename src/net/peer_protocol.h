// What the driver of a connection needs of its peer's protocol: a state machine that is fed bytes.
#pragma once

#include <string_view>

namespace zincstack::net {

class PeerProtocol {
public:
    virtual ~PeerProtocol() = default;
    /// False: nothing more is taken on this connection.
    virtual bool feed(std::string_view bytes) = 0;
    /// The time to join is over. False: it has not, and nothing more is taken.
    virtual bool joinDeadlineExpired() = 0;
    /// It has said nothing yet that makes it more than a connection.
    virtual bool isUnidentified() const = 0;
    /// All that was queued for it has been written.
    virtual void writeQueueDrained() {}
    /// The connection has ended.
    virtual void connectionClosed() = 0;
    /// Said before the close, as far as the system takes it at once; often nothing.
    virtual std::string_view farewell() const { return {}; }
};

} // namespace zincstack::net
