#include "platform/session_acceptor.h"

#include <utility>

#include "platform/peer_session.h"
#include "platform/push_stream.h"

namespace zincstack::net {

namespace {

/// A session with the way back to its own connection.
class Visitor final : public PeerProtocol, PushStream {
public:
    Visitor(Connection& connection, InputTranslator& intake, Counters& counters, BufferPool& lines,
            std::function<void()> alive)
        : connection_(connection), session_(intake, counters, lines, *this, std::move(alive)) {}

    bool feed(std::string_view bytes) override { return session_.feed(bytes); }
    bool joinDeadlineExpired() override { return session_.mayStay(); }
    bool isUnidentified() const override { return session_.stranger(); }
    void connectionClosed() override { session_.ended(); }
    std::string_view farewell() const override {
        return session_.refused() ? "error reason=refused\r\n" : std::string_view{};
    }

private:
    bool push(std::string_view bytes) override { return connection_.push(bytes); }
    bool idle() const override { return connection_.idle(); }
    void replaced() override { connection_.close("replaced by a newer stream"); }

    Connection& connection_;
    PeerSession session_;
};

} // namespace

std::unique_ptr<PeerProtocol> SessionAcceptor::accept(Connection& connection) {
    return std::make_unique<Visitor>(connection, intake_, counters_, lines_,
                                     [this, &connection] { alive(connection); });
}

void SessionAcceptor::startServing() {
    if (std::exchange(serving_, true)) return;
    for (const auto& one : std::exchange(asking_, {}))
        if (const auto connection = one.lock()) alive(*connection);
}

void SessionAcceptor::alive(Connection& connection) {
    if (!serving_) return asking_.push_back(connection.weak_from_this());
    counters_.add(Counter::ProbesAnswered);
    if (!connection.push("alive\r\n")) counters_.recordIgnored(Counter::NoRoom, "no room for an answer");
}

} // namespace zincstack::net
