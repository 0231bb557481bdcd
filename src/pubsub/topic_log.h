// What a topic says, and when each part of it changed last. No I/O, no clock.
//
// A topic is a set of entries under keys. Each change takes the next sequence number, and of every key only
// the newest change is kept, so that a reader at any older sequence is brought up by the keys that changed
// since: unsent changes of one server merge by themselves, and no reader has a queue of its own. A key that
// was taken out leaves a tombstone; those are bounded, and past them a reader needs a snapshot.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planner/planner.h"

namespace zincstack::pubsub {

using Epoch = Id<struct EpochTag, std::uint64_t>;       ///< one planner life; greater is later on one machine
using Sequence = Id<struct SequenceTag, std::uint64_t>; ///< of a topic's changes within an epoch; from 1
using TopicId = Id<struct TopicTag, std::uint16_t>;     ///< 0: withdrawn servers; else the table's number + 1

inline constexpr TopicId kWithdrawnTopic{0};
inline TopicId topicOf(TableId table) { return {static_cast<std::uint16_t>(table.value + 1)}; }

struct Key {
    enum class Kind : std::uint8_t { Line, Level, Out };
    Kind kind = Kind::Line;
    std::string name; ///< of a server, or of a product for a level
    friend auto operator<=>(const Key&, const Key&) = default;
};
struct Value {
    /// Line: weight, 0 takes it out. Level: a share or a rate. Out: 1 withdrawn, 0 let back.
    double figure = 0;
    RetryPolicy tries = RetryPolicy::Never; ///< of a level
    friend bool operator==(const Value&, const Value&) = default;
};
struct Entry {
    Key key;
    Value value;
    friend bool operator==(const Entry&, const Entry&) = default;
};

class TopicLog {
public:
    /// `tombstonesMost`: keys taken out that are remembered.
    explicit TopicLog(std::size_t tombstonesMost) : tombstonesMost_(tombstonesMost) {}

    /// False, and no new sequence, where it says so already.
    bool put(const Entry& entry);

    Sequence head() const { return head_; }
    /// Whether a reader who has all up to there can be brought up by changes alone.
    bool covers(Sequence from) const { return from >= floor_ && from <= head_; }
    /// The keys that changed after `from`, with what they are now (a figure of 0: taken out), oldest change
    /// first. Only where `covers(from)`.
    std::vector<Entry> since(Sequence from) const;
    /// How many keys changed after `from`, counted up to `most`.
    std::size_t changedSince(Sequence from, std::size_t most) const;
    /// All that stands, by key.
    std::vector<Entry> whole() const;
    std::size_t size() const { return entries_.size() - tombstones_; }
    std::size_t tombstones() const { return tombstones_; }

private:
    struct Kept {
        Value value;
        Sequence at;
    };
    /// A level of 0 stands: it declines all. Lines and withdrawals of 0 are gone.
    static bool gone(const Key& key, const Value& value) {
        return key.kind != Key::Kind::Level && value.figure <= 0;
    }
    void forgetOldest();

    const std::size_t tombstonesMost_;
    std::map<Key, Kept> entries_; // tombstones too
    std::map<Sequence, std::map<Key, Kept>::iterator> order_;
    std::size_t tombstones_ = 0;
    Sequence head_{0}, floor_{0};
};

} // namespace zincstack::pubsub
