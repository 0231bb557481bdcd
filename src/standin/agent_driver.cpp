#include "standin/agent_driver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>

#include "net/rethrow.h"

namespace zincstack::standin {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Maximum delay of the answer to a watch after its deadline.
constexpr auto kWatchCheckInterval = std::chrono::milliseconds(100);

} // namespace

AgentDriver::AgentDriver(asio::io_context& io, const asio::ip::tcp::endpoint& address, ListAgent& agent)
    : acceptor_(io, address, true), watchTimer_(io), agent_(agent) {}

void AgentDriver::start() { asio::co_spawn(acceptor_.get_executor(), acceptConnections(), net::rethrow); }

Micros AgentDriver::now() {
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

void AgentDriver::notifyWatches() {
    std::erase_if(connections_, [](const auto& connection) { return connection.expired(); });
    for (const auto& weak : connections_)
        if (const auto connection = weak.lock()) connection->send(connection->session.answerIfDue(now()));
}

void AgentDriver::waitForWatchDeadlines() {
    watchTimer_.expires_after(kWatchCheckInterval);
    watchTimer_.async_wait([this](error_code error) {
        if (error) return;
        notifyWatches();
        waitForWatchDeadlines();
    });
}

asio::awaitable<void> AgentDriver::acceptConnections() {
    waitForWatchDeadlines();
    for (;;) {
        error_code error;
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            watchTimer_.cancel();
            co_return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        const auto connection = std::make_shared<Connection>(std::move(socket), agent_);
        connections_.push_back(connection);
        asio::co_spawn(acceptor_.get_executor(), connection->serve(),
                       [connection](const std::exception_ptr& failure) { net::rethrow(failure); });
    }
}

/// Writes synchronously, without a queue, because answers are small and the readers are planners. A failed
/// write closes the connection.
void AgentDriver::Connection::send(const std::string& bytes) {
    if (bytes.empty() || !socket.is_open()) return;
    error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (error) socket.close(error);
}

asio::awaitable<void> AgentDriver::Connection::serve() {
    while (session.usable() && socket.is_open()) {
        error_code error;
        const std::size_t received = co_await socket.async_read_some(
            asio::buffer(readBuffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) co_return;
        send(session.feed({readBuffer.data(), received}, now()));
    }
}

} // namespace zincstack::standin
