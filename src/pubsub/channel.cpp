#include "pubsub/channel.h"

#include <utility>

#include "log/log.h"
#include "net/address.h"
#include "pubsub/door.h"
#include "terms/malformed.h"

namespace zincstack::pubsub {

Channel::Channel(boost::asio::io_context& io, net::Counters& counters, net::BufferPool& pool,
                 std::function<std::unique_ptr<Hub>()> makeHub, Micros beat)
    : io_(io), counters_(counters), pool_(pool), makeHub_(std::move(makeHub)), gap_(beat / Hub::kTurns),
      turns_(io) {}

Channel::~Channel() {
    if (listener_) listener_->stop();
}

std::optional<boost::asio::ip::tcp::endpoint> Channel::address() const {
    return listener_ ? std::optional(listener_->address()) : std::nullopt;
}

void Channel::be(const std::optional<Place>& place) {
    if (place && listener_ && place->listen == listen_) return;
    std::shared_ptr<net::Listener> next;
    if (place) {
        const auto at = net::parseAddress(place->listen);
        if (!at) throw Malformed("the channel's address can't be read: '" + place->listen + "'");
        next = std::make_shared<net::Listener>(
            io_, *at, place->subscribers, kQueueBytesMost, counters_, pool_, pool_,
            [this](net::Connection& connection) { return makeVisitor(*hub_, connection); });
    }
    if (listener_) {
        log::info("channel_off",
                  {{"address", net::textOf(listener_->address())}, {"subscribers", hub_->subscribers()}});
        hub_->off();
        listener_->stop();
        turns_.cancel();
    }
    listener_ = std::move(next);
    listen_ = place ? place->listen : std::string{};
    if (!listener_) return;
    if (!hub_) hub_ = makeHub_();
    hub_->on();
    listener_->start();
    turn();
    log::info("channel_on", {{"address", net::textOf(listener_->address())},
                             {"epoch", hub_->epoch().value},
                             {"subscribers_most", place->subscribers}});
}

void Channel::turn() {
    turns_.expires_after(gap_);
    turns_.async_wait([this](const boost::system::error_code& error) {
        if (error || !listener_) return;
        hub_->turn();
        turn();
    });
}

} // namespace zincstack::pubsub
