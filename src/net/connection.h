// One connection of a peer: feeds what arrives to the peer's protocol and writes what is queued for the peer. Knows
// no message.
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

/// Bytes that are encoded once and queued for many peers.
using SharedBytes = std::shared_ptr<const std::string>;

/// Owns the socket, the peer's protocol and the write queue. It lives until both its reading and its writing side
/// have ended. Reading goes on however much waits to be written.
class Connection final : public std::enable_shared_from_this<Connection> {
public:
    /// `pushBlocks` holds what is queued. `readBuffer` is shared by all connections: what is read is fed at once.
    /// Past `maxQueuedBytes` nothing more is queued for a peer that reads slowly.
    Connection(boost::asio::ip::tcp::socket socket, Counters& counters, BufferPool& pushBlocks,
               const BufferPool::Lease& readBuffer, std::size_t maxQueuedBytes);

    /// Serves the peer until the connection ends; `onClosed` is called then.
    void start(std::unique_ptr<PeerProtocol> peer, std::function<void()> onClosed);
    /// The time to identify itself is over: closes, unless bytes that have already arrived identify the peer.
    void expireJoinDeadline();
    const PeerProtocol& peer() const { return *peer_; }

    /// Queues all of the bytes; false and nothing is queued if too much waits already or no block is left. On a closed
    /// connection the bytes are dropped, which counts as taken.
    bool push(std::string_view bytes);
    /// The same with bytes that other connections share; they take no blocks.
    bool push(SharedBytes bytes);
    /// Whether everything that was queued has been written.
    bool idle() const { return queuedBytes_ == 0; }

    /// Closes from this side without farewell; the first reason is the one that is logged.
    void close(std::string_view reason);
    /// Closes from this side after the protocol's farewell.
    void end(std::string_view reason);

private:
    /// Holds either a block of its own or shared bytes.
    struct QueuedPiece {
        BufferPool::Lease block;
        SharedBytes shared;
        std::size_t size = 0;

        const char* data() const { return shared ? shared->data() : block.data(); }
        /// The bytes that a block can still take; none of shared bytes.
        std::size_t capacity() const { return block ? kBlockBytes - size : 0; }
        /// Moves as many bytes as fit from the front of `bytes` into the block.
        void fillFrom(std::string_view& bytes);
    };

    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> write();
    void handleClosed();
    bool feedAvailable(int maxReads);
    void startWriting(std::size_t addedBytes);
    void removeWritten(std::size_t bytes);

    boost::asio::ip::tcp::socket socket_;
    Counters& counters_;
    BufferPool& pushBlocks_;
    const BufferPool::Lease& readBuffer_;
    const std::size_t maxQueuedBytes_;
    std::unique_ptr<PeerProtocol> peer_;
    std::deque<QueuedPiece> queue_;
    std::size_t writtenOfFront_ = 0; // bytes of the first piece
    std::size_t queuedBytes_ = 0;    // not yet written, of all pieces
    bool writing_ = false;
    std::string closeReason_; // the first one
};

} // namespace zincstack::net
