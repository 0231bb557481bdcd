// The connection of one peer: feeds received bytes to the peer's protocol and writes the bytes that are
// queued for the peer. Independent of the message format.
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

/// Owns the socket, the peer's protocol and the write queue. Lives until both the read and the write
/// coroutine have ended. Reading continues regardless of the length of the write queue.
class Connection final : public std::enable_shared_from_this<Connection> {
public:
    /// `pushBlocks` holds the queued bytes. `readBuffer` is shared by all connections, because received bytes
    /// are fed to the protocol before the next read. Once more than `maxQueuedBytes` are queued for a slow
    /// peer, nothing is added.
    Connection(boost::asio::ip::tcp::socket socket, Counters& counters, BufferPool& pushBlocks,
               const BufferPool::Lease& readBuffer, std::size_t maxQueuedBytes);

    /// Reads from the peer until the connection ends, then calls `onClosed`.
    void start(std::unique_ptr<PeerProtocol> peer, std::function<void()> onClosed);
    /// Closes the connection at the join deadline, unless the protocol keeps it. Takes in bytes that have
    /// already arrived before. See PeerProtocol::joinDeadlineExpired.
    void expireJoinDeadline(bool isFull);
    const PeerProtocol& peer() const { return *peer_; }

    /// Queues all of the bytes. Returns false and queues nothing if the queue is over its limit or the pool
    /// has too few blocks. On a closed connection the bytes are dropped and the result is true.
    bool push(std::string_view bytes);
    /// Queues bytes that are shared with other connections; these need no blocks.
    bool push(SharedBytes bytes);
    /// Whether all queued bytes have been written.
    bool idle() const { return queuedBytes_ == 0; }

    /// Closes the connection without the closing message. If several reasons are given, the first one is
    /// logged.
    void close(std::string_view reason);
    /// Closes the connection after writing the protocol's closing message as far as possible.
    void closeWithMessage(std::string_view reason);

private:
    /// A part of the write queue: either a block of its own or shared bytes.
    struct QueuedPiece {
        BufferPool::Lease block;
        SharedBytes shared;
        std::size_t size = 0;

        const char* data() const { return shared ? shared->data() : block.data(); }
        /// Number of bytes that still fit into the block; zero for shared bytes.
        std::size_t freeBytes() const { return block ? kBlockBytes - size : 0; }
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
    std::size_t frontWrittenBytes_ = 0; // bytes of the first piece that have been written
    std::size_t queuedBytes_ = 0;       // unwritten bytes of all pieces
    bool writing_ = false;
    std::string closeReason_; // the first reason that was given
};

} // namespace zincstack::net
