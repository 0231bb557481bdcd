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

constexpr Micros kConnectTimeout = 1s;
constexpr Micros kMinBackoff = 50ms; // between connections that yield no usable response
constexpr Micros kMaxBackoff = 1s;
constexpr Micros kMinRequestInterval = 20ms; // limits the rate if discovery answers each poll immediately

} // namespace

DiscoveryDriver::DiscoveryDriver(asio::io_context& io, asio::ip::tcp::endpoint address, DiscoveryWatch& watch,
                                 BufferPool& pool)
    : io_(io), address_(std::move(address)), watch_(watch), pool_(pool), timer_(io), socket_(io) {}

void DiscoveryDriver::start() { asio::co_spawn(io_, run(), rethrow); }

void DiscoveryDriver::changeAddress(asio::ip::tcp::endpoint address, std::string host) {
    if (address == address_) return;
    address_ = std::move(address);
    ++addressChanges_;
    watch_.addressChanged(std::move(host));
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

asio::awaitable<void> DiscoveryDriver::run() {
    Micros backoff = kMinBackoff;
    bool wasAnswering = true;
    for (;;) {
        const auto responsesBefore = watch_.acceptedResponses();
        const auto addressChangesBefore = addressChanges_;
        co_await serveConnection();
        const bool answering = watch_.acceptedResponses() != responsesBefore;
        if (std::exchange(wasAnswering, answering) != answering)
            log::info(answering ? "discovery_answers" : "discovery_silent",
                      {{"address", net::textOf(address_)}});
        if (addressChangesBefore != addressChanges_)
            backoff = kMinBackoff;
        else if (!answering)
            co_await sleepUntil(Steady::now() + backoff);
        backoff = answering ? kMinBackoff : std::min(2 * backoff, kMaxBackoff);
    }
}

/// Serves one connection until it fails, becomes unusable or the address changes. The address can change
/// during each suspension of the coroutine. Bytes received from the old address must then not be passed to
/// the watch, which already expects responses from the new address.
asio::awaitable<void> DiscoveryDriver::serveConnection() {
    const auto addressChangesBefore = addressChanges_;
    const auto addressChanged = [&] { return addressChanges_ != addressChangesBefore; };
    const auto block = pool_.take();
    socket_ = asio::ip::tcp::socket(io_);
    if (!block || co_await connectTo(socket_, address_, kConnectTimeout) || addressChanged()) co_return;
    std::string request = watch_.connected();
    Steady::time_point deadline{};
    boost::system::error_code error;
    while (watch_.usable()) {
        if (!request.empty()) {
            co_await sleepUntil(requestedAt_ + kMinRequestInterval);
            if (addressChanged()) co_return;
            requestedAt_ = Steady::now();
            deadline = requestedAt_ + watch_.responseTimeout();
            error = co_await writeAll(socket_, request);
        }
        std::size_t received = 0;
        if (!error) received = co_await readPiece(socket_, block, deadline, error);
        if (addressChanged()) co_return;
        if (error) break;
        request = watch_.feed({block.data(), received});
    }
    if (watch_.usable()) watch_.connectionLost();
    socket_.close(error);
}

asio::awaitable<void> DiscoveryDriver::sleepUntil(Steady::time_point when) {
    boost::system::error_code ignored;
    timer_.expires_at(when);
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace zincstack::net
