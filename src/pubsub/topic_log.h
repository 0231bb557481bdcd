// The entries of one topic and when each of them changed last. No I/O, no clock.
//
// A topic is a map from keys to values. Each change takes the next sequence number, and only the newest change of a
// key is kept: a reader at any older sequence is brought up to date by the keys that changed since. Unsent changes of
// one endpoint therefore coalesce, and no reader needs a queue of its own. A removed key leaves a tombstone; the
// number of tombstones is bounded, and a reader from before the oldest one needs a snapshot.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planner/planner.h"

namespace zincstack::pubsub {

using Epoch = Id<struct EpochTag, std::uint64_t>; ///< a planner incarnation; greater is later on one machine
using Sequence = Id<struct SequenceTag, std::uint64_t>; ///< of a topic's changes within an epoch; from 1
using TopicId = Id<struct TopicTag, std::uint16_t>; ///< 0: excluded endpoints; else the table's number + 1

inline constexpr TopicId kExclusionsTopic{0};
/// The topic of a table, and the table of a topic other than `kExclusionsTopic`.
inline TopicId topicOf(TableId table) { return {static_cast<std::uint16_t>(table.value + 1)}; }
inline TableId tableOf(TopicId topic) { return {static_cast<std::uint16_t>(topic.value - 1)}; }

struct Key {
    enum class Kind : std::uint8_t { Weight, Admission, Exclusion };
    Kind kind = Kind::Weight;
    std::string name; ///< of an endpoint; for Admission, of a request class
    friend auto operator<=>(const Key&, const Key&) = default;
};

struct EntryValue {
    /// Weight: 0 removes the endpoint. Admission: a fraction or a rate. Exclusion: 1 excluded, 0 readmitted.
    double number = 0;
    RetryPolicy retryPolicy = RetryPolicy::Never; ///< of Admission
    friend bool operator==(const EntryValue&, const EntryValue&) = default;
};

struct Entry {
    Key key;
    EntryValue value;
    friend bool operator==(const Entry&, const Entry&) = default;
};

/// The state of one topic, with its tombstones.
class TopicLog {
public:
    /// `maxTombstones`: how many removed keys are remembered.
    explicit TopicLog(std::size_t maxTombstones) : maxTombstones_(maxTombstones) {}

    /// False, and no new sequence, where the entry has that value already.
    bool put(const Entry& entry);

    Sequence head() const { return head_; }
    /// Whether a reader that has everything up to `from` can be brought up to date by changes alone.
    bool covers(Sequence from) const { return from >= floor_ && from <= head_; }
    /// The keys that changed after `from`, with their current values (0: removed), oldest change first. Only where
    /// `covers(from)`.
    std::vector<Entry> since(Sequence from) const;
    /// How many keys changed after `from`, counted up to `most`.
    std::size_t changedSince(Sequence from, std::size_t most) const;
    /// All entries that are not removed, by key.
    std::vector<Entry> snapshot() const;
    std::size_t size() const { return entries_.size() - tombstones_; }
    std::size_t tombstones() const { return tombstones_; }

private:
    struct VersionedValue {
        EntryValue value;
        Sequence changedAt;
    };
    using Entries = std::map<Key, VersionedValue>;

    /// An admission limit of 0 is a value: it admits nothing. A weight or an exclusion of 0 is a removed entry.
    static bool isRemoved(const Key& key, const EntryValue& value) {
        return key.kind != Key::Kind::Admission && value.number <= 0;
    }
    void dropOldestTombstone();

    const std::size_t maxTombstones_;
    Entries entries_; // tombstones included
    std::map<Sequence, Entries::iterator> byChange_;
    std::size_t tombstones_ = 0;
    Sequence head_{0};
    Sequence floor_{0}; // readers from before it need a snapshot
};

} // namespace zincstack::pubsub
