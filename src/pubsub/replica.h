// A client's replica of its routing tables, built from the channel's frames. No I/O; the clock is handed in.
//
// It applies only what follows on its own position, ignores what it has already, detects gaps, and never goes back
// within an epoch. After a change to another planner it keeps the old tables until the new ones are complete.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pubsub/message_body.h"

namespace zincstack::pubsub {

struct AdmissionLimit {
    double limit = 0;
    RetryPolicy retryPolicy = RetryPolicy::Never;
    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};

struct RoutingTable {
    std::vector<std::string> requestClasses;
    std::map<std::string, double> weights;           ///< by endpoint
    std::map<std::string, AdmissionLimit> admission; ///< by request class
};

struct WeightedEndpoint {
    std::string endpoint;
    double weight = 0;
};

class Replica {
public:
    /// What a frame did to the replica.
    enum class Outcome : std::uint8_t {
        Applied,
        PartReceived, ///< of a message that is not complete yet
        Duplicate,    ///< the replica has that already
        Gap,          ///< something before it is missing: a snapshot is needed
        OtherEpoch,   ///< of another epoch than the session's
        Invalid,      ///< the body cannot be decoded, or is too large
    };

    /// `foreignExclusionHold`: for how long an exclusion outlives the planner that announced it, unless the new
    /// planner announces something else of that endpoint. It covers a new planner that has not heard of a drain yet.
    explicit Replica(Micros foreignExclusionHold) : foreignExclusionHold_(foreignExclusionHold) {}

    /// A new session was accepted, of a planner incarnation with that epoch. Incomplete messages are discarded.
    void sessionAccepted(Epoch epoch);
    /// Applies a Snapshot or Changes frame.
    Outcome apply(const Frame& frame, Micros now);
    /// Compares the planner's heads with the replica; returns the topics of which something is missing.
    std::vector<TopicId> topicsBehind(const TopicHeads& heads, Micros now);

    /// The positions to resume from, for the greeting of the next session.
    std::vector<TopicPosition> positions() const;
    /// The position in a topic of the session's epoch; none where nothing of it is complete.
    std::optional<Sequence> at(TopicId topic) const;
    Epoch epoch() const { return epoch_; }
    /// When the replica last knew that it was up to date; none: never.
    std::optional<Micros> currentAt() const { return currentAt_; }

    const std::map<TopicId, RoutingTable>& tables() const { return tables_; }
    /// The table of a request class; null where there is none.
    const RoutingTable* tableOf(std::string_view requestClass) const;
    bool isExcluded(std::string_view endpoint, Micros now) const;
    /// The table's endpoints that requests may be sent to now: those that are not excluded. An exclusion announced
    /// by an earlier planner alone counts as long as another endpoint is left.
    std::vector<WeightedEndpoint> eligibleEndpoints(const RoutingTable& table, Micros now) const;

private:
    struct Position {
        Epoch epoch;
        Sequence sequence;
    };
    /// A message of which some parts have been received.
    struct IncompleteMessage {
        FrameType type;
        Sequence sequence;
        Sequence since;
        std::uint16_t nextPart = 0;
        TopicBody body = {};

        bool continuesWith(const Frame& frame) const;
    };
    struct Exclusion {
        Epoch epoch; // of the planner that announced it last
        Micros announcedAt{};
    };
    /// What the frame is by its position alone: Duplicate, Gap, or none where it is to be applied.
    std::optional<Outcome> checkPosition(const Frame& frame) const;
    Outcome addPart(const Frame& frame, TopicBody& body);
    void applyMessage(const Frame& lastPart, const TopicBody& body, Micros now);
    void beginSnapshot(TopicId topic, const TopicBody& body, Micros now);
    void dropReplacedTables(TopicId current, const std::vector<std::string>& requestClasses);
    void applyEntry(TopicId topic, const Entry& entry, Micros now);
    bool isForeign(const Exclusion& exclusion) const { return exclusion.epoch != epoch_; }
    bool isExpired(const Exclusion& exclusion, Micros now) const {
        return isForeign(exclusion) && now - exclusion.announcedAt >= foreignExclusionHold_;
    }

    const Micros foreignExclusionHold_;
    Epoch epoch_;
    std::map<TopicId, Position> positions_;
    std::map<TopicId, IncompleteMessage> incomplete_;
    std::map<TopicId, RoutingTable> tables_;
    std::map<std::string, Exclusion, std::less<>> exclusions_;
    std::optional<Micros> currentAt_;
};

} // namespace zincstack::pubsub
