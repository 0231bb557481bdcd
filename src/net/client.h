// Outgoing connections: connect, write a request, read a piece of the response, each with a bound on its time.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>

#include "net/buffer_pool.h"
#include "planner/planner.h"

namespace zincstack::net {

/// Connects within `timeout`; after that the error is timed_out. A connection that has come up by the time that a
/// late timer is handled counts, however late the process handles it.
boost::asio::awaitable<boost::system::error_code>
connectTo(boost::asio::ip::tcp::socket& socket, boost::asio::ip::tcp::endpoint endpoint, Micros timeout);

boost::asio::awaitable<boost::system::error_code> writeAll(boost::asio::ip::tcp::socket& socket,
                                                           const std::string& bytes);

/// Reads what has arrived into the block; the number of bytes. Sets `error` at the end of the stream, and to timed_out
/// where nothing arrived by `deadline`. The deadline is that of a whole response, not of one piece; bytes that arrived
/// before it are read even if the process comes to it later.
boost::asio::awaitable<std::size_t> readPiece(boost::asio::ip::tcp::socket& socket,
                                              const BufferPool::Lease& block,
                                              std::chrono::steady_clock::time_point deadline,
                                              boost::system::error_code& error);

} // namespace zincstack::net
