// Waits for an operation no longer than a span of time; the operation is cancelled after that.
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

/// The outcome, or none if it took too long.
template <class T>
boost::asio::awaitable<std::optional<T>> within(Micros span, boost::asio::awaitable<T> work) {
    using namespace boost::asio::experimental::awaitable_operators;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, span);
    boost::system::error_code ignored;
    auto first =
        co_await (std::move(work) ||
                  timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored)));
    if (first.index() == 0) co_return std::move(std::get<0>(first));
    co_return std::nullopt;
}

} // namespace zincstack::net
