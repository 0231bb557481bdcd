// One peer's side of the protocol: what it may say, and what follows. Fed bytes; knows no socket.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "metrics/counters.h"
#include "net/line_framer.h"
#include "platform/input_translator.h"
#include "platform/push_stream.h"

namespace zincstack::net {

class PeerSession {
public:
    /// `alive` is called for each probe of the peer.
    PeerSession(InputTranslator& intake, Counters& counters, BufferPool& pool, PushStream& stream,
                std::function<void()> alive);

    /// False: nothing more is taken on this connection.
    bool feed(std::string_view bytes);
    /// The time to join is over. False: it has not, and nothing more is taken.
    bool mayStay();
    /// The connection has ended.
    void ended();
    std::optional<ProxyId> proxy() const { return proxy_; }
    /// It has said nothing yet that makes it a collector or a proxy.
    bool stranger() const { return state_ == State::Stranger; }
    /// It never joined, and is to be told `error` before the close.
    bool refused() const { return state_ == State::Refused; }

private:
    enum class State { Stranger, Collector, Stream, Refused, Gone, Any };
    enum class Word { Probe, Agent, Hello, Ack, Outcomes, Demand, Other, Unusable, Unreadable, Late, Any };
    enum class Effect { Nothing, Alive, Name, Join, Applied, Sums, Usage, PassOver, Refuse, Leave };
    struct Row {
        State state;
        Word word;
        State next;
        Effect effect;
    };
    static const Row kRows[];

    bool line(std::string_view text);
    bool said(Word word, const Message& message, std::string_view text);
    bool act(Effect effect, const Message& message, std::string_view text);
    bool open() const { return state_ != State::Refused && state_ != State::Gone; }

    InputTranslator& intake_;
    Counters& counters_;
    PushStream& stream_;
    std::function<void()> alive_;
    LineFramer framer_;
    State state_ = State::Stranger;
    std::optional<ProxyId> proxy_;
};

} // namespace zincstack::net
