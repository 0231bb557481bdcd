// Regression tests of the program's behaviour: the first recorded days of each kind (digest_days.h) must
// still produce the updates and bytes whose checksums are stored. The program zincstack_digests checks all
// days, and rewrites the checksums after an intended change of behaviour.
#include <gtest/gtest.h>

#include "digest_reference.h"

namespace zincstack::tests {
namespace {

void expectSameAsStored(std::string_view kindName) {
    const DayKind* kind = findDayKind(kindName);
    ASSERT_NE(kind, nullptr);
    const DigestReference reference(*kind);
    for (std::uint64_t seed = 1; seed <= kind->seedsOfTests; ++seed) {
        const auto difference = reference.difference(seed, kind->play(seed));
        EXPECT_FALSE(difference) << difference.value_or("");
    }
}

TEST(Digests, DecisionsAreAsStored) { expectSameAsStored("decisions"); }
TEST(Digests, PushedBytesAreAsStored) { expectSameAsStored("push"); }
TEST(Digests, PubsubBytesAreAsStored) { expectSameAsStored("pubsub"); }
TEST(Digests, SimwireRepliesAreAsStored) { expectSameAsStored("simwire"); }

TEST(Digests, DifferenceNamesTheSeedAndTheEvent) {
    const DayKind& kind = *findDayKind("simwire");
    const DigestReference reference(kind);
    RecordedDay changed = kind.play(1);
    constexpr std::size_t kChanged = 7;
    ASSERT_GT(changed.events.size(), kChanged);
    changed.events[kChanged] += " changed";
    const auto difference = reference.difference(1, changed);
    ASSERT_TRUE(difference);
    EXPECT_NE(difference->find("simwire seed 1"), std::string::npos) << *difference;
    EXPECT_NE(difference->find("event 7 is"), std::string::npos) << *difference;
    EXPECT_NE(difference->find(changed.events[kChanged]), std::string::npos) << *difference;
    changed.events.resize(kChanged);
    EXPECT_NE(reference.difference(1, changed)->find("the day ends"), std::string::npos);
}

} // namespace
} // namespace zincstack::tests
