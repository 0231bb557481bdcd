// Keeps a subscription up: dials planners, carries bytes, gives signs of life. A thin driver; what to say is the
// subscription's, when and whom to dial the redial's.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "client/reconnect_backoff.h"
#include "client/subscription.h"

namespace zincstack::client {

class SubscriptionClient : public std::enable_shared_from_this<SubscriptionClient> {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    /// Something that is worth a line for people: a stream came up or ended, and why.
    using Told = std::function<void(const std::string& line)>;

    /// `planners`: one at least, tried in turn. `seed`: for the spread of waits.
    SubscriptionClient(boost::asio::io_context& io, std::vector<Endpoint> planners, Identity identity,
                       const ReconnectConfig& terms, std::uint64_t seed, Micros foreignHold,
                       Subscription::Changed changed = {}, Told told = {});

    void start();
    /// Says goodbye and dials no more.
    void stop();
    /// Drops the stream without a word, as a broken network does; it dials again. For tests and drills.
    void dropConnection();
    /// Reads nothing until it is let go on, as a front end does that stands still. For tests and drills.
    void pauseReading(bool on);
    /// Queues a usage line on the stream that is up, if one is.
    void reportDemand(std::string_view product, std::uint32_t txns, std::uint32_t voided, Micros span);

    const Subscription& subscription() const { return subscription_; }
    std::uint64_t streams() const { return streams_; } ///< that came up so far
    static Micros now();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> converse(Endpoint at);
    void say(std::string bytes);
    void pulse();
    void tell(const std::string& line) const;

    boost::asio::io_context& io_;
    const std::vector<Endpoint> planners_;
    ReconnectBackoff redial_;
    Subscription subscription_;
    const Told told_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer pause_, pulse_, stalled_;
    bool stopped_ = false, reading_ = true;
    std::uint64_t streams_ = 0;
    std::string waiting_; // not taken by the socket yet
};

} // namespace zincstack::client
