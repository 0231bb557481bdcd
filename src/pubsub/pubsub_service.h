// The pub-sub channel as a whole: server, listener and tick timer, switched on, moved and switched off as the
// operator's configuration says.
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
    using MakeServer = std::function<std::unique_ptr<SubscriptionServer>()>;

    /// What can change while the program runs.
    struct Endpoint {
        std::string listen;
        std::size_t maxSubscribers;
    };
    /// `makeServer` is called when the channel is first switched on. `bufferPool` must outlive the event loop.
    PubsubService(boost::asio::io_context& io, net::Counters& counters, net::BufferPool& bufferPool,
                  MakeServer makeServer, Micros heartbeatInterval);
    ~PubsubService();
    PubsubService(const PubsubService&) = delete;
    PubsubService(PubsubService&&) = delete;
    PubsubService& operator=(const PubsubService&) = delete;
    PubsubService& operator=(PubsubService&&) = delete;

    /// Switches the channel on at that endpoint, moves it there, or switches it off where there is none. Throws
    /// InputError where the address is invalid, and boost::system::system_error where it cannot be listened on; the
    /// channel is then as it was.
    void configure(const std::optional<Endpoint>& endpoint);
    /// Where it listens; none while it is off.
    std::optional<boost::asio::ip::tcp::endpoint> address() const;

private:
    std::shared_ptr<net::Listener> makeListener(const Endpoint& endpoint);
    void stopListening();
    void startListening(std::size_t maxSubscribers);
    void scheduleTick();

    boost::asio::io_context& io_;
    net::Counters& counters_;
    net::BufferPool& bufferPool_;
    const MakeServer makeServer_;
    const Micros tickInterval_;
    boost::asio::steady_timer tickTimer_;
    std::unique_ptr<SubscriptionServer>
        server_; // kept once made: connections that end late still refer to it
    std::shared_ptr<net::Listener> listener_;
    std::string configuredAddress_; // as the configuration wrote it
};

} // namespace zincstack::pubsub
