// Log of one topic: its entries, and the sequence number at which each of them last changed. It performs no
// I/O and reads no clock.
//
// A topic is a map from keys to values. Each change takes the next sequence number, and only the newest
// change of a key is kept. A reader at an older sequence needs only the keys that changed since then.
// Unsent changes of one endpoint therefore coalesce, and readers need no queues of their own. A removed key
// leaves a tombstone. The number of tombstones is bounded, and a reader at a sequence before the last dropped
// tombstone needs a snapshot.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planner/planner.h"

namespace zincstack::pubsub {

using Epoch = Id<struct EpochTag, std::uint64_t>;       ///< planner incarnation; increases on one machine
using Sequence = Id<struct SequenceTag, std::uint64_t>; ///< number of a change in a topic and epoch, from 1
using TopicId = Id<struct TopicTag, std::uint16_t>;     ///< 0 for the excluded endpoints, else table ID + 1

inline constexpr TopicId kExclusionsTopic{0};
/// Returns the topic of a table.
inline TopicId topicOf(TableId table) { return {static_cast<std::uint16_t>(table.value + 1)}; }
/// Returns the table of a topic other than `kExclusionsTopic`.
inline TableId tableOf(TopicId topic) { return {static_cast<std::uint16_t>(topic.value - 1)}; }

/// Key of an entry: what the entry describes.
struct Key {
    enum class Kind : std::uint8_t { Weight, Admission, Exclusion };
    Kind kind = Kind::Weight;
    std::string name; ///< of a request class for Admission, otherwise of an endpoint
    friend auto operator<=>(const Key&, const Key&) = default;
};

/// Value of an entry.
struct EntryValue {
    /// Weight: the endpoint's weight, 0 if it was removed. Admission: a fraction or a rate. Exclusion: 1 if
    /// excluded, 0 if readmitted.
    double number = 0;
    RetryPolicy retryPolicy = RetryPolicy::Never; ///< used for Admission only
    friend bool operator==(const EntryValue&, const EntryValue&) = default;
};

/// One key of a topic with its value.
struct Entry {
    Key key;
    EntryValue value;
    friend bool operator==(const Entry&, const Entry&) = default;
};

/// State of one topic, including its tombstones.
class TopicLog {
public:
    /// `maxTombstones` is the number of removed keys that are remembered.
    explicit TopicLog(std::size_t maxTombstones) : maxTombstones_(maxTombstones) {}

    /// Sets the entry under the next sequence number. Returns false, without a new sequence, if the entry
    /// already has that value.
    bool put(const Entry& entry);

    /// Sequence of the newest change.
    Sequence head() const { return head_; }
    /// Returns whether changes alone, without a snapshot, can bring a reader at sequence `from` up to date.
    bool covers(Sequence from) const { return from >= floor_ && from <= head_; }
    /// Returns the keys that changed after `from`, with their current values (0 if removed), oldest change
    /// first. Requires `covers(from)`.
    std::vector<Entry> since(Sequence from) const;
    /// Counts the keys that changed after `from`, and stops at `limit`.
    std::size_t countChangedSince(Sequence from, std::size_t limit) const;
    /// Returns all entries that are not removed, ordered by key.
    std::vector<Entry> snapshot() const;
    /// Number of entries without tombstones.
    std::size_t size() const { return entries_.size() - tombstones_; }
    std::size_t tombstones() const { return tombstones_; }

private:
    struct VersionedValue {
        EntryValue value;
        Sequence changedAt;
    };
    using Entries = std::map<Key, VersionedValue>;

    /// A weight or an exclusion of 0 is a removed entry. An admission limit of 0 is a regular value that
    /// admits nothing.
    static bool isRemoved(const Key& key, const EntryValue& value) {
        return key.kind != Key::Kind::Admission && value.number <= 0;
    }
    void dropOldestTombstone();

    const std::size_t maxTombstones_;
    Entries entries_;                                // including tombstones
    std::map<Sequence, Entries::iterator> byChange_; // by the sequence of the last change
    std::size_t tombstones_ = 0;
    Sequence head_{0};
    Sequence floor_{0}; // oldest covered sequence; readers before it need a snapshot
};

} // namespace zincstack::pubsub
