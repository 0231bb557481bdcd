// What the planner's own calls share: connecting, writing a request and reading a piece of the answer, each
// with an error code and within its time.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>
#include <string_view>

#include "net/buffer_pool.h"
#include "planner/planner.h"

namespace zincstack::net {

boost::asio::awaitable<boost::system::error_code> connectTo(boost::asio::ip::tcp::socket& socket,
                                                            boost::asio::ip::tcp::endpoint at, Micros most);
boost::asio::awaitable<boost::system::error_code> writeAll(boost::asio::ip::tcp::socket& socket,
                                                           const std::string& bytes);
/// The bytes read into the block; an error at the end of the stream or once the time is over. The time is that of
/// a whole answer: it does not start anew with each piece.
boost::asio::awaitable<std::size_t> readPiece(boost::asio::ip::tcp::socket& socket,
                                              const BufferPool::Lease& block,
                                              std::chrono::steady_clock::time_point until,
                                              boost::system::error_code& error);

} // namespace zincstack::net
