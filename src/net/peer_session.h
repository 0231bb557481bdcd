// One peer's side of the protocol: what it may say, and what follows. Fed bytes; knows no socket.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "net/counters.h"
#include "net/intake.h"
#include "net/line_framer.h"
#include "net/push_target.h"

namespace zincstack::net {

class PeerSession {
public:
    /// `alive` is called for each probe of the peer.
    PeerSession(Intake& intake, Counters& counters, BufferPool& pool, PushTarget& stream,
                std::function<void()> alive);

    /// False: nothing more can be framed on this connection.
    bool feed(std::string_view bytes);
    /// The connection has ended.
    void ended();
    std::optional<ProxyId> proxy() const { return proxy_; }
    /// It has said nothing yet that makes it a collector or a proxy.
    bool stranger() const { return state_ == State::Stranger; }

private:
    enum class State { Stranger, Collector, Stream, Any };
    enum class Word { Probe, Agent, Hello, Ack, Outcomes, Demand };
    enum class Effect { Alive, Name, Join, Applied, Sums, Usage };
    struct Row {
        State state;
        Word word;
        State next;
        Effect effect;
    };
    static const Row kRows[];

    void line(std::string_view text);
    bool act(Effect effect, const Message& message);

    Intake& intake_;
    Counters& counters_;
    PushTarget& stream_;
    std::function<void()> alive_;
    LineFramer framer_;
    State state_ = State::Stranger;
    std::optional<ProxyId> proxy_;
};

} // namespace zincstack::net
