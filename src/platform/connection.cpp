#include "platform/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

#include "net/fatal.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::string_view kRefusal = "error reason=refused\r\n";
constexpr std::size_t kQueueBytesMost = 256 * 1024; // that wait for one slow reader
constexpr int kReadsATurn = 16;                     // before others get their turn

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, Intake& intake, Counters& counters, BufferPool& lines,
                       BufferPool& pushes, const BufferPool::Lease& readInto, const Alive& alive)
    : socket_(std::move(socket)), counters_(counters), pushes_(pushes), readInto_(readInto),
      session_(intake, counters, lines, *this, [this, alive] { alive(*this); }) {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

void Connection::start(std::function<void()> over) {
    asio::co_spawn(socket_.get_executor(), read(),
                   [self = shared_from_this(), over = std::move(over)](const std::exception_ptr& failure) {
                       self->close();
                       self->session_.ended();
                       self->counters_.add(Count::Closed);
                       over();
                       if (failure) std::rethrow_exception(failure);
                   });
}

void Connection::close() {
    error_code ignored;
    socket_.close(ignored);
}

/// Guards against a stall in which the time passed while the joining already waited on the socket.
void Connection::joinNow() {
    if (!takeIn(1) || !session_.mayStay()) end();
}

/// A peer that never joined is told so; it may not read, so no more than the socket takes is written.
void Connection::end() {
    error_code ignored;
    if (socket_.is_open() && session_.refused()) socket_.write_some(asio::buffer(kRefusal), ignored);
    close();
}

/// Guards against peers that hold all of the pool: reading needs no block of its own, so no stream is lost.
asio::awaitable<void> Connection::read() {
    error_code error;
    for (;;) {
        co_await socket_.async_wait(asio::socket_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error || !takeIn(kReadsATurn)) co_return end();
    }
}

/// What has come, as far as so many turns take it; false once nothing more is taken.
bool Connection::takeIn(int turns) {
    error_code error;
    for (std::size_t got = kBlockBytes; turns > 0 && got == kBlockBytes; --turns) {
        got = socket_.read_some(asio::buffer(readInto_.data(), kBlockBytes), error);
        if (error == asio::error::would_block || error == asio::error::try_again) break;
        if (error || !session_.feed({readInto_.data(), got})) return false;
    }
    return true;
}

bool Connection::push(std::string_view bytes) {
    if (!socket_.is_open()) return true; // it has ended: nobody is left to read
    if (queued_ > kQueueBytesMost) return false;
    const std::size_t fill = (head_ + queued_) % kBlockBytes;
    const std::size_t room = queue_.empty() || fill == 0 ? 0 : kBlockBytes - fill;
    std::deque<BufferPool::Lease> more;
    for (std::size_t have = room; have < bytes.size(); have += kBlockBytes) {
        more.push_back(pushes_.take());
        if (!more.back()) return false;
    }
    while (!bytes.empty()) {
        const std::size_t at = (head_ + queued_) % kBlockBytes;
        if (at == 0 || queue_.empty()) {
            queue_.push_back(std::move(more.front()));
            more.pop_front();
        }
        const std::size_t part = std::min(bytes.size(), kBlockBytes - at);
        std::memcpy(queue_.back().data() + at, bytes.data(), part);
        bytes.remove_prefix(part);
        queued_ += part;
    }
    if (!std::exchange(writing_, true))
        asio::co_spawn(
            socket_.get_executor(), [self = shared_from_this()] { return self->write(); }, rethrow);
    return true;
}

asio::awaitable<void> Connection::write() {
    while (queued_ > 0) {
        error_code error;
        const std::size_t sent = co_await socket_.async_write_some(
            asio::buffer(queue_.front().data() + head_, std::min(queued_, kBlockBytes - head_)),
            asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close(); // the reading side notices and ends the session
            break;
        }
        counters_.add(Count::BytesOut, sent);
        head_ += sent;
        queued_ -= sent;
        if (head_ == kBlockBytes || queued_ == 0) queue_.pop_front(), head_ = 0;
    }
    writing_ = false;
}

} // namespace zincstack::net
