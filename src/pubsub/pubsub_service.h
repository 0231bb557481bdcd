// The complete pub-sub channel: server, listener and tick timer. The operator's configuration switches it on
// and off and sets its listen address.
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

/// Runs the pub-sub channel on the event loop.
class PubsubService {
public:
    using MakeServer = std::function<std::unique_ptr<SubscriptionServer>()>;

    /// Settings that can change while the program runs.
    struct ListenConfig {
        std::string listen;         ///< address and port to listen on
        std::size_t maxSubscribers; ///< maximum number of connections
    };
    /// `makeServer` is called when the channel is switched on for the first time. `bufferPool` must outlive
    /// the event loop.
    PubsubService(boost::asio::io_context& io, net::Counters& counters, net::BufferPool& bufferPool,
                  MakeServer makeServer, Micros heartbeatInterval);
    ~PubsubService();
    PubsubService(const PubsubService&) = delete;
    PubsubService(PubsubService&&) = delete;
    PubsubService& operator=(const PubsubService&) = delete;
    PubsubService& operator=(PubsubService&&) = delete;

    /// Switches the channel on, moves it to another listen address, or switches it off if `listenConfig` is
    /// std::nullopt. Throws InputError if the address is invalid, and boost::system::system_error if it
    /// cannot be listened on. The channel is not changed in these cases. A change of `maxSubscribers` alone
    /// has no effect.
    void configure(const std::optional<ListenConfig>& listenConfig);
    /// Returns the listen address; std::nullopt while the channel is off.
    std::optional<boost::asio::ip::tcp::endpoint> address() const;

private:
    std::shared_ptr<net::Listener> makeListener(const ListenConfig& listenConfig);
    void stopListening();
    void startListening(std::size_t maxSubscribers);
    void scheduleTick();

    boost::asio::io_context& io_;
    net::Counters& counters_;
    net::BufferPool& bufferPool_;
    const MakeServer makeServer_;
    const Micros tickInterval_;
    boost::asio::steady_timer tickTimer_;
    // Kept once created, because connections that close late still refer to it.
    std::unique_ptr<SubscriptionServer> server_;
    std::shared_ptr<net::Listener> listener_;
    std::string configuredAddress_; // as written in the configuration
};

} // namespace zincstack::pubsub
