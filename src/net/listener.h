// Accepts connections at an address, limits their number, and closes peers that do not join in time.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/connection.h"

namespace zincstack::net {

/// Owns the listening socket and the open connections. Peers that have shown that they are needed are never
/// closed in favor of new ones: while the listener is full, new connections wait in the backlog of the
/// operating system.
class Listener : public std::enable_shared_from_this<Listener> {
public:
    /// Creates the protocol of a new connection.
    using ProtocolFactory = std::function<std::unique_ptr<PeerProtocol>(Connection&)>;

    /// `maxQueuedBytes`: limit of the write queue of one connection. `pushBlocks` provides the blocks of the
    /// write queues. Throws boost::system::system_error if it cannot listen at the address.
    Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, std::size_t maxPeers,
             std::size_t maxQueuedBytes, Counters& counters, BufferPool& pushBlocks,
             ProtocolFactory makePeer);

    /// Starts accepting connections. Must be called once.
    void start();
    /// Stops accepting and closes all connections after their protocols' closing messages.
    void stop();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    /// Number of open connections.
    std::size_t peers() const { return peers_.size(); }

private:
    using Clock = std::chrono::steady_clock;
    struct ProvisionalPeer {
        Clock::time_point checkedAt; // when it was accepted, or its last deadline
        std::weak_ptr<Connection> connection;
    };

    boost::asio::awaitable<void> accept();
    boost::system::error_code acceptWaiting();
    boost::asio::awaitable<void> enforceJoinDeadlines();
    bool checkOldestProvisional(Clock::time_point deadline);
    boost::asio::awaitable<void> sleepUntil(boost::asio::steady_timer& timer, Clock::time_point until);
    void spawn(boost::asio::awaitable<void> work);
    void addPeer(boost::asio::ip::tcp::socket socket);
    bool full() const { return peers_.size() >= maxPeers_; }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_; // cancelled when a connection ends
    boost::asio::steady_timer joinTimer_;   // cancelled when the next deadline may have changed
    const std::size_t maxPeers_;
    const std::size_t maxQueuedBytes_;
    Counters& counters_;
    BufferPool& pushBlocks_;
    const ProtocolFactory makePeer_;
    BufferPool readPool_{1}; // not shared, so that reading never lacks a buffer
    const BufferPool::Lease readBuffer_ = readPool_.take();
    std::list<std::shared_ptr<Connection>> peers_;
    std::deque<ProvisionalPeer>
        provisional_; // oldest check first; may include peers that have joined or left
    bool stopped_ = false;
};

} // namespace zincstack::net
