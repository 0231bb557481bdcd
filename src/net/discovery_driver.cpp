#include "net/discovery_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "net/client.h"
#include "net/fatal.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr Micros kConnectMost = 1s;
constexpr Micros kPaceLeast = 50ms, kPaceMost = 1s; // between tries that bring nothing
constexpr Micros kCallGap = 20ms;                   // from a call to the next, where answers come at once

} // namespace

DiscoveryDriver::DiscoveryDriver(asio::io_context& io, asio::ip::tcp::endpoint at, DiscoveryWatch& watch,
                                 BufferPool& pool)
    : io_(io), at_(std::move(at)), watch_(watch), pool_(pool), timer_(io) {}

void DiscoveryDriver::start() { asio::co_spawn(io_, follow(), rethrow); }

asio::awaitable<void> DiscoveryDriver::follow() {
    Micros pace = kPaceLeast;
    bool answered = true;
    for (;;) {
        const auto before = watch_.answers();
        co_await converse();
        const bool came = watch_.answers() != before;
        if (std::exchange(answered, came) != came)
            spdlog::info("discovery: {}", came ? "answers again" : "no answer, the old list holds");
        if (!came) co_await pauseUntil(Steady::now() + pace);
        pace = came ? kPaceLeast : std::min(2 * pace, kPaceMost);
    }
}

/// One connection, for as long as it is of use.
asio::awaitable<void> DiscoveryDriver::converse() {
    asio::ip::tcp::socket socket(io_);
    const auto block = pool_.take();
    if (!block || co_await connectTo(socket, at_, kConnectMost)) co_return;
    std::string request = watch_.connected();
    while (watch_.usable()) {
        if (!request.empty()) {
            co_await pauseUntil(calledAt_ + kCallGap);
            calledAt_ = Steady::now();
            if (co_await writeAll(socket, request)) break;
        }
        boost::system::error_code error;
        const std::size_t got = co_await readPiece(socket, block, watch_.patience(), error);
        if (error) break;
        request = watch_.feed({block.data(), got});
    }
    if (watch_.usable()) watch_.lost();
}

asio::awaitable<void> DiscoveryDriver::pauseUntil(Steady::time_point when) {
    boost::system::error_code ignored;
    timer_.expires_at(when);
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace zincstack::net
