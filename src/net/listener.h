// Takes connections at an address, keeps count of them, and sees to it that each joins in its time.
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
#include <utility>
#include <vector>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/connection.h"

namespace zincstack::net {

class Listener : public std::enable_shared_from_this<Listener> {
public:
    /// The protocol that a new connection speaks.
    using MakePeer = std::function<std::unique_ptr<PeerProtocol>(Connection&)>;

    /// `queueMost`: bytes that wait for one slow reader. Throws boost::system::system_error where the address
    /// can't be listened on.
    Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, std::size_t peersMost,
             std::size_t queueMost, Counters& counters, BufferPool& lines, BufferPool& pushes,
             MakePeer makePeer);

    void start();
    /// Takes no more and ends every connection, with its last words.
    void stop();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    std::size_t peers() const { return peers_.size(); }

private:
    using Steady = std::chrono::steady_clock;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> watchNewcomers();
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer& timer, Steady::time_point until);
    bool full() const { return peers_.size() >= peersMost_; }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer room_, due_;
    const std::size_t peersMost_, queueMost_;
    Counters& counters_;
    BufferPool& pushes_;
    const MakePeer makePeer_;
    const BufferPool::Lease readInto_;
    std::list<std::shared_ptr<Connection>> peers_;
    std::deque<std::pair<Steady::time_point, std::weak_ptr<Connection>>> newcomers_; // oldest first
    bool stopped_ = false;
};

} // namespace zincstack::net
