#include "pubsub/subscriber_session.h"

#include <utility>

namespace zincstack::pubsub {

namespace {

/// Passes received bytes to the server as frames, and the server's frames to the connection.
class SubscriberSession final : public net::PeerProtocol, FrameTarget {
public:
    SubscriberSession(SubscriptionServer& server, net::Connection& connection)
        : server_(server), connection_(connection), subscriber_(&server.sessionOpened(*this)) {}

    bool feed(std::string_view bytes) override {
        if (!subscriber_) return false;
        const auto fault =
            reader_.feed(bytes, [&](Frame& frame) { return server_.handleFrame(*subscriber_, frame); });
        if (fault) server_.protocolError(*subscriber_, *fault);
        return subscriber_->state() != SessionState::Leaving;
    }
    bool joinDeadlineExpired(bool /*isFull*/) override {
        if (!subscriber_) return false;
        if (!isProvisional()) return true;
        server_.protocolError(*subscriber_, "no greeting within its time");
        return false;
    }
    bool isProvisional() const override {
        return subscriber_ && subscriber_->state() == SessionState::Greeting;
    }
    void connectionClosed() override {
        if (subscriber_) server_.sessionClosed(*std::exchange(subscriber_, nullptr));
    }
    std::string_view closingMessage() const override { return finalFrame_; }

private:
    bool push(const SharedFrame& frame) override { return connection_.push(frame); }
    void close(std::string finalFrame) override {
        finalFrame_ = std::move(finalFrame);
        connection_.closeWithMessage("session ended by the subscription server");
    }

    SubscriptionServer& server_;
    net::Connection& connection_;
    FrameReader reader_{kMaxClientFrameBytes};
    // Null once the connection is closed: a pending write can keep this session alive for longer.
    Subscriber* subscriber_;
    std::string finalFrame_; // sent before the connection is closed; may be empty
};

} // namespace

std::unique_ptr<net::PeerProtocol> makeSubscriberSession(SubscriptionServer& server,
                                                         net::Connection& connection) {
    return std::make_unique<SubscriberSession>(server, connection);
}

} // namespace zincstack::pubsub
