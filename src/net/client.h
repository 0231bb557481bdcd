// Operations on outgoing connections: connect, write a request, and read a piece of the response.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>

#include "net/buffer_pool.h"
#include "planner/planner.h"

namespace zincstack::net {

/// Connects within `timeout`; otherwise the error is timed_out. A connection that has been established by the
/// time the timeout is handled counts as a success, however late the process handles it.
boost::asio::awaitable<boost::system::error_code>
connectTo(boost::asio::ip::tcp::socket& socket, boost::asio::ip::tcp::endpoint endpoint, Micros timeout);

/// Writes all bytes. Has no timeout of its own.
boost::asio::awaitable<boost::system::error_code> writeAll(boost::asio::ip::tcp::socket& socket,
                                                           const std::string& bytes);

/// Waits for data and reads it into the block; returns the number of bytes read. Sets `error` at the end of
/// the stream, and to timed_out if nothing has arrived by `deadline`. The deadline applies to a whole
/// response, not to one piece. Bytes that arrived before it are read even if the process handles them later.
boost::asio::awaitable<std::size_t> readPiece(boost::asio::ip::tcp::socket& socket,
                                              const BufferPool::Lease& block,
                                              std::chrono::steady_clock::time_point deadline,
                                              boost::system::error_code& error);

} // namespace zincstack::net
