#include "net/client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

#include "net/with_timeout.h"

namespace zincstack::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

asio::awaitable<error_code> connecting(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint at) {
    error_code error;
    co_await socket.async_connect(at, asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<error_code> readable(asio::ip::tcp::socket& socket) {
    error_code error;
    co_await socket.async_wait(asio::socket_base::wait_read,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

} // namespace

/// Guards against a stall of this process in which both the connection and the end of its time have come: what is
/// there counts, not which of the two is looked at first.
asio::awaitable<error_code> connectTo(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint at,
                                      Micros most) {
    const auto outcome = co_await within(most, connecting(socket, at));
    error_code error = outcome.value_or(error_code{});
    if (!outcome) {
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

/// The same guard: bytes that came in time are read though the time is over by now, and none that were read are
/// lost with a wait that was given up.
asio::awaitable<std::size_t> readPiece(asio::ip::tcp::socket& socket, const BufferPool::Lease& block,
                                       std::chrono::steady_clock::time_point until, error_code& error) {
    const auto left = std::chrono::ceil<Micros>(until - std::chrono::steady_clock::now());
    const auto outcome = co_await within(std::max(left, Micros{0}), readable(socket));
    error = outcome.value_or(error_code{});
    if (error) co_return 0;
    socket.non_blocking(true, error);
    if (error) co_return 0;
    const std::size_t got = socket.read_some(asio::buffer(block.data(), kBlockBytes), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        error = outcome ? error_code{} : error_code(asio::error::timed_out);
    co_return got;
}

} // namespace zincstack::net
