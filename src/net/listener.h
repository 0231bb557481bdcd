// Takes connections at the planner's address, keeps count of them, and answers probes once it serves.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <vector>

#include "net/connection.h"

namespace zincstack::net {

class Listener {
public:
    /// Throws boost::system::system_error where the address can't be listened on.
    Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& at, std::size_t peersMost,
             Intake& intake, const Outbox& outbox, Counters& counters, BufferPool& pool);

    void start();
    /// From now on probes are answered; those that wait are now.
    void serve();
    boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    boost::asio::awaitable<void> accept();
    void alive(Connection& peer);
    bool makeRoom();

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer pause_;
    const std::size_t peersMost_;
    Intake& intake_;
    const Outbox& outbox_;
    Counters& counters_;
    BufferPool& pool_;
    const BufferPool::Lease readInto_ = pool_.take();
    std::list<std::shared_ptr<Connection>> peers_; // oldest first
    std::vector<std::weak_ptr<Connection>> asking_;
    bool serving_ = false;
};

} // namespace zincstack::net
