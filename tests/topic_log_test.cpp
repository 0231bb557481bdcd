// Tests of a topic's log: covered positions, coalescing and tombstones.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "pubsub/topic_log.h"
#include "pubsub_entries.h"

namespace zincstack::pubsub {
namespace {

using tests::applyTo;
using tests::weightEntry;
using tests::Weights;

// A reader must not miss a change or a removal because newer changes of the same key replaced it or its
// tombstone was dropped.
RC_GTEST_PROP(TopicLog, CoalescedChangesBringReaderAtAnyCoveredPositionUpToDate, ()) {
    constexpr std::size_t kMaxTombstones = 3;
    struct State {
        Sequence head;
        Weights weights;
    };
    TopicLog log(kMaxTombstones);
    Weights current;
    std::vector<State> states{{log.head(), current}};
    const auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    for (const auto& [endpoint, weight] : changes) {
        log.put(weightEntry(endpoint, weight));
        applyTo(current, {weightEntry(endpoint, weight)});
        states.push_back({log.head(), current});
    }
    RC_ASSERT(log.tombstones() <= kMaxTombstones);
    for (auto& [head, weights] : states) {
        if (!log.covers(head)) continue;
        const auto since = log.since(head);
        std::set<std::string> names;
        for (const auto& entry : since) RC_ASSERT(names.insert(entry.key.name).second); // no key occurs twice
        applyTo(weights, since);
        RC_ASSERT(weights == current);
        RC_ASSERT(log.countChangedSince(head, 100) == since.size());
    }
    Weights fromSnapshot;
    applyTo(fromSnapshot, log.snapshot());
    RC_ASSERT(fromSnapshot == current);
}

TEST(TopicLog, UnchangedValuesTakeNoSequenceAndDroppedTombstoneRaisesFloor) {
    TopicLog log(1);
    EXPECT_TRUE(log.put(weightEntry(1, 2)));
    EXPECT_FALSE(log.put(weightEntry(1, 2)));
    EXPECT_FALSE(log.put(weightEntry(9, 0)));
    // An admission limit of 0 is not a removal.
    EXPECT_TRUE(log.put({{Key::Kind::Admission, "lookup"}, {0, {}}}));
    EXPECT_EQ(log.head(), Sequence{2});
    EXPECT_EQ(log.size(), 2U);
    log.put(weightEntry(2, 1));
    log.put(weightEntry(1, 0));
    EXPECT_TRUE(log.covers({1}));
    log.put(weightEntry(2, 0)); // the second tombstone replaces the first
    EXPECT_FALSE(log.covers({1}));
    EXPECT_FALSE(log.covers({3}));
    EXPECT_TRUE(log.covers({4}));
    EXPECT_FALSE(log.covers({99}));
}

} // namespace
} // namespace zincstack::pubsub
