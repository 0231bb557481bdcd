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

constexpr Micros kConnectTimeout = 2s;
constexpr Micros kTickInterval = 250ms; // interval of the heartbeat and lease checks
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
/// A planner that leaves more bytes unread is considered hung, and the connection is closed.
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;

} // namespace

SubscriptionClient::SubscriptionClient(asio::io_context& io, std::vector<Endpoint> planners,
                                       Identity identity, const ReconnectConfig& reconnect,
                                       std::uint64_t seed, Micros unconfirmedExclusionHold,
                                       Subscription::OnChange onChange, OnStatus onStatus)
    : io_(io), planners_(std::move(planners)), backoff_(planners_.size(), reconnect, seed),
      subscription_(std::move(identity), unconfirmedExclusionHold, std::move(onChange)),
      onStatus_(std::move(onStatus)), socket_(io), backoffTimer_(io), tickTimer_(io), resumeTimer_(io) {}

Micros SubscriptionClient::now() {
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

void SubscriptionClient::start() {
    asio::co_spawn(io_, run(),
                   [self = shared_from_this()](const std::exception_ptr& failure) { net::rethrow(failure); });
}

void SubscriptionClient::stop() {
    if (std::exchange(isStopped_, true)) return;
    if (subscription_.usable()) send(subscription_.encodeBye("the front end ends"));
    error_code ignored;
    socket_.close(ignored);
    for (auto* timer : {&backoffTimer_, &tickTimer_, &resumeTimer_}) timer->cancel();
}

void SubscriptionClient::dropConnection() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    resumeTimer_.cancel();
}

void SubscriptionClient::pauseReading(bool paused) {
    isReadingPaused_ = paused;
    if (!paused) resumeTimer_.cancel();
}

void SubscriptionClient::reportDemand(std::string_view requestClass, std::uint32_t requests,
                                      std::uint32_t unanswered, Micros interval) {
    send(subscription_.encodeDemand(requestClass, requests, unanswered, interval));
}

void SubscriptionClient::reportStatus(const std::string& line) const {
    if (onStatus_) onStatus_(line);
}

std::string SubscriptionClient::endReason(bool wasEstablished) const {
    if (const auto& notice = subscription_.disconnectNotice())
        return "session ended by the planner: " + notice->reason;
    if (!subscription_.lastError().empty()) return subscription_.lastError();
    return wasEstablished ? "connection closed" : "session could not be established";
}

asio::awaitable<void> SubscriptionClient::run() {
    std::size_t plannerIndex = backoff_.plannerIndex();
    while (!isStopped_) {
        const Micros start = now();
        co_await runSession(planners_[plannerIndex]);
        subscription_.connectionClosed();
        if (isStopped_) co_return;
        const Micros duration = isEstablished_ ? now() - start : 0us;
        const auto& notice = subscription_.disconnectNotice();
        const auto attempt = backoff_.nextAttempt(duration, notice ? notice->retryAfter : std::nullopt);
        plannerIndex = attempt.plannerIndex;
        reportStatus(endReason(isEstablished_) + "; reconnecting in " +
                     std::to_string(attempt.delay.count() / 1000) + " ms");
        error_code ignored;
        backoffTimer_.expires_after(attempt.delay);
        co_await backoffTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

/// Connects to the planner and processes received frames until the session ends.
asio::awaitable<void> SubscriptionClient::runSession(Endpoint planner) {
    isEstablished_ = false;
    socket_ = asio::ip::tcp::socket(io_);
    unsentBytes_.clear();
    error_code error = co_await net::connectTo(socket_, planner, kConnectTimeout);
    if (error || isStopped_) co_return;
    socket_.non_blocking(true, error);
    send(subscription_.connected(now()));
    scheduleTick();
    std::string buffer(kReadBufferBytes, '\0');
    while (subscription_.usable()) {
        co_await socket_.async_wait(asio::socket_base::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error) break;
        co_await waitUntilReadingResumes();
        if (!socket_.is_open() || !readAvailable(buffer)) break;
        reportEstablished(planner);
    }
    tickTimer_.cancel();
    socket_.close(error);
}

asio::awaitable<void> SubscriptionClient::waitUntilReadingResumes() {
    error_code ignored;
    while (isReadingPaused_ && socket_.is_open()) {
        resumeTimer_.expires_at(std::chrono::steady_clock::time_point::max());
        co_await resumeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool SubscriptionClient::readAvailable(std::string& buffer) {
    error_code error;
    const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) return true;
    if (error) return false;
    send(subscription_.feed({buffer.data(), size}, now()));
    return true;
}

void SubscriptionClient::reportEstablished(const Endpoint& planner) {
    if (isEstablished_ || !subscription_.usable()) return;
    if (subscription_.state() == Subscription::State::Greeting) return;
    isEstablished_ = true;
    ++sessionCount_;
    reportStatus("session established with planner " + subscription_.planner() + " at " +
                 net::textOf(planner));
}

void SubscriptionClient::scheduleTick() {
    tickTimer_.expires_after(kTickInterval);
    tickTimer_.async_wait([this, weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (error || !self || !socket_.is_open()) return;
        send(subscription_.tick(now()));
        if (subscription_.usable()) return scheduleTick();
        socket_.close(error);
    });
}

/// Writes as much as the socket accepts without blocking; the rest is written by the next call. No write is
/// awaited, because messages to the planner are small and a planner that does not read them is useless to the
/// client.
void SubscriptionClient::send(const std::string& bytes) {
    if (!socket_.is_open()) return;
    error_code error;
    unsentBytes_ += bytes;
    while (!unsentBytes_.empty()) {
        const std::size_t sent = socket_.write_some(asio::buffer(unsentBytes_), error);
        if (error) break;
        unsentBytes_.erase(0, sent);
    }
    if (unsentBytes_.size() > kMaxUnsentBytes) socket_.close(error);
}

} // namespace zincstack::client
