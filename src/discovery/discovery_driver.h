// Keeps a connection to discovery up and carries the watch's bytes; silence means a new connection.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>

#include "discovery/discovery_watch.h"
#include "net/buffer_pool.h"

namespace zincstack::net {

class DiscoveryDriver {
public:
    DiscoveryDriver(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint at, DiscoveryWatch& watch,
                    BufferPool& pool);
    void start();
    /// Leaves the old address at once, in the middle of whatever goes on there.
    void move(boost::asio::ip::tcp::endpoint at, std::string host);

private:
    using Steady = std::chrono::steady_clock;
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> converse();
    boost::asio::awaitable<void> pauseUntil(Steady::time_point when);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint at_;
    DiscoveryWatch& watch_;
    BufferPool& pool_;
    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::socket socket_;
    std::uint64_t moves_ = 0;
    Steady::time_point calledAt_{};
};

} // namespace zincstack::net
