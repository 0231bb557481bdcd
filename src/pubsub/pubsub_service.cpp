#include "pubsub/pubsub_service.h"

#include <utility>

#include "errors/input_error.h"
#include "log/log.h"
#include "net/address.h"
#include "pubsub/subscriber_session.h"

namespace zincstack::pubsub {

PubsubService::PubsubService(boost::asio::io_context& io, net::Counters& counters, net::BufferPool& pool,
                             std::function<std::unique_ptr<SubscriptionServer>()> makeHub, Micros beat)
    : io_(io), counters_(counters), pool_(pool), makeHub_(std::move(makeHub)),
      gap_(beat / SubscriptionServer::kTicksPerHeartbeat), turns_(io) {}

PubsubService::~PubsubService() {
    if (listener_) listener_->stop();
}

std::optional<boost::asio::ip::tcp::endpoint> PubsubService::address() const {
    return listener_ ? std::optional(listener_->address()) : std::nullopt;
}

void PubsubService::configure(const std::optional<Endpoint>& place) {
    if (place && listener_ && place->listen == listen_) return;
    std::shared_ptr<net::Listener> next;
    if (place) {
        const auto at = net::parseAddress(place->listen);
        if (!at) throw InputError("the channel's address can't be read: '" + place->listen + "'");
        next = std::make_shared<net::Listener>(
            io_, *at, place->subscribers, kQueueBytesMost, counters_, pool_, pool_,
            [this](net::Connection& connection) { return makeSubscriberSession(*hub_, connection); });
    }
    if (listener_) {
        log::info("channel_off",
                  {{"address", net::textOf(listener_->address())}, {"subscribers", hub_->subscribers()}});
        hub_->suspend();
        listener_->stop();
        turns_.cancel();
    }
    listener_ = std::move(next);
    listen_ = place ? place->listen : std::string{};
    if (!listener_) return;
    if (!hub_) hub_ = makeHub_();
    hub_->resume();
    listener_->start();
    turn();
    log::info("channel_on", {{"address", net::textOf(listener_->address())},
                             {"epoch", hub_->epoch().value},
                             {"subscribers_most", place->subscribers}});
}

void PubsubService::turn() {
    turns_.expires_after(gap_);
    turns_.async_wait([this](const boost::system::error_code& error) {
        if (error || !listener_) return;
        hub_->tick();
        turn();
    });
}

} // namespace zincstack::pubsub
