#include "net/client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "net/within.h"

namespace zincstack::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

asio::awaitable<error_code> connecting(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint at) {
    error_code error;
    co_await socket.async_connect(at, asio::redirect_error(asio::use_awaitable, error));
    if (!error) socket.set_option(asio::ip::tcp::no_delay(true), error);
    co_return error;
}

asio::awaitable<std::pair<std::size_t, error_code>> reading(asio::ip::tcp::socket& socket, char* into) {
    error_code error;
    const std::size_t got = co_await socket.async_read_some(asio::buffer(into, kBlockBytes),
                                                            asio::redirect_error(asio::use_awaitable, error));
    co_return std::pair(got, error);
}

} // namespace

asio::awaitable<error_code> connectTo(asio::ip::tcp::socket& socket, asio::ip::tcp::endpoint at,
                                      Micros most) {
    const auto outcome = co_await within(most, connecting(socket, at));
    co_return outcome.value_or(asio::error::timed_out);
}

asio::awaitable<error_code> writeAll(asio::ip::tcp::socket& socket, const std::string& bytes) {
    error_code error;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<std::size_t> readPiece(asio::ip::tcp::socket& socket, const BufferPool::Lease& block,
                                       Micros most, error_code& error) {
    const auto outcome = co_await within(most, reading(socket, block.data()));
    error = outcome ? outcome->second : error_code(asio::error::timed_out);
    co_return outcome ? outcome->first : 0;
}

} // namespace zincstack::net
