#include "client/subscription_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

#include "net/address.h"
#include "net/client.h"
#include "net/rethrow.h"

namespace zincstack::client {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr Micros kConnectMost = 2s;
constexpr Micros kPulse = 250ms;                 // how often signs of life and silence are looked at
constexpr std::size_t kWaitingMost = 256 * 1024; // said and not taken; a planner that reads nothing is left

} // namespace

SubscriptionClient::SubscriptionClient(asio::io_context& io, std::vector<Endpoint> planners,
                                       Identity identity, const ReconnectConfig& terms, std::uint64_t seed,
                                       Micros foreignHold, Subscription::Changed changed, Told told)
    : io_(io), planners_(std::move(planners)), redial_(planners_.size(), terms, seed),
      subscription_(std::move(identity), foreignHold, std::move(changed)), told_(std::move(told)),
      socket_(io), pause_(io), pulse_(io), stalled_(io) {}

Micros SubscriptionClient::now() {
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

void SubscriptionClient::start() {
    asio::co_spawn(io_, run(),
                   [self = shared_from_this()](const std::exception_ptr& failure) { net::rethrow(failure); });
}

void SubscriptionClient::stop() {
    if (std::exchange(stopped_, true)) return;
    if (subscription_.usable()) say(subscription_.farewell("the front end ends"));
    error_code ignored;
    socket_.close(ignored);
    for (auto* timer : {&pause_, &pulse_, &stalled_}) timer->cancel();
}

void SubscriptionClient::dropConnection() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    stalled_.cancel();
}

void SubscriptionClient::pauseReading(bool on) {
    reading_ = !on;
    if (!on) stalled_.cancel();
}

void SubscriptionClient::reportDemand(std::string_view product, std::uint32_t txns, std::uint32_t voided,
                                      Micros span) {
    say(subscription_.encodeDemand(product, txns, voided, span));
}

void SubscriptionClient::tell(const std::string& line) const {
    if (told_) told_(line);
}

asio::awaitable<void> SubscriptionClient::run() {
    std::size_t address = redial_.address();
    while (!stopped_) {
        const Micros start = now();
        const auto before = streams_;
        co_await converse(planners_[address]);
        subscription_.connectionClosed();
        if (stopped_) co_return;
        const auto& parting = subscription_.disconnectNotice();
        const auto call = redial_.next(streams_ != before ? now() - start : 0us,
                                       parting ? parting->retryAfter : std::nullopt);
        address = call.address;
        const std::string why = parting                              ? "the planner said: " + parting->reason
                                : !subscription_.lastError().empty() ? subscription_.lastError()
                                : streams_ != before                 ? "the stream ended"
                                                                     : "no planner answers";
        tell(why + "; dialling again in " + std::to_string(call.wait.count() / 1000) + " ms");
        error_code ignored;
        pause_.expires_after(call.wait);
        co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/// One stream, for as long as it is of use.
asio::awaitable<void> SubscriptionClient::converse(Endpoint at) {
    socket_ = asio::ip::tcp::socket(io_);
    waiting_.clear();
    error_code error = co_await net::connectTo(socket_, at, kConnectMost);
    if (error || stopped_) co_return;
    socket_.non_blocking(true, error);
    say(subscription_.connected(now()));
    pulse();
    std::string room(16 * 1024, '\0');
    bool up = false;
    while (subscription_.usable()) {
        co_await socket_.async_wait(asio::socket_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error) break;
        while (!reading_ && socket_.is_open()) {
            stalled_.expires_at(std::chrono::steady_clock::time_point::max());
            co_await stalled_.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        if (!socket_.is_open()) break;
        const std::size_t got = socket_.read_some(asio::buffer(room), error);
        if (error == asio::error::would_block) continue;
        if (error) break;
        say(subscription_.feed({room.data(), got}, now()));
        if (!up && subscription_.usable() && subscription_.state() != Subscription::State::Greeting) {
            up = true;
            ++streams_;
            tell("planner " + subscription_.planner() + " at " + net::textOf(at));
        }
    }
    pulse_.cancel();
    socket_.close(error);
}

void SubscriptionClient::pulse() {
    pulse_.expires_after(kPulse);
    pulse_.async_wait([this, weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (error || !self || !socket_.is_open()) return;
        say(subscription_.tick(now()));
        if (subscription_.usable()) return pulse();
        socket_.close(error);
    });
}

/// What the socket does not take at once waits for the next thing to say: answers are small, and a planner
/// that takes none of them is of no use.
void SubscriptionClient::say(std::string bytes) {
    if (!socket_.is_open()) return;
    error_code error;
    waiting_ += bytes;
    while (!waiting_.empty()) {
        const std::size_t sent = socket_.write_some(asio::buffer(waiting_), error);
        if (error) break;
        waiting_.erase(0, sent);
    }
    if (waiting_.size() > kWaitingMost) socket_.close(error);
}

} // namespace zincstack::client
