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

constexpr int kReadsATurn = 16; // before others get their turn

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, Counters& counters, BufferPool& pushes,
                       const BufferPool::Lease& readInto, std::size_t queueMost)
    : socket_(std::move(socket)), counters_(counters), pushes_(pushes), readInto_(readInto),
      queueMost_(queueMost) {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

void Connection::start(std::unique_ptr<PeerProtocol> peer, std::function<void()> over) {
    peer_ = std::move(peer);
    asio::co_spawn(socket_.get_executor(), read(),
                   [self = shared_from_this(), over = std::move(over)](const std::exception_ptr& failure) {
                       self->close("over");
                       log::debug("connection_closed", {{"reason", self->reason_}});
                       self->peer_->connectionClosed();
                       self->counters_.add(Counter::Closed);
                       over();
                       if (failure) std::rethrow_exception(failure);
                   });
}

void Connection::close(std::string_view reason) {
    if (reason_.empty()) reason_ = reason;
    error_code ignored;
    socket_.close(ignored);
}

/// Guards against a stall in which the time passed while the joining already waited on the socket.
void Connection::joinNow() {
    if (!takeIn(1) || !peer_->joinDeadlineExpired()) end("did not join in time");
}

/// The peer may not read, so no more than the socket takes is written.
void Connection::end(std::string_view reason) {
    error_code ignored;
    const auto words = peer_ ? peer_->farewell() : std::string_view{};
    if (socket_.is_open() && queue_.empty() && !words.empty()) // never in the middle of something else
        socket_.write_some(asio::buffer(words), ignored);
    close(reason);
}

/// Guards against peers that hold all of the pool: reading needs no block of its own, so no stream is lost.
asio::awaitable<void> Connection::read() {
    error_code error;
    for (;;) {
        co_await socket_.async_wait(asio::socket_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error) co_return end(error.message());
        if (!takeIn(kReadsATurn)) co_return end("what it said can't be taken");
    }
}

/// What has come, as far as so many turns take it; false once nothing more is taken.
bool Connection::takeIn(int turns) {
    error_code error;
    for (std::size_t got = kBlockBytes; turns > 0 && got == kBlockBytes; --turns) {
        got = socket_.read_some(asio::buffer(readInto_.data(), kBlockBytes), error);
        if (error == asio::error::would_block || error == asio::error::try_again) break;
        if (error && reason_.empty()) reason_ = error.message();
        if (error || !peer_->feed({readInto_.data(), got})) return false;
    }
    return true;
}

bool Connection::push(std::string_view bytes) {
    if (!socket_.is_open()) return true; // it has ended: nobody is left to read
    if (queued_ > queueMost_) return false;
    const bool joins = !queue_.empty() && queue_.back().block;
    const std::size_t room = joins ? kBlockBytes - queue_.back().size : 0;
    std::deque<Piece> more;
    for (std::size_t have = room; have < bytes.size(); have += kBlockBytes) {
        more.push_back({pushes_.take(), {}, 0});
        if (!more.back().block) return false;
    }
    const std::size_t all = bytes.size();
    const auto fill = [&](Piece& into) {
        const std::size_t part = std::min(bytes.size(), kBlockBytes - into.size);
        std::memcpy(into.block.data() + into.size, bytes.data(), part);
        into.size += part;
        bytes.remove_prefix(part);
    };
    if (joins) fill(queue_.back());
    for (Piece& piece : more) {
        fill(piece);
        queue_.push_back(std::move(piece));
    }
    queued(all);
    return true;
}

bool Connection::push(SharedBytes bytes) {
    if (!socket_.is_open()) return true;
    if (queued_ > queueMost_) return false;
    std::size_t sent = 0;
    if (queue_.empty()) { // most readers take it at once, and need no turn of the loop of their own
        error_code error;
        sent = socket_.write_some(asio::buffer(*bytes), error);
        counters_.add(Counter::BytesOut, sent);
    }
    const std::size_t size = bytes->size();
    if (sent == size) return true;
    if (queue_.empty()) head_ = sent;
    queue_.push_back({{}, std::move(bytes), size});
    queued(size - sent);
    return true;
}

void Connection::queued(std::size_t bytes) {
    queued_ += bytes;
    if (queued_ > 0 && !std::exchange(writing_, true))
        asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()] { return self->write(); }, rethrow);
}

asio::awaitable<void> Connection::write() {
    while (queued_ > 0) {
        error_code error;
        const std::size_t sent = co_await socket_.async_write_some(
            asio::buffer(queue_.front().data() + head_, queue_.front().size - head_),
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close("write: " + error.message()); // the reading side notices and ends the session
            break;
        }
        counters_.add(Counter::BytesOut, sent);
        head_ += sent;
        queued_ -= sent;
        if (head_ == queue_.front().size) queue_.pop_front(), head_ = 0;
        if (queued_ == 0 && socket_.is_open()) peer_->writeQueueDrained();
    }
    writing_ = false;
}

} // namespace zincstack::net
