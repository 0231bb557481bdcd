#include "discovery/discovery_driver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

#include "log/log.h"
#include "net/address.h"
#include "net/client.h"
#include "net/rethrow.h"

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
    : io_(io), at_(std::move(at)), watch_(watch), pool_(pool), timer_(io), socket_(io) {}

void DiscoveryDriver::start() { asio::co_spawn(io_, follow(), rethrow); }

void DiscoveryDriver::move(asio::ip::tcp::endpoint at, std::string host) {
    if (at == at_) return;
    at_ = std::move(at);
    ++moves_;
    watch_.moved(std::move(host));
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

asio::awaitable<void> DiscoveryDriver::follow() {
    Micros pace = kPaceLeast;
    bool answered = true;
    for (;;) {
        const auto before = watch_.answers(), moves = moves_;
        co_await converse();
        const bool came = watch_.answers() != before;
        if (std::exchange(answered, came) != came)
            log::info(came ? "discovery_answers" : "discovery_silent", {{"address", net::textOf(at_)}});
        if (moves != moves_)
            pace = kPaceLeast;
        else if (!came)
            co_await pauseUntil(Steady::now() + pace);
        pace = came ? kPaceLeast : std::min(2 * pace, kPaceMost);
    }
}

/// One connection, for as long as it is of use.
asio::awaitable<void> DiscoveryDriver::converse() {
    const auto moves = moves_;
    const auto block = pool_.take();
    boost::system::error_code error;
    socket_ = asio::ip::tcp::socket(io_);
    if (!block || co_await connectTo(socket_, at_, kConnectMost) || moves != moves_) co_return;
    std::string request = watch_.connected();
    Steady::time_point due{};
    while (watch_.usable()) {
        if (!request.empty()) {
            co_await pauseUntil(calledAt_ + kCallGap);
            if (moves != moves_) co_return;
            calledAt_ = Steady::now();
            due = calledAt_ + watch_.patience();
            error = co_await writeAll(socket_, request);
        }
        std::size_t got = 0;
        if (!error) got = co_await readPiece(socket_, block, due, error);
        if (moves != moves_) co_return; // Guards against the old list in the new one's place.
        if (error) break;
        request = watch_.feed({block.data(), got});
    }
    if (watch_.usable()) watch_.lost();
    socket_.close(error);
}

asio::awaitable<void> DiscoveryDriver::pauseUntil(Steady::time_point when) {
    boost::system::error_code ignored;
    timer_.expires_at(when);
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace zincstack::net
