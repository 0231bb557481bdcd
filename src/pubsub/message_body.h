// Bodies of the pub-sub channel's frames: one struct per message, encoded as CBOR maps.
//
// A decode function returns nothing where the bytes are not a valid body of its kind. Map keys that it does not
// know are ignored, so that later versions can add members. docs/pubsub.md specifies the keys.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pubsub/frame.h"
#include "pubsub/topic_log.h"

namespace zincstack::pubsub {

inline constexpr std::size_t kMaxEntriesPerPart = 256; ///< of one part of a Snapshot or Changes message

/// How far a client is in a topic of one planner incarnation.
struct TopicPosition {
    TopicId topic;
    Epoch epoch;
    Sequence sequence;
    friend bool operator==(const TopicPosition&, const TopicPosition&) = default;
};

/// Opens a session: who the client is and which state it holds already.
struct Hello {
    std::uint32_t minVersion = kProtocolVersion;
    std::uint32_t maxVersion = kProtocolVersion;
    std::uint32_t features = kFeatureCompression;
    std::optional<ProxyId> proxy; ///< none: an observer, which is no proxy
    std::string zone;
    double weight = 0;               ///< approximate requests per second
    bool onlyBootstrapTable = false; ///< it holds no table that a planner assigned (`fresh` on the wire)
    std::vector<TopicPosition> positions;
};

/// Accepts a session and states its terms.
struct Welcome {
    std::uint32_t version = kProtocolVersion;
    std::uint32_t features = 0;
    std::string planner;
    Micros heartbeatInterval{}; ///< either side sends a frame at least this often
    Micros leaseDuration{};     ///< a side that is silent for so long is considered gone
};

/// Ends a session: the body of Bye and Refused.
struct DisconnectNotice {
    std::string reason;
    std::optional<Micros> retryAfter; ///< when to reconnect; none: unknown, or never
};

/// The body of Usage: what a client sent of one request class during an interval.
struct DemandRecord {
    std::string requestClass;
    std::uint32_t requests = 0;
    std::uint32_t unanswered = 0;
    Micros interval{};
};

/// The newest sequence of a topic.
struct TopicHead {
    TopicId topic;
    Sequence head;
    friend auto operator<=>(const TopicHead&, const TopicHead&) = default;
};

/// The body of a planner's Beat.
using TopicHeads = std::vector<TopicHead>;

/// The body of a part of Snapshot and Changes.
struct TopicBody {
    std::vector<std::string> requestClasses; ///< of a snapshot's first part: which classes the table serves
    std::vector<Entry> entries;
};

std::string encode(const Hello& hello);
std::string encode(const Welcome& welcome);
std::string encode(const DisconnectNotice& notice);
std::string encode(const DemandRecord& demand);
std::string encode(const TopicHeads& heads);
std::string encode(const TopicBody& body);

std::optional<Hello> decodeHello(std::string_view body);
std::optional<Welcome> decodeWelcome(std::string_view body);
std::optional<DisconnectNotice> decodeDisconnectNotice(std::string_view body);
std::optional<DemandRecord> decodeDemandRecord(std::string_view body);
std::optional<TopicHeads> decodeTopicHeads(std::string_view body);
std::optional<TopicBody> decodeTopicBody(std::string_view body);

} // namespace zincstack::pubsub
