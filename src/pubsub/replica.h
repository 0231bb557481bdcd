// A front end's copy of its tables, built from the channel's frames. No I/O; the clock is handed in.
//
// It applies only what follows on what it has, drops what it has already, knows where something is missing, and
// never goes back within an epoch. While it changes from one planner to another it keeps the old tables until
// the new ones have come whole.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pubsub/wire.h"

namespace zincstack::pubsub {

struct AdmissionLimit {
    double limit = 0;
    RetryPolicy retryPolicy = RetryPolicy::Never;
    friend bool operator==(const AdmissionLimit&, const AdmissionLimit&) = default;
};
struct RoutingTable {
    std::vector<std::string> requestClasses;
    std::map<std::string, double> weights;           ///< weights by server
    std::map<std::string, AdmissionLimit> admission; ///< by product
};

class Replica {
public:
    enum class Outcome : std::uint8_t {
        Applied,
        Part,    ///< of a message that is not whole yet
        Known,   ///< it has that already
        Gap,     ///< something before it is missing: a snapshot is wanted
        Foreign, ///< of another epoch than the stream's
        Unusable,
    };

    /// `foreignHold`: for how long a withdrawal outlives the planner that told it, unless the new one tells of
    /// that server itself. Guards against a new planner that has not heard of a drain yet.
    explicit Replica(Micros foreignHold) : foreignHold_(foreignHold) {}

    /// A new stream is up, of a planner life of that epoch. Parts of a message that was not whole are gone.
    void connected(Epoch epoch);
    /// A Snapshot or Changes frame.
    Outcome take(const Frame& frame, Micros now);
    /// The planner says how far its topics are: the topics of this epoch where less has come.
    std::vector<TopicId> behind(const Heads& heads, Micros now);

    /// What it has, for the greeting of the next stream.
    std::vector<Have> have() const;
    std::optional<Sequence> at(TopicId topic) const;
    Epoch epoch() const { return epoch_; }
    /// When it last knew that it had all there was; none: never.
    std::optional<Micros> currentAt() const { return currentAt_; }

    const std::map<TopicId, RoutingTable>& tables() const { return tables_; }
    /// The table of a product; null where there is none.
    const RoutingTable* tableOf(std::string_view product) const;
    bool withdrawn(std::string_view server, Micros now) const;
    /// The lines that may be picked now: those of servers that are not withdrawn. What only an earlier planner
    /// withdrew counts as long as another line is left.
    std::vector<std::pair<std::string, double>> picks(const RoutingTable& table, Micros now) const;

private:
    struct Standing {
        Epoch epoch;
        Sequence sequence;
    };
    struct Gathering { // parts of a message
        FrameType type;
        Sequence sequence, since;
        std::uint16_t next = 0;
        TopicBody body = {};
    };
    struct Out {
        Epoch epoch; // that told it last
        Micros at;
    };
    void replace(TopicId topic, const TopicBody& body, Micros now);
    void apply(TopicId topic, const Entry& entry, Micros now);
    bool foreign(const Out& out) const { return out.epoch != epoch_; }

    const Micros foreignHold_;
    Epoch epoch_;
    std::map<TopicId, Standing> standing_;
    std::map<TopicId, Gathering> gathering_;
    std::map<TopicId, RoutingTable> tables_;
    std::map<std::string, Out, std::less<>> out_;
    std::optional<Micros> currentAt_;
};

} // namespace zincstack::pubsub
