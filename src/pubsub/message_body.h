// Bodies of the pub-sub channel's frames: one struct for each kind of body, encoded as a CBOR map.
//
// A decode function returns std::nullopt if the bytes are not a valid body of its kind. It ignores unknown
// map keys, so that later versions can add members. docs/pubsub.md specifies the keys.
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

inline constexpr std::size_t kMaxEntriesPerPart = 256; ///< in one part of a Snapshot or Changes message

/// A client's position in a topic of one planner incarnation.
struct TopicPosition {
    TopicId topic;
    Epoch epoch;
    Sequence sequence;
    friend bool operator==(const TopicPosition&, const TopicPosition&) = default;
};

/// Body of Hello, which opens a session: the client's identity and the state that it already holds.
struct Hello {
    std::uint32_t minVersion = kProtocolVersion;
    std::uint32_t maxVersion = kProtocolVersion;
    std::uint32_t features = kFeatureCompression;
    std::optional<ProxyId> proxy; ///< std::nullopt for an observer, which is not a proxy
    std::string zone;
    double weight = 0;               ///< approximate request rate of the proxy, per second
    bool onlyBootstrapTable = false; ///< has no table assigned by a planner yet (`fresh` on the wire)
    std::vector<TopicPosition> positions;
};

/// Body of Welcome, which accepts a session: its protocol version, features and timing.
struct Welcome {
    std::uint32_t version = kProtocolVersion;
    std::uint32_t features = 0;
    std::string planner;
    Micros heartbeatInterval{}; ///< maximum time between two frames of either side
    Micros leaseDuration{};     ///< silence after which a side is considered disconnected
};

/// Body of Bye and Refused, which end a session.
struct DisconnectNotice {
    std::string reason;
    std::optional<Micros> retryAfter; ///< delay before reconnecting; std::nullopt if unknown or never
};

/// Body of Usage: how many requests of one request class a client sent during an interval.
struct DemandRecord {
    std::string requestClass;
    std::uint32_t requests = 0;
    std::uint32_t unanswered = 0; ///< of these, the requests without an answer
    Micros interval{};
};

/// The newest sequence of a topic.
struct TopicHead {
    TopicId topic;
    Sequence head;
    friend auto operator<=>(const TopicHead&, const TopicHead&) = default;
};

/// Body of a Beat that the planner sends.
using TopicHeads = std::vector<TopicHead>;

/// Body of one part of a Snapshot or Changes message.
struct TopicBody {
    std::vector<std::string> requestClasses; ///< served by the table; only in a snapshot's first part
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
