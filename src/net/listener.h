// Accepts connections at an address, bounds their number, and closes those that do not identify themselves in time.
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

/// Owns the listening socket and the open connections. Peers that have identified themselves are never closed to
/// admit others: while the listener is full, new connections wait in the system's backlog.
class Listener : public std::enable_shared_from_this<Listener> {
public:
    /// The protocol that a new connection speaks.
    using MakePeer = std::function<std::unique_ptr<PeerProtocol>(Connection&)>;

    /// `maxQueuedBytes`: of one connection. `lineBlocks` lends the buffer that all connections read into, `pushBlocks`
    /// their write queues. Throws boost::system::system_error where the address can't be listened on.
    Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, std::size_t maxPeers,
             std::size_t maxQueuedBytes, Counters& counters, BufferPool& lineBlocks, BufferPool& pushBlocks,
             MakePeer makePeer);

    void start();
    /// Accepts no more and closes every connection, with its farewell.
    void stop();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    std::size_t peers() const { return peers_.size(); }

private:
    using Steady = std::chrono::steady_clock;
    struct UnidentifiedPeer {
        Steady::time_point acceptedAt;
        std::weak_ptr<Connection> connection;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> enforceJoinDeadlines();
    bool settleOldest(Steady::time_point deadline);
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer& timer, Steady::time_point until);
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
    const MakePeer makePeer_;
    const BufferPool::Lease readBuffer_;
    std::list<std::shared_ptr<Connection>> peers_;
    std::deque<UnidentifiedPeer> unidentified_; // oldest first; some may have identified themselves or ended
    bool stopped_ = false;
};

} // namespace zincstack::net
