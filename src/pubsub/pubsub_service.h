// The channel as a whole: hub, listener and the timer of its turns, switched on, moved and switched off as the
// operator's file says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/buffer_pool.h"
#include "net/listener.h"
#include "pubsub/subscription_server.h"

namespace zincstack::pubsub {

class PubsubService {
public:
    /// What of it can change while the program runs.
    struct Endpoint {
        std::string listen;
        std::size_t subscribers;
    };
    /// `makeHub` is called when the channel is first switched on. `pool` must outlive the loop.
    PubsubService(boost::asio::io_context& io, net::Counters& counters, net::BufferPool& pool,
                  std::function<std::unique_ptr<SubscriptionServer>()> makeHub, Micros beat);
    ~PubsubService();

    /// On at that place, moved there, or off where there is none. Throws where the place can't be listened on;
    /// it is then as it was.
    void configure(const std::optional<Endpoint>& place);
    /// Where it listens; none while it is off.
    std::optional<boost::asio::ip::tcp::endpoint> address() const;

private:
    void turn();

    boost::asio::io_context& io_;
    net::Counters& counters_;
    net::BufferPool& pool_;
    const std::function<std::unique_ptr<SubscriptionServer>()> makeHub_;
    const Micros gap_;
    boost::asio::steady_timer turns_;
    std::unique_ptr<SubscriptionServer> hub_; // once it is made it stays: streams that end late still know it
    std::shared_ptr<net::Listener> listener_;
    std::string listen_; // as it was asked for
};

} // namespace zincstack::pubsub
