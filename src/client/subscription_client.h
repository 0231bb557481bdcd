// Keeps a subscription connected: connects to planners, transfers bytes and drives the timers. A thin adapter:
// Subscription decides what to send, ReconnectBackoff when and where to reconnect.
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

/// To be owned by a shared_ptr; runs on the thread of `io` alone.
class SubscriptionClient : public std::enable_shared_from_this<SubscriptionClient> {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    /// A line for people: a session was established or has ended, and why.
    using OnStatus = std::function<void(const std::string& line)>;

    /// `planners`: at least one, tried in turn. `seed`: of the backoff's jitter. `foreignExclusionHold`: see
    /// pubsub::Replica.
    SubscriptionClient(boost::asio::io_context& io, std::vector<Endpoint> planners, Identity identity,
                       const ReconnectConfig& reconnect, std::uint64_t seed, Micros foreignExclusionHold,
                       Subscription::OnChange onChange = {}, OnStatus onStatus = {});

    void start();
    /// Sends a goodbye and does not reconnect.
    void stop();
    /// Resets the connection as a broken network does; the client reconnects. For tests and drills.
    void dropConnection();
    /// Stops reading until it is switched off again, as a hanging client does. For tests and drills.
    void pauseReading(bool paused);
    /// Reports demand in the session that is established, if any.
    void reportDemand(std::string_view requestClass, std::uint32_t requests, std::uint32_t unanswered,
                      Micros interval);

    const Subscription& subscription() const { return subscription_; }
    /// Sessions established so far.
    std::uint64_t sessionCount() const { return sessionCount_; }
    static Micros now();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> runSession(Endpoint planner);
    boost::asio::awaitable<void> waitUntilReadingResumes();
    /// Reads once. False: the connection has ended.
    bool readAvailable(std::string& buffer);
    void noteEstablished(const Endpoint& planner);
    /// Why the last session ended, in one line.
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
    bool isEstablished_ = false; // the current session
    std::uint64_t sessionCount_ = 0;
    std::string unsentBytes_; // not taken by the socket yet
};

} // namespace zincstack::client
