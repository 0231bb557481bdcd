#include "engine/batch_runner.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

constexpr int kQuietTicks = 2;  // a batch closes once nothing has come for so many ticks
constexpr int kMostTicks = 8;   // or is so many ticks old
constexpr int kHopsMost = 200;  // turns of the loop in which more may come in before a batch is decided
constexpr Micros kLate = 100ms; // a batch that took longer to gather tells of a stall

} // namespace

BatchRunner::BatchRunner(boost::asio::io_context& io, Planner& planner, routing::RoutingState& book,
                         Counters& counters, Micros tick)
    : io_(io), planner_(planner), book_(book), counters_(counters), quiet_(kQuietTicks * tick),
      most_(kMostTicks * tick), gathered_(io), wake_(io) {}

Planner& BatchRunner::openBatch() {
    ++inputs_;
    lastAt_ = clock_.now();
    if (!open_) {
        open_ = true;
        openedAt_ = lastAt_;
        planner_.beginBatch(openedAt_);
        gather();
    }
    return planner_;
}

/// Waits until nothing has come for a while. Guards against a batch that closes in the middle of a report:
/// its second half would be judged alone, and every report after it a period late.
void BatchRunner::gather() {
    gathered_.expires_after(std::min(lastAt_ + quiet_, openedAt_ + most_) - clock_.now());
    gathered_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        const Micros now = clock_.now();
        if (now < lastAt_ + quiet_ && now < openedAt_ + most_)
            gather();
        else
            settle(kHopsMost);
    });
}

/// After a stall much is waiting: as long as each turn of the loop brings something, it is taken in first.
void BatchRunner::settle(int hops) {
    if (inputs_ != settled_ && hops > 0) {
        settled_ = inputs_;
        boost::asio::post(io_, [this, hops] { settle(hops - 1); });
        return;
    }
    open_ = false;
    const Micros now = clock_.now(); // the batch is decided as of now, however long it took to gather
    counters_.checkInvariant(now >= openedAt_);
    counters_.add(Counter::Batches);
    if (now - openedAt_ > most_ + kLate) counters_.add(Counter::LateBatches);
    planner_.beginBatch(now);
    planner_.decide();
    book_.flush(now);
}

void BatchRunner::scheduleWakeUp(Micros span) {
    wake_.expires_after(std::max(span, Micros{1}));
    wake_.async_wait([this](const boost::system::error_code& error) {
        if (!error) openBatch().timerExpired();
    });
}

} // namespace zincstack::net
