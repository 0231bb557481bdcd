#include "net/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

#include "log/log.h"
#include "net/rethrow.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kMaxReadsPerTurn = 16; // keeps one peer from delaying the other connections

bool wouldBlock(const error_code& error) {
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, Counters& counters, BufferPool& pushBlocks,
                       const BufferPool::Lease& readBuffer, std::size_t maxQueuedBytes)
    : socket_(std::move(socket)), counters_(counters), pushBlocks_(pushBlocks), readBuffer_(readBuffer),
      maxQueuedBytes_(maxQueuedBytes) {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

void Connection::start(std::unique_ptr<PeerProtocol> peer, std::function<void()> onClosed) {
    peer_ = std::move(peer);
    asio::co_spawn(
        socket_.get_executor(), read(),
        [self = shared_from_this(), onClosed = std::move(onClosed)](const std::exception_ptr& failure) {
            self->handleClosed();
            onClosed();
            rethrow(failure);
        });
}

void Connection::handleClosed() {
    close("unspecified");
    log::debug("connection_closed", {{"reason", closeReason_}});
    peer_->connectionClosed();
    counters_.add(Counter::Closed);
}

void Connection::close(std::string_view reason) {
    if (closeReason_.empty()) closeReason_ = reason;
    error_code ignored;
    socket_.close(ignored);
}

/// Reads once before closing: after a stall of this process, the bytes that identify the peer may have
/// arrived but not been read yet.
void Connection::expireJoinDeadline(bool isFull) {
    if (!feedAvailable(1) || !peer_->joinDeadlineExpired(isFull))
        closeWithMessage("the peer's connection was not needed at the join deadline");
}

/// The peer may not be reading, so the closing message is written only as far as the socket accepts it
/// without blocking. It is omitted if queued bytes are unwritten, because it would then fall into the middle
/// of a message.
void Connection::closeWithMessage(std::string_view reason) {
    const auto closingMessage = peer_ ? peer_->closingMessage() : std::string_view{};
    const bool isMidMessage = !queue_.empty();
    if (socket_.is_open() && !isMidMessage && !closingMessage.empty()) {
        error_code ignored;
        socket_.write_some(asio::buffer(closingMessage), ignored);
    }
    close(reason);
}

/// Reading needs no block from a pool, so that peers that occupy all blocks cannot block reading from others.
asio::awaitable<void> Connection::read() {
    error_code error;
    for (;;) {
        co_await socket_.async_wait(asio::socket_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error) co_return closeWithMessage(error.message());
        if (!feedAvailable(kMaxReadsPerTurn)) co_return closeWithMessage("session ended by the protocol");
    }
}

/// Feeds received bytes to the protocol. Returns false if the stream has ended or the protocol accepts no
/// more input.
bool Connection::feedAvailable(int maxReads) {
    error_code error;
    std::size_t received = kBlockBytes;
    for (int reads = 0; reads < maxReads && received == kBlockBytes; ++reads) {
        received = socket_.read_some(asio::buffer(readBuffer_.data(), kBlockBytes), error);
        if (wouldBlock(error)) break;
        if (error && closeReason_.empty()) closeReason_ = error.message();
        if (error || !peer_->feed({readBuffer_.data(), received})) return false;
    }
    return true;
}

void Connection::QueuedPiece::fillFrom(std::string_view& bytes) {
    const std::size_t part = std::min(bytes.size(), kBlockBytes - size);
    std::memcpy(block.data() + size, bytes.data(), part);
    size += part;
    bytes.remove_prefix(part);
}

bool Connection::push(std::string_view bytes) {
    if (!socket_.is_open()) return true; // no peer is left to read the bytes
    if (queuedBytes_ > maxQueuedBytes_) return false;
    const std::size_t spare = queue_.empty() ? 0 : queue_.back().freeBytes();
    // All blocks are leased first, so that nothing is queued if the pool runs out.
    std::deque<QueuedPiece> added;
    for (std::size_t capacity = spare; capacity < bytes.size(); capacity += kBlockBytes) {
        added.push_back({pushBlocks_.take(), {}, 0});
        if (!added.back().block) return false;
    }
    const std::size_t addedBytes = bytes.size();
    if (spare > 0) queue_.back().fillFrom(bytes);
    for (QueuedPiece& piece : added) {
        piece.fillFrom(bytes);
        queue_.push_back(std::move(piece));
    }
    startWriting(addedBytes);
    return true;
}

bool Connection::push(SharedBytes bytes) {
    if (!socket_.is_open()) return true;
    if (queuedBytes_ > maxQueuedBytes_) return false;
    std::size_t written = 0;
    // Most sockets accept all bytes immediately, which avoids starting a coroutine.
    if (queue_.empty()) {
        error_code ignored;
        written = socket_.write_some(asio::buffer(*bytes), ignored);
        counters_.add(Counter::BytesOut, written);
    }
    const std::size_t size = bytes->size();
    if (written == size) return true;
    if (queue_.empty()) frontWrittenBytes_ = written;
    queue_.push_back({{}, std::move(bytes), size});
    startWriting(size - written);
    return true;
}

void Connection::startWriting(std::size_t addedBytes) {
    queuedBytes_ += addedBytes;
    if (queuedBytes_ == 0 || writing_) return;
    writing_ = true;
    asio::co_spawn(socket_.get_executor(), [self = shared_from_this()] { return self->write(); }, rethrow);
}

asio::awaitable<void> Connection::write() {
    while (queuedBytes_ > 0) {
        const QueuedPiece& front = queue_.front();
        const auto unwritten =
            asio::buffer(front.data() + frontWrittenBytes_, front.size - frontWrittenBytes_);
        error_code error;
        const std::size_t written =
            co_await socket_.async_write_some(unwritten, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close("write failed: " + error.message()); // ends the read loop, which ends the session
            break;
        }
        counters_.add(Counter::BytesOut, written);
        removeWritten(written);
        if (queuedBytes_ == 0 && socket_.is_open()) peer_->writeQueueDrained();
    }
    writing_ = false;
}

void Connection::removeWritten(std::size_t bytes) {
    frontWrittenBytes_ += bytes;
    queuedBytes_ -= bytes;
    if (frontWrittenBytes_ < queue_.front().size) return;
    queue_.pop_front();
    frontWrittenBytes_ = 0;
}

} // namespace zincstack::net
