#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

#include "net/rethrow.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Connections accepted in one turn of the event loop. Busy peers make a turn long, and clients that connect
/// all the time would otherwise fill the backlog faster than one connection a turn can empty it.
constexpr int kMaxAcceptsPerTurn = 64;
constexpr auto kAcceptRetryDelay = 50ms; // after a system error, usually a lack of file descriptors
constexpr std::chrono::steady_clock::duration kJoinTimeout = 1s; // far more than a proxy or a collector needs
constexpr std::chrono::steady_clock::duration kJoinTimeoutIfFull = 100ms; // while others may be waiting

} // namespace

Listener::Listener(asio::io_context& io, const asio::ip::tcp::endpoint& address, std::size_t maxPeers,
                   std::size_t maxQueuedBytes, Counters& counters, BufferPool& pushBlocks,
                   ProtocolFactory makePeer)
    : acceptor_(io, address, true), acceptTimer_(io), joinTimer_(io), maxPeers_(maxPeers),
      maxQueuedBytes_(maxQueuedBytes), counters_(counters), pushBlocks_(pushBlocks),
      makePeer_(std::move(makePeer)) {}

void Listener::start() {
    spawn(accept());
    spawn(enforceJoinDeadlines());
}

void Listener::spawn(asio::awaitable<void> work) {
    asio::co_spawn(acceptor_.get_executor(), std::move(work),
                   [self = shared_from_this()](const std::exception_ptr& failure) { rethrow(failure); });
}

void Listener::stop() {
    if (std::exchange(stopped_, true)) return;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    acceptTimer_.cancel();
    joinTimer_.cancel();
    for (const auto& peer : peers_) peer->closeWithMessage("listener stopped");
}

asio::awaitable<void> Listener::sleepUntil(asio::steady_timer& timer, Clock::time_point until) {
    boost::system::error_code ignored;
    timer.expires_at(until);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// Closes peers that do not show in time that they are needed. Otherwise peers that send nothing, half a
/// message or only a health check would occupy their connections forever. The time limit is shorter while the
/// listener is full.
asio::awaitable<void> Listener::enforceJoinDeadlines() {
    while (!stopped_) {
        if (provisional_.empty()) {
            co_await sleepUntil(joinTimer_, Clock::time_point::max());
            continue;
        }
        const auto timeout = full() ? kJoinTimeoutIfFull : kJoinTimeout;
        const auto deadline = provisional_.front().checkedAt + timeout;
        if (!checkOldestProvisional(deadline)) co_await sleepUntil(joinTimer_, deadline);
    }
}

/// Removes the oldest entry of `provisional_` if its deadline has passed or the peer is not provisional any
/// more. A peer that is still provisional after its deadline is checked again later. Returns false if the
/// deadline has not passed yet. A separate function, so that the coroutine does not keep the connection alive
/// while it waits.
bool Listener::checkOldestProvisional(Clock::time_point deadline) {
    const auto now = Clock::now();
    const auto connection = provisional_.front().connection.lock();
    const bool isProvisional = connection && connection->peer().isProvisional();
    if (isProvisional && now < deadline) return false;
    provisional_.pop_front();
    if (!isProvisional) return true;
    connection->expireJoinDeadline(full());
    if (connection->peer().isProvisional()) provisional_.push_back({now, connection});
    return true;
}

asio::awaitable<void> Listener::accept() {
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!stopped_) {
        if (full()) {
            counters_.recordIgnored(Counter::RefusedFull,
                                    "connection limit reached, new peers wait in the backlog");
            joinTimer_.cancel(); // a full listener has earlier deadlines
            co_await sleepUntil(acceptTimer_, Clock::time_point::max());
            continue;
        }
        co_await acceptor_.async_wait(asio::socket_base::wait_read,
                                      asio::redirect_error(asio::use_awaitable, error));
        if (stopped_) co_return;
        if (!error) error = acceptWaiting();
        if (!error) continue;
        counters_.recordIgnored(Counter::RefusedFull, error.message());
        co_await sleepUntil(acceptTimer_, Clock::now() + kAcceptRetryDelay);
    }
}

/// Accepts connections from the backlog while there is room, at most kMaxAcceptsPerTurn. Returns an error
/// only if the operating system reports one.
boost::system::error_code Listener::acceptWaiting() {
    boost::system::error_code error;
    for (int count = 0; count < kMaxAcceptsPerTurn && !full(); ++count) {
        auto socket = acceptor_.accept(error);
        if (error == asio::error::would_block || error == asio::error::try_again) return {};
        if (error) return error;
        addPeer(std::move(socket));
    }
    return {};
}

void Listener::addPeer(asio::ip::tcp::socket socket) {
    counters_.add(Counter::Accepted);
    const auto connection =
        std::make_shared<Connection>(std::move(socket), counters_, pushBlocks_, readBuffer_, maxQueuedBytes_);
    const auto position = peers_.insert(peers_.end(), connection);
    if (provisional_.empty()) joinTimer_.cancel(); // it was waiting without a deadline
    provisional_.push_back({Clock::now(), connection});
    connection->start(makePeer_(*connection), [this, self = shared_from_this(), position] {
        peers_.erase(position);
        acceptTimer_.cancel();
    });
}

} // namespace zincstack::net
