// A client's replica of its routing tables, built from the channel's frames. It performs no I/O; the caller
// passes the time.
//
// The replica applies only messages that continue from its own position, ignores duplicates, detects gaps,
// and never returns to an older sequence within an epoch. After a switch to another planner it keeps the old
// tables until the new ones are complete.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pubsub/message_body.h"

namespace zincstack::pubsub {

/// Admission limit of a request class.
struct AdmissionLimit {
    double limit = 0; ///< a fraction or a rate
    RetryPolicy retryPolicy = RetryPolicy::Never;
    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};

/// Routing table as a client sees it, with names instead of IDs.
struct RoutingTable {
    std::vector<std::string> requestClasses;         ///< served by the table
    std::map<std::string, double> weights;           ///< by endpoint
    std::map<std::string, AdmissionLimit> admission; ///< by request class
};

/// Endpoint with its weight in a table.
struct WeightedEndpoint {
    std::string endpoint;
    double weight = 0;
};

/// Tables and exclusions received from planners, with the position reached in each topic.
class Replica {
public:
    /// Result of a frame for the replica.
    enum class Outcome : std::uint8_t {
        Applied,      ///< the frame completed a message, which was applied
        PartReceived, ///< the message is not complete yet
        Duplicate,    ///< the replica already has this state or a newer one
        Gap,          ///< an earlier message or part is missing: a snapshot is needed
        OtherEpoch,   ///< the frame's epoch differs from the session's
        Invalid,      ///< the body cannot be decoded, or the message has too many entries
    };

    /// `unconfirmedExclusionHold` is how long an exclusion stays in effect after its last announcement if the
    /// session's planner has neither confirmed it nor readmitted the endpoint. It bridges the time in which a
    /// new planner does not know of a drain yet.
    explicit Replica(Micros unconfirmedExclusionHold) : unconfirmedExclusionHold_(unconfirmedExclusionHold) {}

    /// Starts a session with the planner incarnation of that epoch. Discards incomplete messages.
    void sessionAccepted(Epoch epoch);
    /// Applies a Snapshot or Changes frame.
    Outcome apply(const Frame& frame, Micros now);
    /// Compares the planner's heads with the replica, and returns the topics whose newest changes are
    /// missing. If there are none, `now` is recorded as the time at which the replica was last up to date.
    std::vector<TopicId> topicsBehind(const TopicHeads& heads, Micros now);

    /// Returns the positions to resume from, for the Hello of the next session.
    std::vector<TopicPosition> positions() const;
    /// Returns the position in a topic of the session's epoch; std::nullopt if no message of it has been
    /// applied.
    std::optional<Sequence> at(TopicId topic) const;
    /// Epoch of the session.
    Epoch epoch() const { return epoch_; }
    /// Time at which a heartbeat last showed that the replica was up to date; std::nullopt if none did yet.
    std::optional<Micros> lastUpToDateAt() const { return lastUpToDateAt_; }

    const std::map<TopicId, RoutingTable>& tables() const { return tables_; }
    /// Returns the table of a request class, preferably one of the session's epoch; null if there is none.
    const RoutingTable* tableOf(std::string_view requestClass) const;
    bool isExcluded(std::string_view endpoint, Micros now) const;
    /// Returns the table's endpoints that are not excluded, so that requests may be sent to them now. If
    /// there are none, returns the endpoints whose exclusion was announced by an earlier planner only.
    std::vector<WeightedEndpoint> eligibleEndpoints(const RoutingTable& table, Micros now) const;

private:
    /// Position in a topic, with the epoch that it belongs to.
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
        Epoch epoch; // of the planner that last announced it
        Micros announcedAt{};
    };
    /// Classifies a frame by its position: Duplicate, Gap, or std::nullopt if it is to be applied.
    std::optional<Outcome> checkPosition(const Frame& frame) const;
    /// Adds a part to the incomplete message of its topic. Returns Applied if the message is complete and can
    /// be applied.
    Outcome addPart(const Frame& frame, TopicBody& body);
    void applyMessage(const Frame& lastPart, const TopicBody& body, Micros now);
    /// Clears the state that the snapshot replaces.
    void clearReplacedState(TopicId topic, const TopicBody& body, Micros now);
    void dropReplacedTables(TopicId current, const std::vector<std::string>& requestClasses);
    void applyEntry(TopicId topic, const Entry& entry, Micros now);
    /// Returns whether the exclusion was last announced by a planner other than the session's.
    bool isUnconfirmed(const Exclusion& exclusion) const { return exclusion.epoch != epoch_; }
    bool isExpired(const Exclusion& exclusion, Micros now) const {
        return isUnconfirmed(exclusion) && now - exclusion.announcedAt >= unconfirmedExclusionHold_;
    }

    const Micros unconfirmedExclusionHold_;
    Epoch epoch_;
    std::map<TopicId, Position> positions_;
    std::map<TopicId, IncompleteMessage> incomplete_;
    std::map<TopicId, RoutingTable> tables_;
    std::map<std::string, Exclusion, std::less<>> exclusions_;
    std::optional<Micros> lastUpToDateAt_;
};

} // namespace zincstack::pubsub
