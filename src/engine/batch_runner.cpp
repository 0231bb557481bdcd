#include "engine/batch_runner.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace zincstack::net {

namespace {

using namespace std::chrono_literals;

constexpr int kQuietTicks = 2;      // time without input after which a batch closes
constexpr int kMaxBatchTicks = 8;   // age at which a batch closes even if input keeps arriving
constexpr int kMaxDrainTurns = 200; // event loop turns in which ready input still joins the batch
// A batch that stays open for longer than the maximum age plus this margin indicates a stall.
constexpr Micros kLateBatchMargin = 100ms;

} // namespace

BatchRunner::BatchRunner(boost::asio::io_context& io, Planner& planner, routing::RoutingState& state,
                         Counters& counters, Micros tick)
    : io_(io), planner_(planner), state_(state), counters_(counters), quietPeriod_(kQuietTicks * tick),
      maxBatchAge_(kMaxBatchTicks * tick), closeTimer_(io), wakeUpTimer_(io) {}

Planner& BatchRunner::openBatch() {
    ++inputCount_;
    lastInputAt_ = clock_.now();
    if (!isOpen_) {
        isOpen_ = true;
        openedAt_ = lastInputAt_;
        planner_.beginBatch(openedAt_);
        waitForQuiet();
    }
    return planner_;
}

/// Keeps the batch open until the input pauses, so that it does not close in the middle of a load report: the
/// planner would evaluate the second half of the report by itself, and every later report one interval late.
void BatchRunner::waitForQuiet() {
    closeTimer_.expires_after(std::min(lastInputAt_ + quietPeriod_, openedAt_ + maxBatchAge_) - clock_.now());
    closeTimer_.async_wait([this](const boost::system::error_code& error) {
        if (error) return;
        const Micros now = clock_.now();
        if (now < lastInputAt_ + quietPeriod_ && now < openedAt_ + maxBatchAge_)
            waitForQuiet();
        else
            drainReadyInputs(kMaxDrainTurns);
    });
}

/// Adds the input that has accumulated during a stall to the batch: closes the batch at the first turn of the
/// event loop that yields no input, or when no turns remain.
void BatchRunner::drainReadyInputs(int remainingTurns) {
    if (inputCount_ == drainedInputCount_ || remainingTurns == 0) return closeBatch();
    drainedInputCount_ = inputCount_;
    boost::asio::post(io_, [this, remainingTurns] { drainReadyInputs(remainingTurns - 1); });
}

void BatchRunner::closeBatch() {
    isOpen_ = false;
    // The planner decides as of the current time, regardless of how long the batch was open.
    const Micros now = clock_.now();
    counters_.checkInvariant(now >= openedAt_);
    counters_.add(Counter::Batches);
    if (now - openedAt_ > maxBatchAge_ + kLateBatchMargin) counters_.add(Counter::LateBatches);
    planner_.beginBatch(now);
    planner_.decide();
    state_.flush(now);
}

void BatchRunner::scheduleWakeUp(Micros delay) {
    wakeUpTimer_.expires_after(std::max(delay, Micros{1}));
    wakeUpTimer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) openBatch().timerExpired();
    });
}

} // namespace zincstack::net
