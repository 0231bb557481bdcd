#include "standin/agent_driver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/rethrow.h"

namespace zincstack::standin {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto kTurn = std::chrono::milliseconds(100); // how late a watch may be answered that ends by time

} // namespace

AgentDriver::AgentDriver(asio::io_context& io, const asio::ip::tcp::endpoint& at, ListAgent& agent)
    : acceptor_(io, at, true), turns_(io), agent_(agent) {}

void AgentDriver::start() { asio::co_spawn(acceptor_.get_executor(), accept(), net::rethrow); }

Micros AgentDriver::now() {
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

/// Answers are small and readers are planners: what the socket does not take ends the connection.
void AgentDriver::Visitor::say(const std::string& bytes) {
    if (bytes.empty() || !socket.is_open()) return;
    error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    if (error) socket.close(error);
}

void AgentDriver::poke() {
    std::erase_if(visitors_, [](const auto& one) { return one.expired(); });
    for (const auto& one : visitors_)
        if (const auto visitor = one.lock()) visitor->say(visitor->session.turn(now()));
}

asio::awaitable<void> AgentDriver::accept() {
    turns_.expires_after(kTurn);
    std::function<void(error_code)> turn = [this, &turn](error_code error) {
        if (error) return;
        poke();
        turns_.expires_after(kTurn);
        turns_.async_wait(turn);
    };
    turns_.async_wait(turn);
    for (;;) {
        error_code error;
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            turns_.cancel();
            co_return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        const auto visitor = std::make_shared<Visitor>(std::move(socket), agent_);
        visitors_.push_back(visitor);
        asio::co_spawn(acceptor_.get_executor(), visitor->serve(),
                       [visitor](const std::exception_ptr& failure) { net::rethrow(failure); });
    }
}

asio::awaitable<void> AgentDriver::Visitor::serve() {
    while (session.usable() && socket.is_open()) {
        error_code error;
        const std::size_t got = co_await socket.async_read_some(
            asio::buffer(room), asio::redirect_error(asio::use_awaitable, error));
        if (error) co_return;
        say(session.feed({room.data(), got}, now()));
    }
}

} // namespace zincstack::standin
