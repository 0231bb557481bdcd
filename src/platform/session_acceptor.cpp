#include "platform/session_acceptor.h"

#include <utility>

#include "platform/peer_session.h"
#include "platform/push_stream.h"

namespace zincstack::net {

namespace {

/// Adapts a PeerSession to a Connection: received bytes go to the session, push messages to the connection.
class ConnectedSession final : public PeerProtocol, PushStream {
public:
    ConnectedSession(Connection& connection, std::uint64_t acceptOrder, InputTranslator& inputs,
                     Counters& counters, BufferPool& lineBuffers, std::function<void()> answerProbe)
        : connection_(connection), acceptOrder_(acceptOrder),
          session_(inputs, counters, lineBuffers, *this, std::move(answerProbe)) {}

    bool feed(std::string_view bytes) override { return session_.feed(bytes); }
    bool joinDeadlineExpired(bool isFull) override { return session_.joinDeadlineExpired(isFull); }
    bool isProvisional() const override { return session_.isProvisional(); }
    void connectionClosed() override { session_.connectionClosed(); }
    std::string_view closingMessage() const override {
        return session_.isRejected() ? "error reason=refused\r\n" : std::string_view{};
    }

private:
    bool push(std::string_view bytes) override { return connection_.push(bytes); }
    bool idle() const override { return connection_.idle(); }
    void onReplaced() override { connection_.close("replaced by a newer stream"); }
    std::uint64_t acceptOrder() const override { return acceptOrder_; }

    Connection& connection_;
    const std::uint64_t acceptOrder_;
    PeerSession session_;
};

} // namespace

std::unique_ptr<PeerProtocol> SessionAcceptor::accept(Connection& connection) {
    return std::make_unique<ConnectedSession>(connection, ++acceptedCount_, inputs_, counters_, lineBuffers_,
                                              [this, &connection] { answerProbe(connection); });
}

void SessionAcceptor::startServing() {
    if (std::exchange(isServing_, true)) return;
    for (const auto& probed : std::exchange(unansweredProbes_, {}))
        if (const auto connection = probed.lock()) answerProbe(*connection);
}

void SessionAcceptor::answerProbe(Connection& connection) {
    if (!isServing_) return unansweredProbes_.push_back(connection.weak_from_this());
    counters_.add(Counter::ProbesAnswered);
    if (!connection.push("alive\r\n"))
        counters_.recordIgnored(Counter::NoRoom, "no room in the write queue to answer a probe");
}

} // namespace zincstack::net
