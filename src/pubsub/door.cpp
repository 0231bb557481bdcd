#include "pubsub/door.h"

#include <utility>

namespace zincstack::pubsub {

namespace {

class Visitor final : public net::Peer, FrameTarget {
public:
    Visitor(Hub& hub, net::Connection& connection)
        : hub_(hub), connection_(connection), subscriber_(&hub.opened(*this)) {}

    bool feed(std::string_view bytes) override {
        if (!subscriber_) return false;
        const auto fault = reader_.feed(bytes, [&](Frame& frame) { return hub_.take(*subscriber_, frame); });
        if (fault) hub_.garbled(*subscriber_, *fault);
        return subscriber_->state() != State::Leaving;
    }
    bool mayStay() override {
        if (!subscriber_ || !stranger()) return subscriber_ != nullptr;
        hub_.garbled(*subscriber_, "no greeting within its time");
        return false;
    }
    bool stranger() const override { return subscriber_ && subscriber_->state() == State::Greeting; }
    void ended() override {
        if (subscriber_) hub_.ended(*std::exchange(subscriber_, nullptr));
    }
    std::string_view lastWords() const override { return lastWords_; }

private:
    bool push(const SharedFrame& frame) override { return connection_.push(frame); }
    void leave(std::string lastWords) override {
        lastWords_ = std::move(lastWords);
        connection_.end("the channel let it go");
    }

    Hub& hub_;
    net::Connection& connection_;
    FrameReader reader_{kClientFrameMost};
    Subscriber* subscriber_; // null once it has ended: a write that is still pending keeps the connection
    std::string lastWords_;
};

} // namespace

std::unique_ptr<net::Peer> makeVisitor(Hub& hub, net::Connection& connection) {
    return std::make_unique<Visitor>(hub, connection);
}

} // namespace zincstack::pubsub
