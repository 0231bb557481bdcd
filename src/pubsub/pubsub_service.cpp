#include "pubsub/pubsub_service.h"

#include <utility>

#include "errors/input_error.h"
#include "log/log.h"
#include "net/address.h"
#include "pubsub/subscriber_session.h"

namespace zincstack::pubsub {

PubsubService::PubsubService(boost::asio::io_context& io, net::Counters& counters,
                             net::BufferPool& bufferPool, MakeServer makeServer, Micros heartbeatInterval)
    : io_(io), counters_(counters), bufferPool_(bufferPool), makeServer_(std::move(makeServer)),
      tickInterval_(heartbeatInterval / SubscriptionServer::kTicksPerHeartbeat), tickTimer_(io) {}

PubsubService::~PubsubService() {
    if (listener_) listener_->stop();
}

std::optional<boost::asio::ip::tcp::endpoint> PubsubService::address() const {
    return listener_ ? std::optional(listener_->address()) : std::nullopt;
}

void PubsubService::configure(const std::optional<ListenConfig>& listenConfig) {
    if (listenConfig && listener_ && listenConfig->listen == configuredAddress_) return;
    auto next = listenConfig ? makeListener(*listenConfig) : nullptr;
    if (listener_) stopListening();
    listener_ = std::move(next);
    configuredAddress_ = listenConfig ? listenConfig->listen : std::string{};
    if (listener_) startListening(listenConfig->maxSubscribers);
}

std::shared_ptr<net::Listener> PubsubService::makeListener(const ListenConfig& listenConfig) {
    const auto address = net::parseAddress(listenConfig.listen);
    if (!address)
        throw InputError("invalid listen address of the pub-sub channel: expected IP:PORT, got '" +
                         listenConfig.listen + "'");
    const auto makeSession = [this](net::Connection& connection) {
        return makeSubscriberSession(*server_, connection);
    };
    return std::make_shared<net::Listener>(io_, *address, listenConfig.maxSubscribers, kMaxQueuedBytes,
                                           counters_, bufferPool_, makeSession);
}

void PubsubService::stopListening() {
    log::info("channel_off",
              {{"address", net::textOf(listener_->address())}, {"subscribers", server_->subscriberCount()}});
    server_->suspend();
    listener_->stop();
    tickTimer_.cancel();
}

void PubsubService::startListening(std::size_t maxSubscribers) {
    if (!server_) server_ = makeServer_();
    server_->resume();
    listener_->start();
    scheduleTick();
    log::info("channel_on", {{"address", net::textOf(listener_->address())},
                             {"epoch", server_->epoch().value},
                             {"subscribers_most", maxSubscribers}});
}

void PubsubService::scheduleTick() {
    tickTimer_.expires_after(tickInterval_);
    tickTimer_.async_wait([this](const boost::system::error_code& error) {
        if (error || !listener_) return;
        server_->tick();
        scheduleTick();
    });
}

} // namespace zincstack::pubsub
