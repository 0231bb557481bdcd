#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/rethrow.h"

namespace zincstack::net {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kPause = 50ms;       // before another try where the system can take nothing more
constexpr auto kJoinWithin = 1s;    // what has not joined by then is no collector and no proxy
constexpr auto kJoinIfFull = 100ms; // the same while others wait to be taken

} // namespace

Listener::Listener(asio::io_context& io, const asio::ip::tcp::endpoint& at, std::size_t peersMost,
                   std::size_t queueMost, Counters& counters, BufferPool& lines, BufferPool& pushes,
                   MakePeer makePeer)
    : acceptor_(io, at, true), room_(io), due_(io), peersMost_(peersMost), queueMost_(queueMost),
      counters_(counters), pushes_(pushes), makePeer_(std::move(makePeer)), readInto_(lines.take()) {}

void Listener::start() {
    const auto run = [this](asio::awaitable<void> work) {
        asio::co_spawn(acceptor_.get_executor(), std::move(work),
                       [self = shared_from_this()](const std::exception_ptr& failure) { rethrow(failure); });
    };
    run(accept());
    run(watchNewcomers());
}

void Listener::stop() {
    if (std::exchange(stopped_, true)) return;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (auto* timer : {&room_, &due_}) timer->cancel();
    for (const auto& peer : peers_) peer->end("the listener stops");
}

asio::awaitable<void> Listener::sleep(asio::steady_timer& timer, Steady::time_point until) {
    boost::system::error_code ignored;
    timer.expires_at(until);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// Guards against peers that say nothing, half of something, or no more than a probe, and hold their places:
/// each has its time to join, a shorter one where others wait. Proxies and collectors never give way.
asio::awaitable<void> Listener::watchNewcomers() {
    while (!stopped_) {
        if (newcomers_.empty()) {
            co_await sleep(due_, Steady::time_point::max());
            continue;
        }
        const auto& [since, weak] = newcomers_.front();
        const auto due = since + (full() ? Steady::duration(kJoinIfFull) : kJoinWithin);
        bool early = false;
        if (const auto peer = weak.lock(); peer && peer->peer().isUnidentified()) {
            early = Steady::now() < due;
            if (!early) peer->joinNow();
        }
        if (early)
            co_await sleep(due_, due);
        else
            newcomers_.pop_front();
    }
}

asio::awaitable<void> Listener::accept() {
    while (!stopped_) {
        boost::system::error_code error;
        if (full()) {
            counters_.recordIgnored(Counter::RefusedFull, "peers wait to be taken");
            due_.cancel(); // newcomers have less time now
            co_await sleep(room_, Steady::time_point::max());
            continue;
        }
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (stopped_) co_return;
        if (error) {
            counters_.recordIgnored(Counter::RefusedFull, error.message());
            co_await sleep(room_, Steady::now() + kPause);
            continue;
        }
        counters_.add(Counter::Accepted);
        const auto at =
            peers_.insert(peers_.end(), std::make_shared<Connection>(std::move(socket), counters_, pushes_,
                                                                     readInto_, queueMost_));
        if (newcomers_.empty()) due_.cancel();
        newcomers_.emplace_back(Steady::now(), *at);
        (*at)->start(makePeer_(**at), [this, self = shared_from_this(), at] {
            peers_.erase(at);
            room_.cancel();
        });
    }
}

} // namespace zincstack::net
