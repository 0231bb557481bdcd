// A timeout for any awaitable operation.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

#include "planner/planner.h"

namespace zincstack::net {

/// Returns the result of the operation. If the timeout expires first, cancels the operation and returns
/// std::nullopt.
template <class T>
boost::asio::awaitable<std::optional<T>> withTimeout(Micros timeout, boost::asio::awaitable<T> operation) {
    using namespace boost::asio::experimental::awaitable_operators;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, timeout);
    boost::system::error_code ignored;
    auto completed =
        co_await (std::move(operation) ||
                  timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored)));
    if (completed.index() == 0) co_return std::move(std::get<0>(completed));
    co_return std::nullopt;
}

} // namespace zincstack::net
