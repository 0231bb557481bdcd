// The TCP connection to discovery: sends the requests of a DiscoveryWatch and passes the received bytes back
// to it.
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

/// Owns the connection. Reconnects when the connection ends or a response times out, with exponential backoff
/// while connections yield no usable response.
class DiscoveryDriver {
public:
    DiscoveryDriver(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                    DiscoveryWatch& watch, BufferPool& pool);
    void start();
    /// Switches to another address and closes the current connection immediately, even if a response is
    /// pending. Has no effect if the address is unchanged. `host` is the value of the Host header.
    void changeAddress(boost::asio::ip::tcp::endpoint address, std::string host);

private:
    using Steady = std::chrono::steady_clock;
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> serveConnection();
    boost::asio::awaitable<void> sleepUntil(Steady::time_point when);

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::endpoint address_;
    DiscoveryWatch& watch_;
    BufferPool& pool_;
    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::socket socket_;
    std::uint64_t addressChanges_ = 0;
    Steady::time_point requestedAt_{};
};

} // namespace zincstack::net
