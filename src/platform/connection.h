// The driver of one peer's connection: reads what comes, whatever else is going on, and writes what its
// session or the outbox has for it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string_view>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "platform/intake.h"
#include "platform/peer_session.h"
#include "platform/push_target.h"

namespace zincstack::net {

class Connection final : public PushTarget, public std::enable_shared_from_this<Connection> {
public:
    using Alive = std::function<void(Connection&)>;

    /// `readInto` is one for all: what is read is fed on at once.
    Connection(boost::asio::ip::tcp::socket socket, Intake& intake, Counters& counters, BufferPool& lines,
               BufferPool& pushes, const BufferPool::Lease& readInto, const Alive& alive);

    /// Serves the peer until its end; `over` is called then.
    void start(std::function<void()> over);
    /// Its time to join is over: it ends, unless what has come by now joins it.
    void joinNow();
    const PeerSession& session() const { return session_; }

    bool push(std::string_view bytes) override;
    bool idle() const override { return queued_ == 0; }
    void replaced() override { close(); }

private:
    void close();
    void end();
    bool takeIn(int turns);
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> write();

    boost::asio::ip::tcp::socket socket_;
    Counters& counters_;
    BufferPool& pushes_;
    const BufferPool::Lease& readInto_;
    PeerSession session_;
    std::deque<BufferPool::Lease> queue_;
    std::size_t head_ = 0, queued_ = 0; // written of the first block; bytes not yet written
    bool writing_ = false;
};

} // namespace zincstack::net
