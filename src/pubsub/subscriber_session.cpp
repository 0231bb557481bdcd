#include "pubsub/subscriber_session.h"

#include <utility>

namespace zincstack::pubsub {

namespace {

class Visitor final : public net::PeerProtocol, FrameTarget {
public:
    Visitor(SubscriptionServer& hub, net::Connection& connection)
        : hub_(hub), connection_(connection), subscriber_(&hub.sessionOpened(*this)) {}

    bool feed(std::string_view bytes) override {
        if (!subscriber_) return false;
        const auto fault =
            reader_.feed(bytes, [&](Frame& frame) { return hub_.handleFrame(*subscriber_, frame); });
        if (fault) hub_.protocolError(*subscriber_, *fault);
        return subscriber_->state() != State::Leaving;
    }
    bool joinDeadlineExpired() override {
        if (!subscriber_ || !isUnidentified()) return subscriber_ != nullptr;
        hub_.protocolError(*subscriber_, "no greeting within its time");
        return false;
    }
    bool isUnidentified() const override { return subscriber_ && subscriber_->state() == State::Greeting; }
    void connectionClosed() override {
        if (subscriber_) hub_.sessionClosed(*std::exchange(subscriber_, nullptr));
    }
    std::string_view farewell() const override { return lastWords_; }

private:
    bool push(const SharedFrame& frame) override { return connection_.push(frame); }
    void leave(std::string lastWords) override {
        lastWords_ = std::move(lastWords);
        connection_.end("the channel let it go");
    }

    SubscriptionServer& hub_;
    net::Connection& connection_;
    FrameReader reader_{kClientFrameMost};
    Subscriber* subscriber_; // null once it has ended: a write that is still pending keeps the connection
    std::string lastWords_;
};

} // namespace

std::unique_ptr<net::PeerProtocol> makeSubscriberSession(SubscriptionServer& hub,
                                                         net::Connection& connection) {
    return std::make_unique<Visitor>(hub, connection);
}

} // namespace zincstack::pubsub
