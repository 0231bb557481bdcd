// Keeps a subscription connected: connects to planners, transfers bytes and drives the timers. A thin
// adapter: Subscription decides what to send, and ReconnectBackoff decides when and where to reconnect.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "client/reconnect_backoff.h"
#include "client/subscription.h"

namespace zincstack::client {

/// A client that reconnects. Must be owned by a std::shared_ptr and used only on the thread that runs `io`.
class SubscriptionClient : public std::enable_shared_from_this<SubscriptionClient> {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    /// Receives a human-readable line when a session has been established or has ended, with the reason.
    using OnStatus = std::function<void(const std::string& line)>;

    /// `planners`: at least one; they are tried in turn. `seed`: seed of the backoff's jitter.
    /// `unconfirmedExclusionHold`: how long an exclusion outlives the planner that announced it; see
    /// pubsub::Replica.
    SubscriptionClient(boost::asio::io_context& io, std::vector<Endpoint> planners, Identity identity,
                       const ReconnectConfig& reconnect, std::uint64_t seed, Micros unconfirmedExclusionHold,
                       Subscription::OnChange onChange = {}, OnStatus onStatus = {});

    /// Starts connecting. Must be called once.
    void start();
    /// Sends a Bye frame if a session is open, closes the connection and does not reconnect.
    void stop();
    /// Resets the connection, as a network failure would; the client reconnects. For tests and failure
    /// drills.
    void dropConnection();
    /// Stops reading until called with false, as a hung client would. For tests and failure drills.
    void pauseReading(bool paused);
    /// Sends a demand report if a session is established.
    void reportDemand(std::string_view requestClass, std::uint32_t requests, std::uint32_t unanswered,
                      Micros interval);

    const Subscription& subscription() const { return subscription_; }
    /// Number of sessions established so far.
    std::uint64_t sessionCount() const { return sessionCount_; }
    /// The steady clock, which the subscription uses.
    static Micros now();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> runSession(Endpoint planner);
    boost::asio::awaitable<void> waitUntilReadingResumes();
    /// Reads once. Returns false if the connection has ended.
    bool readAvailable(std::string& buffer);
    /// Counts and reports the session once the planner has accepted it.
    void reportEstablished(const Endpoint& planner);
    /// The reason why the last session ended, in one line.
    std::string endReason(bool wasEstablished) const;
    void scheduleTick();
    void send(const std::string& bytes);
    void reportStatus(const std::string& line) const;

    boost::asio::io_context& io_;
    const std::vector<Endpoint> planners_;
    ReconnectBackoff backoff_;
    Subscription subscription_;
    const OnStatus onStatus_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer backoffTimer_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer resumeTimer_; // never expires; cancelled when reading resumes
    bool isStopped_ = false;
    bool isReadingPaused_ = false;
    bool isEstablished_ = false; // whether the planner has accepted the current session
    std::uint64_t sessionCount_ = 0;
    std::string unsentBytes_; // not yet accepted by the socket
};

} // namespace zincstack::client
