#include "net/client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

#include "net/with_timeout.h"

namespace zincstack::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

asio::awaitable<error_code> connect(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint endpoint) {
    error_code error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<error_code> waitUntilReadable(asio::ip::tcp::socket& socket) {
    error_code error;
    co_await socket.async_wait(asio::socket_base::wait_read,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

} // namespace

asio::awaitable<error_code> connectTo(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint endpoint,
                                      Micros timeout) {
    const auto outcome = co_await withTimeout(timeout, connect(socket, endpoint));
    error_code error = outcome.value_or(error_code{});
    if (!outcome) {
        // If this process stalled, the connection may have been established before the timeout was handled.
        // The socket tells whether it was.
        (void)socket.remote_endpoint(error);
        if (error) error = asio::error::timed_out;
    }
    if (!error) socket.set_option(asio::ip::tcp::no_delay(true), error);
    co_return error;
}

asio::awaitable<error_code> writeAll(asio::ip::tcp::socket& socket, const std::string& bytes) {
    error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<std::size_t> readPiece(asio::ip::tcp::socket& socket, const BufferPool::Lease& block,
                                       std::chrono::steady_clock::time_point deadline, error_code& error) {
    const auto remaining = std::chrono::ceil<Micros>(deadline - std::chrono::steady_clock::now());
    const auto outcome = co_await withTimeout(std::max(remaining, Micros{0}), waitUntilReadable(socket));
    error = outcome.value_or(error_code{});
    if (error) co_return 0;
    // The timeout cancels only the wait and never a read, so no bytes are lost.
    socket.non_blocking(true, error);
    if (error) co_return 0;
    const std::size_t received = socket.read_some(asio::buffer(block.data(), kBlockBytes), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        error = outcome ? error_code{} : error_code(asio::error::timed_out);
    co_return received;
}

} // namespace zincstack::net
