// Takes connections at the planner's address, keeps count of them, sees to it that each joins in its time, and
// answers probes once it serves.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <utility>
#include <vector>

#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "platform/connection.h"
#include "platform/intake.h"

namespace zincstack::net {

class Listener {
public:
    /// Throws boost::system::system_error where the address can't be listened on.
    Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, std::size_t peersMost,
             Intake& intake, Counters& counters, BufferPool& lines, BufferPool& pushes);

    void start();
    /// From now on probes are answered; those that wait are now.
    void serve();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    using Steady = std::chrono::steady_clock;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> watchNewcomers();
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer& timer, Steady::time_point until);
    void alive(Connection& peer);
    bool full() const { return peers_.size() >= peersMost_; }

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer room_, due_;
    const std::size_t peersMost_;
    Intake& intake_;
    Counters& counters_;
    BufferPool &lines_, &pushes_;
    const BufferPool::Lease readInto_ = lines_.take();
    std::list<std::shared_ptr<Connection>> peers_;
    std::deque<std::pair<Steady::time_point, std::weak_ptr<Connection>>> newcomers_; // oldest first
    std::vector<std::weak_ptr<Connection>> asking_;
    bool serving_ = false;
};

} // namespace zincstack::net
