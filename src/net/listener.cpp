#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

#include "net/fatal.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kPause = 50ms;            // before another try where nothing more can be taken
constexpr std::size_t kEvictedPart = 16; // of all peers, one in so many gives way at once

} // namespace

Listener::Listener(asio::io_context& io, const asio::ip::tcp::endpoint& at, std::size_t peersMost,
                   Intake& intake, const Outbox& outbox, Counters& counters, BufferPool& pool)
    : acceptor_(io, at, true), pause_(io), peersMost_(peersMost), intake_(intake), outbox_(outbox),
      counters_(counters), pool_(pool) {}

void Listener::start() { asio::co_spawn(acceptor_.get_executor(), accept(), rethrow); }

void Listener::serve() {
    if (std::exchange(serving_, true)) return;
    for (const auto& one : std::exchange(asking_, {}))
        if (const auto peer = one.lock()) alive(*peer);
}

void Listener::alive(Connection& peer) {
    if (!serving_) return asking_.push_back(peer.weak_from_this());
    counters_.add(Count::ProbesAnswered);
    if (!peer.push("alive\r\n")) counters_.passedOver(Count::NoRoom, "no room for an answer");
}

/// Guards against strangers that hold all descriptors: the oldest peers that are of no use give way.
bool Listener::makeRoom() {
    const std::size_t most = peersMost_ / kEvictedPart + 1;
    std::size_t evicted = 0;
    for (const auto& peer : peers_) {
        const auto& session = peer->session();
        if (!session.stranger() && (!session.proxy() || outbox_.owns(*session.proxy(), *peer))) continue;
        counters_.passedOver(Count::EvictedStranger, "room was needed");
        peer->close();
        if (++evicted == most) break;
    }
    return evicted > 0;
}

asio::awaitable<void> Listener::accept() {
    for (;;) {
        boost::system::error_code error;
        if (peers_.size() >= peersMost_) {
            if (!makeRoom()) counters_.passedOver(Count::RefusedFull, "peers wait to be taken");
            pause_.expires_after(kPause);
            co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            counters_.passedOver(Count::RefusedFull, error.message());
            pause_.expires_after(kPause);
            co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        counters_.add(Count::Accepted);
        const auto at = peers_.insert(
            peers_.end(), std::make_shared<Connection>(std::move(socket), intake_, counters_, pool_,
                                                       readInto_, [this](Connection& peer) { alive(peer); }));
        (*at)->start([this, at] { peers_.erase(at); });
    }
}

} // namespace zincstack::net
