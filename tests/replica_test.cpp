// Tests of a client's replica: gaps, duplicates, reordering, and the switch from one planner to another.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>

#include "pubsub/replica.h"
#include "pubsub_entries.h"

namespace zincstack::pubsub {
namespace {

using tests::applyTo;
using tests::weightEntry;
using tests::Weights;
using namespace std::chrono_literals;

constexpr TopicId kTopic{1};

/// A topic's log and replica, connected by an unreliable channel: the test delivers, repeats, reorders and
/// drops frames.
class LossyTopic {
public:
    LossyTopic() { replica_.sessionAccepted(kEpoch); }

    void setWeight(int endpoint, int weight) {
        log_.put(weightEntry(endpoint, weight));
        applyTo(weights_, {weightEntry(endpoint, weight)});
        states_[log_.head()] = weights_;
    }
    void sendChanges() {
        const auto position = replica_.at(kTopic);
        if (position && log_.covers(*position)) send(FrameType::Changes, *position, log_.since(*position));
    }
    void sendSnapshot() { send(FrameType::Snapshot, {}, log_.snapshot()); }
    /// Delivers a frame and keeps it in transit, so that it can be delivered again.
    void deliver(std::size_t which) {
        const auto before = replica_.at(kTopic);
        replica_.apply(inTransit_[which], 1s);
        const auto after = replica_.at(kTopic);
        RC_ASSERT((!before || (after && *after >= *before)));
        if (after && states_.contains(*after)) RC_ASSERT(replicaWeights() == states_.at(*after));
    }
    void dropOldest() {
        if (!inTransit_.empty()) inTransit_.erase(inTransit_.begin());
    }
    void dropAll() { inTransit_.clear(); }
    std::size_t inTransit() const { return inTransit_.size(); }
    void expectReplicaEqualsLog() const {
        RC_ASSERT(replica_.at(kTopic) == log_.head());
        RC_ASSERT(replicaWeights() == weights_);
    }

private:
    static constexpr Epoch kEpoch{5};
    static constexpr std::size_t kEntriesPerPart = 2;

    void send(FrameType type, Sequence since, const std::vector<Entry>& entries) {
        Frame frame{type};
        frame.topic = kTopic;
        frame.epoch = kEpoch;
        frame.sequence = log_.head();
        frame.since = since;
        for (std::size_t first = 0; first == 0 || first < entries.size(); first += kEntriesPerPart) {
            const auto last = std::min(first + kEntriesPerPart, entries.size());
            frame.more = last < entries.size();
            frame.body = encode(TopicBody{{"lookup"},
                                          {entries.begin() + static_cast<std::ptrdiff_t>(first),
                                           entries.begin() + static_cast<std::ptrdiff_t>(last)}});
            inTransit_.push_back(frame);
            ++frame.part;
        }
    }
    Weights replicaWeights() const {
        const auto* table = replica_.tableOf("lookup");
        return table ? table->weights : Weights{};
    }

    TopicLog log_{4};
    Replica replica_{10s};
    std::vector<Frame> inTransit_;
    Weights weights_;
    std::map<Sequence, Weights> states_{{log_.head(), {}}};
};

// Lost, repeated or reordered frames must neither move the replica to an older sequence nor leave it in a
// state that the log never had. A final snapshot makes it equal to the log.
RC_GTEST_PROP(Replica, NeverRegressesAndConvergesToLogOverLossyChannel, ()) {
    LossyTopic topic;
    for (int steps = *rc::gen::inRange(0, 60); steps > 0; --steps) {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1: {
            const int endpoint = *rc::gen::inRange(0, 6);
            const int weight = *rc::gen::inRange(0, 3);
            topic.setWeight(endpoint, weight);
            break;
        }
        case 2: topic.sendChanges(); break;
        case 3: topic.sendSnapshot(); break;
        case 4:
            if (topic.inTransit() > 0) topic.deliver(*rc::gen::inRange<std::size_t>(0, topic.inTransit()));
            break;
        case 5: topic.dropOldest(); break;
        }
    }
    topic.dropAll();
    topic.sendSnapshot();
    for (std::size_t k = 0; k < topic.inTransit(); ++k) topic.deliver(k);
    topic.expectReplicaEqualsLog();
}

// After a planner switch, a client must not route by a half-received table, nor send requests to an endpoint
// that drains because the new planner does not know of the drain yet.
TEST(Replica, KeepsOldTableUntilNewOneIsCompleteAndHoldsUnconfirmedExclusions) {
    Replica replica(10s);
    const auto frame = [](Epoch epoch, TopicId topic, std::vector<Entry> entries, bool more = false,
                          std::uint16_t part = 0) {
        Frame out{FrameType::Snapshot};
        out.epoch = epoch;
        out.topic = topic;
        out.sequence = {3};
        out.more = more;
        out.part = part;
        out.body = encode(TopicBody{{"lookup"}, std::move(entries)});
        return out;
    };
    using Outcome = Replica::Outcome;
    const Entry exclusion{{Key::Kind::Exclusion, "s-1"}, {1, {}}};
    replica.sessionAccepted({1});
    EXPECT_EQ(replica.apply(frame({1}, {0}, {exclusion}), 1s), Outcome::Applied);
    EXPECT_EQ(replica.apply(frame({1}, {1}, {weightEntry(1, 1), weightEntry(2, 1)}), 1s), Outcome::Applied);
    EXPECT_EQ(replica.eligibleEndpoints(*replica.tableOf("lookup"), 1s).size(), 1U);

    replica.sessionAccepted({2}); // does not know of the drain yet
    EXPECT_EQ(replica.apply(frame({1}, {1}, {weightEntry(3, 1)}), 2s), Outcome::OtherEpoch);
    EXPECT_EQ(replica.apply(frame({2}, {0}, {}), 2s), Outcome::Applied);
    EXPECT_EQ(replica.apply(frame({2}, {1}, {weightEntry(1, 1)}, true), 2s), Outcome::PartReceived);
    EXPECT_EQ(replica.tableOf("lookup")->weights.size(), 2U); // not complete yet
    EXPECT_EQ(replica.apply(frame({2}, {1}, {weightEntry(2, 1)}, false, 1), 2s), Outcome::Applied);
    EXPECT_TRUE(replica.isExcluded("s-1", 2s));
    EXPECT_FALSE(replica.isExcluded("s-1", 12s)); // not confirmed within the hold time of 10 s
    EXPECT_EQ(replica.apply(frame({2}, {1}, {weightEntry(1, 1)}), 2s), Outcome::Duplicate); // same sequence
    // If all endpoints of a table have unconfirmed exclusions, they may be used.
    replica.sessionAccepted({3});
    EXPECT_EQ(replica.apply(frame({3}, {1}, {weightEntry(1, 1)}), 2s), Outcome::Applied);
    EXPECT_EQ(replica.eligibleEndpoints(*replica.tableOf("lookup"), 3s).size(), 1U);
}

} // namespace
} // namespace zincstack::pubsub
