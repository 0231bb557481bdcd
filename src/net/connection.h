// The driver of one connection: reads what comes, whatever else is going on, and writes what is queued for its
// peer. Knows no message.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/peer_protocol.h"

namespace zincstack::net {

/// Bytes that are written once and queued for many.
using SharedBytes = std::shared_ptr<const std::string>;

class Connection final : public std::enable_shared_from_this<Connection> {
public:
    /// `readInto` is one for all: what is read is fed on at once. `queueMost`: bytes that wait for a slow
    /// reader before nothing more is taken for it.
    Connection(boost::asio::ip::tcp::socket socket, Counters& counters, BufferPool& pushes,
               const BufferPool::Lease& readInto, std::size_t queueMost);

    /// Serves the peer until its end; `over` is called then.
    void start(std::unique_ptr<PeerProtocol> peer, std::function<void()> over);
    /// Its time to join is over: it ends, unless what has come by now joins it.
    void joinNow();
    const PeerProtocol& peer() const { return *peer_; }

    /// Takes all of the bytes, in blocks of the pool; false if too much waits already, or no block is left.
    bool push(std::string_view bytes);
    /// Takes bytes that others hold too; false if too much waits already.
    bool push(SharedBytes bytes);
    /// Bytes that were taken and not yet written.
    std::size_t waiting() const { return queued_; }
    bool idle() const { return queued_ == 0; }
    /// Ends it from this side, without last words; the first reason is the one that is logged.
    void close(std::string_view reason);
    /// Ends it from this side, with them.
    void end(std::string_view reason);

private:
    struct Piece { // one or the other
        BufferPool::Lease block;
        SharedBytes shared;
        std::size_t size = 0;
        const char* data() const { return shared ? shared->data() : block.data(); }
    };
    bool takeIn(int turns);
    void queued(std::size_t bytes);
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> write();

    boost::asio::ip::tcp::socket socket_;
    Counters& counters_;
    BufferPool& pushes_;
    const BufferPool::Lease& readInto_;
    const std::size_t queueMost_;
    std::unique_ptr<PeerProtocol> peer_;
    std::deque<Piece> queue_;
    std::size_t head_ = 0, queued_ = 0; // written of the first piece; bytes not yet written
    bool writing_ = false;
    std::string reason_; // why it ended, as said first
};

} // namespace zincstack::net
